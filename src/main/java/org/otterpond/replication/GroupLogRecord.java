package org.otterpond.replication;

import java.util.Map;
import java.util.Optional;
import org.otterpond.protocol.Encodable;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/** A record of a replica group in the log of its node. */
sealed interface GroupLogRecord extends Encodable {
  /** Name of the field with the number of the group, the same in all records. */
  String GROUP = "group";

  /**
   * Reads a log record.
   *
   * @return the record, or empty if this version does not know the kind
   * @throws ProtocolException if a required field is missing
   */
  static Optional<GroupLogRecord> decode(WireRecord encoded) throws ProtocolException {
    RecordDecoder<GroupLogRecord> decoder = Decoders.BY_KIND.get(encoded.kind());
    return decoder == null ? Optional.empty() : Optional.of(decoder.decode(encoded));
  }

  /** The decoders of the family by encoded kind. */
  final class Decoders {
    private static final Map<String, RecordDecoder<GroupLogRecord>> BY_KIND =
        Map.of(
            ConfigurationAdopted.KIND, ConfigurationAdopted::of,
            EntryPrepared.KIND, EntryPrepared::of,
            ListTruncated.KIND, ListTruncated::of,
            ListReconciled.KIND, ListReconciled::of,
            CopyStarted.KIND, CopyStarted::of,
            PieceLoaded.KIND, PieceLoaded::of,
            CopyCompleted.KIND, CopyCompleted::of,
            CopyDropped.KIND, CopyDropped::of,
            SegmentHeader.KIND, SegmentHeader::of);

    private Decoders() {}
  }

  /** The replica adopted a configuration. */
  record ConfigurationAdopted(GroupConfiguration configuration) implements GroupLogRecord {
    static final String KIND = "view";

    static ConfigurationAdopted of(WireRecord encoded) throws ProtocolException {
      return new ConfigurationAdopted(GroupConfiguration.read(encoded));
    }

    @Override
    public WireRecord toWireRecord() {
      return configuration.toWireRecord(KIND);
    }
  }

  /** An entry of the prepared list, with the committed point at the time of writing. */
  record EntryPrepared(int group, long version, long serial, long committedPoint, WireRecord entry)
      implements GroupLogRecord {
    static final String KIND = "prep";
    private static final String VERSION = "version";
    private static final String SERIAL = "serial";
    private static final String POINT = "point";
    private static final String ENTRY = "entry";

    static EntryPrepared of(WireRecord encoded) throws ProtocolException {
      return new EntryPrepared(
          (int) encoded.requiredNumber(GROUP),
          encoded.requiredNumber(VERSION),
          encoded.requiredNumber(SERIAL),
          encoded.requiredNumber(POINT),
          encoded.requiredNested(ENTRY));
    }

    @Override
    public WireRecord toWireRecord() {
      return new WireRecord(KIND)
          .with(GROUP, group)
          .with(VERSION, version)
          .with(SERIAL, serial)
          .with(POINT, committedPoint)
          .with(ENTRY, entry);
    }
  }

  /** Entries above a serial number were removed from the prepared list. */
  record ListTruncated(int group, long lastSerial) implements GroupLogRecord {
    static final String KIND = "trunc";
    private static final String SERIAL = "serial";

    static ListTruncated of(WireRecord encoded) throws ProtocolException {
      return new ListTruncated((int) encoded.requiredNumber(GROUP), encoded.requiredNumber(SERIAL));
    }

    @Override
    public WireRecord toWireRecord() {
      return new WireRecord(KIND).with(GROUP, group).with(SERIAL, lastSerial);
    }
  }

  /** The prepared list was reconciled with that of the primary of a version. */
  record ListReconciled(int group, long version) implements GroupLogRecord {
    static final String KIND = "reconciled";
    private static final String VERSION = "version";

    static ListReconciled of(WireRecord encoded) throws ProtocolException {
      return new ListReconciled(
          (int) encoded.requiredNumber(GROUP), encoded.requiredNumber(VERSION));
    }

    @Override
    public WireRecord toWireRecord() {
      return new WireRecord(KIND).with(GROUP, group).with(VERSION, version);
    }
  }

  /**
   * A state transfer to this node began.
   *
   * @param refreshes whether the state before stays valid until the transfer has ended; otherwise
   *     it is void
   */
  record CopyStarted(int group, long committedPoint, boolean refreshes) implements GroupLogRecord {
    static final String KIND = "copy";
    private static final String POINT = "point";
    private static final String REFRESHES = "refreshes";

    static CopyStarted of(WireRecord encoded) throws ProtocolException {
      return new CopyStarted(
          (int) encoded.requiredNumber(GROUP),
          encoded.requiredNumber(POINT),
          encoded.truth(REFRESHES));
    }

    @Override
    public WireRecord toWireRecord() {
      WireRecord encoded = new WireRecord(KIND).with(GROUP, group).with(POINT, committedPoint);
      return refreshes ? encoded.with(REFRESHES, true) : encoded;
    }
  }

  /** A piece of the state, from a transfer or written again from an older segment. */
  record PieceLoaded(int group, WireRecord piece) implements GroupLogRecord {
    static final String KIND = "piece";
    private static final String PIECE = "piece";

    static PieceLoaded of(WireRecord encoded) throws ProtocolException {
      return new PieceLoaded((int) encoded.requiredNumber(GROUP), encoded.requiredNested(PIECE));
    }

    @Override
    public WireRecord toWireRecord() {
      return new WireRecord(KIND).with(GROUP, group).with(PIECE, piece);
    }
  }

  /** A state transfer to this node ended: all pieces precede this record. */
  record CopyCompleted(GroupConfiguration configuration) implements GroupLogRecord {
    static final String KIND = "copied";

    static CopyCompleted of(WireRecord encoded) throws ProtocolException {
      return new CopyCompleted(GroupConfiguration.read(encoded));
    }

    @Override
    public WireRecord toWireRecord() {
      return configuration.toWireRecord(KIND);
    }
  }

  /** This node left the group; what it had is void. */
  record CopyDropped(int group) implements GroupLogRecord {
    static final String KIND = "drop";

    static CopyDropped of(WireRecord encoded) throws ProtocolException {
      return new CopyDropped((int) encoded.requiredNumber(GROUP));
    }

    @Override
    public WireRecord toWireRecord() {
      return new WireRecord(KIND).with(GROUP, group);
    }
  }

  /** State of a complete replica at the beginning of a segment. */
  record SegmentHeader(int group, long committedPoint, GroupConfiguration configuration)
      implements GroupLogRecord {
    static final String KIND = "meta";
    private static final String POINT = "point";
    private static final String CONFIGURATION = "view";

    static SegmentHeader of(WireRecord encoded) throws ProtocolException {
      return new SegmentHeader(
          (int) encoded.requiredNumber(GROUP),
          encoded.requiredNumber(POINT),
          GroupConfiguration.read(encoded.requiredNested(CONFIGURATION)));
    }

    @Override
    public WireRecord toWireRecord() {
      return new WireRecord(KIND)
          .with(GROUP, group)
          .with(POINT, committedPoint)
          .with(CONFIGURATION, configuration.toNestedRecord());
    }
  }
}
