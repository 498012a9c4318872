package org.otterpond.net;

import java.nio.ByteBuffer;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;
import org.otterpond.protocol.WireRecordCodec;

/**
 * The input of a connection between nodes, as frames: a length (4 bytes) and so many bytes of CBOR,
 * or one of two lengths that stand for a ping or a pong without a body.
 */
final class PeerFrameBuffer {
  static final int LENGTH_BYTES = 4;
  static final int PING = 0;
  static final int PONG = -1;
  private static final int MAX_FRAME_BYTES = 64 << 20;
  private static final int INITIAL_BYTES = 512;

  /** An empty buffer above this size is replaced by a small one. */
  private static final int MAX_RETAINED_BYTES = 64 * 1024;

  private byte[] bytes = new byte[INITIAL_BYTES];

  /** Input is from {@code from} to {@code to}. */
  private int from;

  private int to;

  void put(ByteBuffer source) {
    int count = source.remaining();
    if (to + count > bytes.length) {
      byte[] larger = new byte[Math.max(bytes.length * 2, to + count)];
      System.arraycopy(bytes, 0, larger, 0, to);
      bytes = larger;
    }
    source.get(bytes, to, count);
    to += count;
  }

  /** Whether the length of the next frame is there. */
  boolean hasLength() {
    return to - from >= LENGTH_BYTES;
  }

  /**
   * Returns the length of the next frame, {@link #PING} or {@link #PONG}.
   *
   * @throws ProtocolException if no frame has such a length
   */
  int length() throws ProtocolException {
    int length = ByteBuffer.wrap(bytes, from, LENGTH_BYTES).getInt();
    if (length < PONG || length > MAX_FRAME_BYTES) {
      throw new ProtocolException("frame of " + length + " bytes");
    }
    return length;
  }

  /** Whether all of the next frame is there. */
  boolean hasFrame(int length) {
    return to - from - LENGTH_BYTES >= length;
  }

  /** Removes a ping or pong. */
  void skipLength() {
    from += LENGTH_BYTES;
  }

  /** Returns the message of the next frame and removes it. */
  WireRecord take(int length) throws ProtocolException {
    WireRecord message = WireRecordCodec.decode(bytes, from + LENGTH_BYTES, length);
    from += LENGTH_BYTES + length;
    return message;
  }

  /** Makes room for more input once all complete frames have been taken. */
  void compact() {
    System.arraycopy(bytes, from, bytes, 0, to - from);
    to -= from;
    from = 0;
    if (to == 0 && bytes.length > MAX_RETAINED_BYTES) {
      bytes = new byte[INITIAL_BYTES];
    }
  }
}
