package org.otterpond.control.epoch.message;

import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * A candidate sends a chunk of its snapshot to a backup of the coming epoch.
 *
 * @param chunk the chunk
 * @param epoch the epoch of the candidate
 * @param targetDiskId the disk identity of the backup
 * @param formerAuthority what earlier primaries may still do
 * @param replyAddress the address of the candidate
 */
public record SnapshotChunkRequest(
    SnapshotChunk chunk,
    long epoch,
    String targetDiskId,
    FormerAuthority formerAuthority,
    String replyAddress)
    implements EpochMessage {
  /** The encoded kind. */
  public static final String KIND = "snappiece";

  private static final String SNAPSHOT = "snapshot";
  private static final String INDEX = "piece";
  private static final String COUNT = "of";
  private static final String BYTES = "bytes";
  private static final String EPOCH = "epoch";
  private static final String TARGET_DISK_ID = "to";
  private static final String AUTHORITY_ENDS_IN = "quiet";
  private static final String GRANTS_FROM_IN = "gives";
  private static final String REPLY_ADDRESS = "from";

  /**
   * Reads the encoded form.
   *
   * @throws ProtocolException if a required field is missing
   */
  public static SnapshotChunkRequest of(WireRecord encoded) throws ProtocolException {
    SnapshotChunk chunk =
        new SnapshotChunk(
            encoded.requiredNumber(SNAPSHOT),
            (int) encoded.requiredNumber(INDEX),
            (int) encoded.requiredNumber(COUNT),
            encoded.requiredBytes(BYTES));
    FormerAuthority formerAuthority =
        new FormerAuthority(
            encoded.requiredNumber(AUTHORITY_ENDS_IN), encoded.requiredNumber(GRANTS_FROM_IN));
    return new SnapshotChunkRequest(
        chunk,
        encoded.requiredNumber(EPOCH),
        encoded.requiredText(TARGET_DISK_ID),
        formerAuthority,
        encoded.requiredText(REPLY_ADDRESS));
  }

  @Override
  public WireRecord toWireRecord() {
    return new WireRecord(KIND)
        .with(SNAPSHOT, chunk.snapshotNumber())
        .with(INDEX, chunk.index())
        .with(COUNT, chunk.count())
        .with(BYTES, chunk.content())
        .with(EPOCH, epoch)
        .with(TARGET_DISK_ID, targetDiskId)
        .with(AUTHORITY_ENDS_IN, formerAuthority.endsInMicros())
        .with(GRANTS_FROM_IN, formerAuthority.grantsFromInMicros())
        .with(REPLY_ADDRESS, replyAddress);
  }
}
