package org.otterpond.replication;

import java.util.List;
import java.util.OptionalLong;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * Consecutive updates that the primary sends to a secondary or a candidate (PacificA, section
 * "Primary/Backup Data Replication").
 *
 * @param version version of the primary's configuration
 * @param firstSerial serial number of the first entry
 * @param committedPoint the primary's committed point
 * @param transfer number of the state transfer, if the recipient is a candidate
 */
public record PrepareMessage(
    int group,
    long version,
    long firstSerial,
    long committedPoint,
    OptionalLong transfer,
    List<WireRecord> entries)
    implements GroupMessage {
  /** The encoded kind. */
  public static final String KIND = "g.prepare";

  private static final String GROUP = "group";
  private static final String VERSION = "version";
  private static final String FIRST = "first";
  private static final String POINT = "point";
  private static final String TRANSFER = "transfer";
  private static final String ENTRIES = "entries";

  /**
   * Reads a message.
   *
   * @throws ProtocolException if a required field is missing
   */
  public static PrepareMessage of(WireRecord encoded) throws ProtocolException {
    return new PrepareMessage(
        (int) encoded.requiredNumber(GROUP),
        encoded.requiredNumber(VERSION),
        encoded.requiredNumber(FIRST),
        encoded.requiredNumber(POINT),
        encoded.has(TRANSFER)
            ? OptionalLong.of(encoded.requiredNumber(TRANSFER))
            : OptionalLong.empty(),
        encoded.records(ENTRIES));
  }

  @Override
  public WireRecord toWireRecord() {
    return new WireRecord(KIND)
        .with(GROUP, group)
        .with(VERSION, version)
        .with(FIRST, firstSerial)
        .with(POINT, committedPoint)
        .with(TRANSFER, transfer.isPresent() ? transfer.getAsLong() : null)
        .withRecords(ENTRIES, entries);
  }
}
