package org.otterpond.control.epoch.message;

import org.otterpond.control.state.EpochRecord;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * The newest record that a member without a primary knows; a hint, never a vote.
 *
 * @param record the newest known record
 */
public record RecordGossip(EpochRecord record) implements EpochMessage {
  /** The encoded kind. */
  public static final String KIND = "rec";

  private static final String RECORD = "record";

  /**
   * Reads the encoded form.
   *
   * @throws ProtocolException if a required field is missing
   */
  public static RecordGossip of(WireRecord encoded) throws ProtocolException {
    return new RecordGossip(EpochRecord.of(encoded.requiredNested(RECORD)));
  }

  @Override
  public WireRecord toWireRecord() {
    return new WireRecord(KIND).with(RECORD, record.toWireRecord());
  }
}
