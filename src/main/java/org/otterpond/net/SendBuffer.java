package org.otterpond.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.impl.EnglishReasonPhraseCatalog;

/** Bytes on their way out of one connection. */
final class SendBuffer {
  private final ArrayDeque<ByteBuffer> queue = new ArrayDeque<>();
  private long written;

  void add(byte[] bytes) {
    if (bytes.length > 0) {
      queue.add(ByteBuffer.wrap(bytes));
    }
  }

  boolean isEmpty() {
    return queue.isEmpty();
  }

  long written() {
    return written;
  }

  int pending() {
    int n = 0;
    for (ByteBuffer b : queue) {
      n += b.remaining();
    }
    return n;
  }

  /** Writes what the socket takes; true if all of it went. */
  boolean flush(SocketChannel channel, ByteBuffer scratch) throws IOException {
    while (!queue.isEmpty()) {
      scratch.clear();
      for (ByteBuffer b : queue) {
        int n = Math.min(b.remaining(), scratch.remaining());
        scratch.put(b.array(), b.arrayOffset() + b.position(), n);
        if (!scratch.hasRemaining()) {
          break;
        }
      }
      scratch.flip();
      int n = channel.write(scratch);
      written += n;
      boolean all = !scratch.hasRemaining();
      int left = n;
      while (left > 0) {
        ByteBuffer b = queue.peek();
        int k = Math.min(left, b.remaining());
        b.position(b.position() + k);
        left -= k;
        if (!b.hasRemaining()) {
          queue.poll();
        }
      }
      if (!all) {
        return false;
      }
    }
    return true;
  }

  /**
   * The same for a connection that is always read: it waits to write on only while something is
   * left.
   */
  void flush(SocketChannel channel, SelectionKey key, ByteBuffer scratch) throws IOException {
    int want = SelectionKey.OP_READ | (flush(channel, scratch) ? 0 : SelectionKey.OP_WRITE);
    if (key.interestOps() != want) {
      key.interestOps(want);
    }
  }

  /**
   * Head and body as one run of bytes; the body's length is said here, whatever the headers hold.
   */
  static byte[] encode(HttpMessage m, boolean withBody, String connection) {
    StringBuilder s = new StringBuilder(256);
    if (m.method() != null) {
      s.append(m.method()).append(' ').append(m.target()).append(" HTTP/1.1\r\n");
    } else {
      String reason = EnglishReasonPhraseCatalog.INSTANCE.getReason(m.status(), null);
      s.append("HTTP/1.1 ")
          .append(m.status())
          .append(' ')
          .append(reason == null ? "-" : reason)
          .append("\r\n");
    }
    for (Header h : m.headers().getHeaders()) {
      s.append(h.getName())
          .append(": ")
          .append(h.getValue() == null ? "" : h.getValue())
          .append("\r\n");
    }
    if (connection != null) {
      s.append("Connection: ").append(connection).append("\r\n");
    }
    boolean says =
        m.status() != 204
            && m.status() != 304
            && (m.method() == null
                || m.body().length > 0
                || !(m.method().equals("GET") || m.method().equals("HEAD")));
    if (says && m.headers().getFirstHeader("Content-Length") == null) {
      s.append("Content-Length: ").append(m.body().length).append("\r\n");
    }
    s.append("\r\n");
    byte[] head = s.toString().getBytes(StandardCharsets.ISO_8859_1);
    if (!withBody || m.body().length == 0) {
      return head;
    }
    byte[] all = new byte[head.length + m.body().length];
    System.arraycopy(head, 0, all, 0, head.length);
    System.arraycopy(m.body(), 0, all, head.length, m.body().length);
    return all;
  }
}
