package org.otterpond.control.epoch.message;

/** One of the numbered chunks into which a packed snapshot is divided. */
public final class SnapshotChunk {
  private final long snapshotNumber;
  private final int index;
  private final int count;
  private final byte[] content;

  /**
   * Creates a chunk.
   *
   * @param snapshotNumber the number of the snapshot, so that chunks of two are never combined
   * @param index the position of the chunk, from 0 on
   * @param count the number of chunks of the snapshot
   * @param content the bytes, which the caller no longer changes
   */
  public SnapshotChunk(long snapshotNumber, int index, int count, byte[] content) {
    this.snapshotNumber = snapshotNumber;
    this.index = index;
    this.count = count;
    this.content = content;
  }

  /** Returns the number of the snapshot. */
  public long snapshotNumber() {
    return snapshotNumber;
  }

  /** Returns the position of the chunk, from 0 on. */
  public int index() {
    return index;
  }

  /** Returns the number of chunks of the snapshot. */
  public int count() {
    return count;
  }

  /** Returns the bytes, which the caller must not change. */
  public byte[] content() {
    return content;
  }
}
