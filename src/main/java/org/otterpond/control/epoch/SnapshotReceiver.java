package org.otterpond.control.epoch;

import java.io.ByteArrayOutputStream;
import org.otterpond.protocol.WireRecord;

/**
 * A snapshot that arrives in numbered pieces. It is worth nothing before it is whole: the state in
 * force stays as it is, and where a piece is missing none after it is taken.
 */
final class SnapshotReceiver {
  /** No state that a node can hold is packed larger. */
  private static final int MOST = 40 << 20;

  private final long number;
  private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
  private int held;
  private int pieces;

  SnapshotReceiver(long number) {
    this.number = number;
  }

  boolean of(long snapshot) {
    return number == snapshot;
  }

  /** Takes the piece if it is the next one; how many are held then. */
  int take(WireRecord piece) {
    byte[] next = piece.bytes("bytes");
    if (piece.number("piece") == held && !whole() && bytes.size() + next.length <= MOST) {
      bytes.writeBytes(next);
      pieces = (int) piece.number("of");
      held++;
    }
    return held;
  }

  boolean whole() {
    return held > 0 && held == pieces;
  }

  byte[] packed() {
    return bytes.toByteArray();
  }
}
