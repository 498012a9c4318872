package org.otterpond.control.epoch.message;

import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * A backup of the coming epoch says how much of a snapshot it has received.
 *
 * @param epoch the epoch that the message belongs to
 * @param diskId the disk identity of the sender
 * @param snapshotNumber the number of the snapshot
 * @param receivedChunks the number of chunks received without a gap, from the first on
 */
public record SnapshotChunkResponse(
    long epoch, String diskId, long snapshotNumber, int receivedChunks) implements EpochMessage {
  /** The encoded kind. */
  public static final String KIND = "snapheld";

  private static final String EPOCH = "epoch";
  private static final String DISK_ID = "id";
  private static final String SNAPSHOT = "snapshot";
  private static final String RECEIVED = "held";

  /**
   * Reads the encoded form.
   *
   * @throws ProtocolException if a required field is missing
   */
  public static SnapshotChunkResponse of(WireRecord encoded) throws ProtocolException {
    return new SnapshotChunkResponse(
        encoded.requiredNumber(EPOCH),
        encoded.requiredText(DISK_ID),
        encoded.requiredNumber(SNAPSHOT),
        (int) encoded.requiredNumber(RECEIVED));
  }

  @Override
  public WireRecord toWireRecord() {
    return new WireRecord(KIND)
        .with(EPOCH, epoch)
        .with(DISK_ID, diskId)
        .with(SNAPSHOT, snapshotNumber)
        .with(RECEIVED, receivedChunks);
  }
}
