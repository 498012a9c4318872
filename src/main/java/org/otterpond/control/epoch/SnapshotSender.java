package org.otterpond.control.epoch;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.otterpond.control.epoch.message.SnapshotChunk;
import org.otterpond.protocol.CompressedPayload;
import org.otterpond.protocol.WireRecord;

/**
 * Divides one snapshot into numbered chunks and decides which of them each receiver is sent when.
 * Only a window of them is in flight to each, so that a slow link has little queued, and each
 * acknowledgement shows that the transfer goes on.
 */
final class SnapshotSender {
  private static final int CHUNK_BYTES = 32 * 1024;
  private static final int MIN_WINDOW_CHUNKS = 2;
  private static final int MAX_WINDOW_CHUNKS = 24;

  /** The window grows only while chunks arrive within it: other messages queue behind them. */
  private static final long FAST_RESPONSE_MICROS = 150_000;

  private final long snapshotNumber;
  private final byte[] packedState;
  private final int chunkCount;
  private final Map<String, Progress> receivers = new HashMap<>();

  private static final class Progress {
    /** How many chunks the receiver has, from the first on. */
    int received;

    int sent;
    int window = MIN_WINDOW_CHUNKS;
    long heardAt;
    final Map<Integer, Long> sentAt = new HashMap<>();
  }

  /**
   * Packs the state.
   *
   * @param snapshotNumber names this snapshot, so that chunks of two are never combined
   */
  SnapshotSender(long snapshotNumber, WireRecord state) {
    this.snapshotNumber = snapshotNumber;
    this.packedState = CompressedPayload.pack(state);
    this.chunkCount = (packedState.length + CHUNK_BYTES - 1) / CHUNK_BYTES;
  }

  /** Returns the chunks to be sent to this receiver now. */
  List<SnapshotChunk> nextChunks(String receiver, long now) {
    Progress progress = receivers.computeIfAbsent(receiver, r -> new Progress());
    if (progress.sent == 0) {
      progress.heardAt = now;
    }
    List<SnapshotChunk> chunks = new ArrayList<>();
    while (progress.sent < chunkCount && progress.sent < progress.received + progress.window) {
      progress.sentAt.put(progress.sent, now);
      chunks.add(chunk(progress.sent++));
    }
    return chunks;
  }

  /** Returns the first missing chunk if the receiver has been silent for the time-out. */
  List<SnapshotChunk> chunksToResend(String receiver, long now, long timeoutMicros) {
    Progress progress = receivers.get(receiver);
    if (progress == null || now - progress.heardAt < timeoutMicros) {
      return List.of();
    }
    progress.heardAt = now;
    int index = Math.min(progress.received, chunkCount - 1);
    progress.sent = index + 1;
    progress.window = MIN_WINDOW_CHUNKS;
    return List.of(chunk(index));
  }

  /** Takes the number of chunks that the receiver has; true if that is more than before. */
  boolean acknowledged(String receiver, long ofSnapshot, int received, long now) {
    Progress progress = receivers.get(receiver);
    if (progress == null
        || ofSnapshot != snapshotNumber
        || received <= progress.received
        || received > chunkCount) {
      return false;
    }
    boolean fast = now - progress.sentAt.getOrDefault(received - 1, 0L) < FAST_RESPONSE_MICROS;
    progress.window =
        fast
            ? Math.min(MAX_WINDOW_CHUNKS, progress.window + 1)
            : Math.max(MIN_WINDOW_CHUNKS, progress.window - 1);
    progress.sentAt.keySet().removeIf(index -> index < received);
    progress.received = received;
    progress.sent = Math.max(progress.sent, received);
    progress.heardAt = now;
    return true;
  }

  private SnapshotChunk chunk(int index) {
    int from = index * CHUNK_BYTES;
    int to = Math.min(packedState.length, from + CHUNK_BYTES);
    return new SnapshotChunk(
        snapshotNumber, index, chunkCount, Arrays.copyOfRange(packedState, from, to));
  }
}
