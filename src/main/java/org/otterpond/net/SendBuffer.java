package org.otterpond.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;

/** The output of one connection that the kernel has not taken yet. */
final class SendBuffer {
  private final ArrayDeque<ByteBuffer> queue = new ArrayDeque<>();
  private long addedBytes;
  private long writtenBytes;

  void add(byte[] bytes) {
    if (bytes.length > 0) {
      queue.add(ByteBuffer.wrap(bytes));
      addedBytes += bytes.length;
    }
  }

  boolean isEmpty() {
    return queue.isEmpty();
  }

  /** Returns how many bytes the kernel has taken so far. */
  long writtenBytes() {
    return writtenBytes;
  }

  /** Returns how many bytes wait. */
  long pendingBytes() {
    return addedBytes - writtenBytes;
  }

  /**
   * Writes what the kernel takes.
   *
   * @param ioBuffer through which the bytes are copied out of the heap
   * @return whether nothing is left
   */
  boolean flush(SocketChannel channel, ByteBuffer ioBuffer) throws IOException {
    while (!queue.isEmpty()) {
      fill(ioBuffer);
      int count = channel.write(ioBuffer);
      writtenBytes += count;
      remove(count);
      if (ioBuffer.hasRemaining()) {
        return false;
      }
    }
    return true;
  }

  private void fill(ByteBuffer ioBuffer) {
    ioBuffer.clear();
    for (ByteBuffer next : queue) {
      int count = Math.min(next.remaining(), ioBuffer.remaining());
      ioBuffer.put(next.array(), next.arrayOffset() + next.position(), count);
      if (!ioBuffer.hasRemaining()) {
        break;
      }
    }
    ioBuffer.flip();
  }

  private void remove(int count) {
    int left = count;
    while (left > 0) {
      ByteBuffer first = queue.peek();
      int taken = Math.min(left, first.remaining());
      first.position(first.position() + taken);
      left -= taken;
      if (!first.hasRemaining()) {
        queue.poll();
      }
    }
  }
}
