package org.otterpond.control.epoch.message;

import org.otterpond.control.state.EpochRecord;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * A backup cannot follow the primary: it does not follow its epoch, has lost its position, or its
 * disk refuses writes.
 *
 * @param epoch the epoch of the primary
 * @param promisedEpoch the highest epoch that the sender promised
 * @param diskId the disk identity of the sender
 * @param diskFailed whether the disk of the sender refuses writes
 * @param acceptedRecord the newest record that the sender accepted; null if none or left out
 */
public record ReplicateReject(
    long epoch, long promisedEpoch, String diskId, boolean diskFailed, EpochRecord acceptedRecord)
    implements EpochMessage {
  /** The encoded kind. */
  public static final String KIND = "repno";

  private static final String EPOCH = "epoch";
  private static final String PROMISED_EPOCH = "promised";
  private static final String DISK_ID = "id";
  private static final String DISK_FAILED = "disk";
  private static final String RECORD = "record";

  /**
   * Reads the encoded form.
   *
   * @throws ProtocolException if a required field is missing
   */
  public static ReplicateReject of(WireRecord encoded) throws ProtocolException {
    return new ReplicateReject(
        encoded.requiredNumber(EPOCH),
        encoded.requiredNumber(PROMISED_EPOCH),
        encoded.requiredText(DISK_ID),
        encoded.truth(DISK_FAILED),
        EpochRecord.of(encoded.nested(RECORD)));
  }

  @Override
  public WireRecord toWireRecord() {
    return new WireRecord(KIND)
        .with(EPOCH, epoch)
        .with(PROMISED_EPOCH, promisedEpoch)
        .with(DISK_ID, diskId)
        .with(DISK_FAILED, diskFailed ? true : null)
        .with(RECORD, acceptedRecord == null ? null : acceptedRecord.toWireRecord());
  }
}
