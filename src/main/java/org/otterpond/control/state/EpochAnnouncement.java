package org.otterpond.control.state;

import org.otterpond.protocol.Encodable;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * Tells another node of an epoch record. It is a hint, never a vote: the receiver acts only on the
 * answer of the primary that the record names.
 */
public record EpochAnnouncement(EpochRecord record) implements Encodable {
  /** The encoded kind. */
  public static final String KIND = "harbour";

  private static final String RECORD = "record";

  /**
   * Reads an announcement.
   *
   * @throws ProtocolException if the record is missing
   */
  public static EpochAnnouncement of(WireRecord encoded) throws ProtocolException {
    return new EpochAnnouncement(EpochRecord.of(encoded.requiredNested(RECORD)));
  }

  @Override
  public WireRecord toWireRecord() {
    return new WireRecord(KIND).with(RECORD, record.toWireRecord());
  }
}
