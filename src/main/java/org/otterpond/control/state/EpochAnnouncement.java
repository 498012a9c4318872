package org.otterpond.control.state;

import org.otterpond.protocol.Encodable;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * Announces an epoch record to another node. It is a hint, never a vote: the receiver acts only on
 * the response of the primary that the record names.
 *
 * @param record the newest epoch record that the sender knows
 */
public record EpochAnnouncement(EpochRecord record) implements Encodable {
  /** The encoded kind. */
  public static final String KIND = "harbour";

  private static final String RECORD = "record";

  /**
   * Reads an announcement.
   *
   * @throws ProtocolException if the record is missing or not valid
   */
  public static EpochAnnouncement of(WireRecord encoded) throws ProtocolException {
    return new EpochAnnouncement(EpochRecord.decode(encoded.requiredNested(RECORD)));
  }

  @Override
  public WireRecord toWireRecord() {
    return new WireRecord(KIND).with(RECORD, record.toWireRecord());
  }
}
