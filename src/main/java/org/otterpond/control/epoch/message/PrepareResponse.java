package org.otterpond.control.epoch.message;

import org.otterpond.control.state.EpochRecord;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * A member has promised the epoch, and the promise is durable.
 *
 * @param epoch the promised epoch
 * @param diskId the disk identity of the sender
 * @param leaving whether the sender is shutting down
 * @param acceptedRecord the newest record that the sender accepted; null if none
 */
public record PrepareResponse(
    long epoch, String diskId, boolean leaving, EpochRecord acceptedRecord)
    implements EpochMessage {
  /** The encoded kind. */
  public static final String KIND = "prom";

  private static final String EPOCH = "epoch";
  private static final String DISK_ID = "id";
  private static final String LEAVING = "leaving";
  private static final String RECORD = "record";

  /**
   * Reads the encoded form.
   *
   * @throws ProtocolException if a required field is missing
   */
  public static PrepareResponse of(WireRecord encoded) throws ProtocolException {
    return new PrepareResponse(
        encoded.requiredNumber(EPOCH),
        encoded.requiredText(DISK_ID),
        encoded.truth(LEAVING),
        EpochRecord.of(encoded.nested(RECORD)));
  }

  @Override
  public WireRecord toWireRecord() {
    return new WireRecord(KIND)
        .with(EPOCH, epoch)
        .with(DISK_ID, diskId)
        .with(LEAVING, leaving ? true : null)
        .with(RECORD, acceptedRecord == null ? null : acceptedRecord.toWireRecord());
  }
}
