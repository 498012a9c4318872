package org.otterpond.control.epoch.message;

import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * A backup holds the batch durably.
 *
 * @param epoch the epoch that the message belongs to
 * @param batchNumber the position of the batch in the epoch
 * @param diskId the disk identity of the sender
 */
public record ReplicateResponse(long epoch, long batchNumber, String diskId)
    implements EpochMessage {
  /** The encoded kind. */
  public static final String KIND = "rack";

  private static final String EPOCH = "epoch";
  private static final String BATCH_NUMBER = "seq";
  private static final String DISK_ID = "id";

  /**
   * Reads the encoded form.
   *
   * @throws ProtocolException if a required field is missing
   */
  public static ReplicateResponse of(WireRecord encoded) throws ProtocolException {
    return new ReplicateResponse(
        encoded.requiredNumber(EPOCH),
        encoded.requiredNumber(BATCH_NUMBER),
        encoded.requiredText(DISK_ID));
  }

  @Override
  public WireRecord toWireRecord() {
    return new WireRecord(KIND)
        .with(EPOCH, epoch)
        .with(BATCH_NUMBER, batchNumber)
        .with(DISK_ID, diskId);
  }
}
