package org.otterpond.control.epoch.message;

import org.otterpond.control.state.EpochRecord;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * A member rejects a prepare request, an accept request or a snapshot chunk because it has promised
 * a newer epoch or accepted a newer record.
 *
 * @param promisedEpoch the highest epoch that the sender promised
 * @param acceptedRecord the newest record that the sender accepted; null if none
 */
public record RejectResponse(long promisedEpoch, EpochRecord acceptedRecord)
    implements EpochMessage {
  /** The encoded kind. */
  public static final String KIND = "nack";

  private static final String PROMISED_EPOCH = "promised";
  private static final String RECORD = "record";

  /**
   * Reads the encoded form.
   *
   * @throws ProtocolException if a required field is missing
   */
  public static RejectResponse of(WireRecord encoded) throws ProtocolException {
    return new RejectResponse(
        encoded.requiredNumber(PROMISED_EPOCH), EpochRecord.of(encoded.nested(RECORD)));
  }

  @Override
  public WireRecord toWireRecord() {
    return new WireRecord(KIND)
        .with(PROMISED_EPOCH, promisedEpoch)
        .with(RECORD, acceptedRecord == null ? null : acceptedRecord.toWireRecord());
  }
}
