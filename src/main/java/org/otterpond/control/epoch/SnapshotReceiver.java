package org.otterpond.control.epoch;

import java.io.ByteArrayOutputStream;
import org.otterpond.control.epoch.message.SnapshotChunk;

/**
 * Receives one snapshot in numbered chunks. It counts for nothing before it is complete: the state
 * in force stays as it is, and no chunk after a missing one is taken.
 */
final class SnapshotReceiver {
  /** No state that a node can hold is larger when packed. */
  private static final int MAX_BYTES = 40 << 20;

  private final long snapshotNumber;
  private final ByteArrayOutputStream received = new ByteArrayOutputStream();
  private int receivedChunks;
  private int chunkCount;

  SnapshotReceiver(long snapshotNumber) {
    this.snapshotNumber = snapshotNumber;
  }

  boolean isFor(long otherSnapshotNumber) {
    return snapshotNumber == otherSnapshotNumber;
  }

  /** Takes the chunk if it is the next one; returns how many have been received then. */
  int receive(SnapshotChunk chunk) {
    boolean fits = received.size() + chunk.content().length <= MAX_BYTES;
    if (chunk.index() == receivedChunks && !isComplete() && fits) {
      received.writeBytes(chunk.content());
      chunkCount = chunk.count();
      receivedChunks++;
    }
    return receivedChunks;
  }

  boolean isComplete() {
    return receivedChunks > 0 && receivedChunks == chunkCount;
  }

  byte[] packedState() {
    return received.toByteArray();
  }
}
