package org.otterpond.control.epoch.message;

import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * A backup of the coming epoch has the whole snapshot, and it is durable.
 *
 * @param epoch the epoch that the message belongs to
 * @param diskId the disk identity of the sender
 */
public record SnapshotInstalled(long epoch, String diskId) implements EpochMessage {
  /** The encoded kind. */
  public static final String KIND = "snapok";

  private static final String EPOCH = "epoch";
  private static final String DISK_ID = "id";

  /**
   * Reads the encoded form.
   *
   * @throws ProtocolException if a required field is missing
   */
  public static SnapshotInstalled of(WireRecord encoded) throws ProtocolException {
    return new SnapshotInstalled(encoded.requiredNumber(EPOCH), encoded.requiredText(DISK_ID));
  }

  @Override
  public WireRecord toWireRecord() {
    return new WireRecord(KIND).with(EPOCH, epoch).with(DISK_ID, diskId);
  }
}
