package org.otterpond.control.epoch.message;

import org.otterpond.control.state.EpochRecord;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * The log record of an accepted epoch record.
 *
 * @param record the accepted record
 */
public record AcceptRecord(EpochRecord record) implements EpochLogRecord {
  /** The encoded kind. */
  public static final String KIND = "accept";

  private static final String RECORD = "record";

  /**
   * Reads the encoded form.
   *
   * @throws ProtocolException if a required field is missing
   */
  public static AcceptRecord of(WireRecord encoded) throws ProtocolException {
    return new AcceptRecord(EpochRecord.of(encoded.requiredNested(RECORD)));
  }

  @Override
  public WireRecord toWireRecord() {
    return new WireRecord(KIND).with(RECORD, record.toWireRecord());
  }
}
