package org.otterpond.control.epoch;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.otterpond.protocol.CompressedPayload;
import org.otterpond.protocol.WireRecord;

/**
 * One snapshot on its way to the backups of a coming epoch, in numbered pieces. A few pieces are
 * out to each at a time, so that a slow link holds little that waits, and each acknowledgement
 * shows that the copy goes on.
 */
final class SnapshotSender {
  private static final int PIECE = 32 * 1024;
  private static final int LEAST_WINDOW = 2;
  private static final int LARGEST_WINDOW = 24;

  /**
   * What is out to a receiver should arrive within this: other messages go the same way and wait
   * behind it.
   */
  private static final long FAST = 150_000;

  private final long number;
  private final byte[] packed;
  private final int pieces;
  private final Map<String, Progress> receivers = new HashMap<>();

  private static final class Progress {
    /** How many pieces the receiver holds, from the first on. */
    int held;

    int sent;
    int window = LEAST_WINDOW;
    long heardAt;
    final Map<Integer, Long> sentAt = new HashMap<>();
  }

  /**
   * @param number names this snapshot, so that pieces of two are never put together
   */
  SnapshotSender(long number, WireRecord state) {
    this.number = number;
    this.packed = CompressedPayload.pack(state);
    this.pieces = (packed.length + PIECE - 1) / PIECE;
  }

  int size() {
    return packed.length;
  }

  /** The pieces to be sent to this receiver now. */
  List<WireRecord> due(String receiver, long now) {
    Progress p = receivers.computeIfAbsent(receiver, r -> new Progress());
    if (p.sent == 0) {
      p.heardAt = now;
    }
    List<WireRecord> out = new ArrayList<>();
    while (p.sent < pieces && p.sent < p.held + p.window) {
      p.sentAt.put(p.sent, now);
      out.add(piece(p.sent++));
    }
    return out;
  }

  /**
   * One piece again, if the receiver has said nothing for so long: what was out to it may be lost.
   */
  List<WireRecord> again(String receiver, long now, long patience) {
    Progress p = receivers.get(receiver);
    if (p == null || now - p.heardAt < patience) {
      return List.of();
    }
    p.heardAt = now;
    int at = Math.min(p.held, pieces - 1);
    p.sent = at + 1;
    p.window = LEAST_WINDOW;
    return List.of(piece(at));
  }

  /** The receiver says how many pieces it holds. Whether that is more than before. */
  boolean acknowledged(String receiver, long snapshot, int held, long now) {
    Progress p = receivers.get(receiver);
    if (p == null || snapshot != number || held <= p.held || held > pieces) {
      return false;
    }
    boolean fast = now - p.sentAt.getOrDefault(held - 1, 0L) < FAST;
    p.window = fast ? Math.min(LARGEST_WINDOW, p.window + 1) : Math.max(LEAST_WINDOW, p.window - 1);
    p.sentAt.keySet().removeIf(piece -> piece < held);
    p.held = held;
    p.sent = Math.max(p.sent, held);
    p.heardAt = now;
    return true;
  }

  private WireRecord piece(int at) {
    int from = at * PIECE;
    return new WireRecord("snappiece")
        .with("snapshot", number)
        .with("piece", at)
        .with("of", pieces)
        .with("bytes", Arrays.copyOfRange(packed, from, Math.min(packed.length, from + PIECE)));
  }
}
