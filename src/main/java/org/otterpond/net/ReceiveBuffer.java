package org.otterpond.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.nio.channels.WritableByteChannel;
import java.util.Arrays;
import org.apache.hc.core5.http.MessageConstraintException;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;

/**
 * Bytes that arrived on one connection and were not used yet. It reads lines more strictly than
 * HttpCore's own buffer: lines end with CRLF, a bare CR or another control character is an error.
 */
final class ReceiveBuffer implements SessionInputBuffer {
  private byte[] bytes = new byte[0];
  private int from;
  private int to;
  private int scanned;
  private int maxLine = 16 * 1024;
  private boolean bodyLines;

  void maxLine(int max) {
    maxLine = max;
  }

  /** In a chunked body no line begins with a sign or a blank. */
  void bodyLines(boolean on) {
    bodyLines = on;
  }

  void put(ByteBuffer src) {
    int n = src.remaining();
    if (from == to) {
      from = 0;
      to = 0;
      scanned = 0;
    }
    if (to + n > bytes.length) {
      int used = to - from;
      byte[] target =
          used + n > bytes.length ? new byte[Math.max(used + n, Math.max(512, used * 2))] : bytes;
      System.arraycopy(bytes, from, target, 0, used);
      bytes = target;
      scanned -= from;
      from = 0;
      to = used;
    }
    src.get(bytes, to, n);
    to += n;
  }

  /** Lets go of the memory while nothing is buffered. */
  void trim() {
    if (from == to && bytes.length > 0) {
      bytes = new byte[0];
      from = 0;
      to = 0;
      scanned = 0;
    }
  }

  @Override
  public boolean hasData() {
    return to > from;
  }

  @Override
  public int length() {
    return to - from;
  }

  @Override
  public int fill(ReadableByteChannel channel) {
    return 0;
  }

  @Override
  public int read() {
    return from < to ? bytes[from++] & 0xff : -1;
  }

  @Override
  public int read(ByteBuffer dst, int max) {
    int n = Math.min(Math.min(max, dst.remaining()), to - from);
    dst.put(bytes, from, n);
    from += n;
    return n;
  }

  @Override
  public int read(ByteBuffer dst) {
    return read(dst, Integer.MAX_VALUE);
  }

  @Override
  public int read(WritableByteChannel dst, int max) throws IOException {
    int n = dst.write(ByteBuffer.wrap(bytes, from, Math.min(max, to - from)));
    from += n;
    return n;
  }

  @Override
  public int read(WritableByteChannel dst) throws IOException {
    return read(dst, Integer.MAX_VALUE);
  }

  byte[] take(int max) {
    int n = Math.min(max, to - from);
    byte[] out = Arrays.copyOfRange(bytes, from, from + n);
    from += n;
    return out;
  }

  @Override
  public boolean readLine(CharArrayBuffer line, boolean endOfStream) throws IOException {
    int i = Math.max(from, scanned);
    while (i < to && bytes[i] != '\n') {
      i++;
    }
    if (i - from > maxLine) {
      throw new MessageConstraintException("line too long");
    }
    if (i == to) {
      scanned = i;
      return false;
    }
    if (i == from || bytes[i - 1] != '\r') {
      throw new MalformedMessageException("a line without CRLF");
    }
    if (bodyLines
        && i - 1 > from
        && (bytes[from] == '+'
            || bytes[from] == '-'
            || bytes[from] == ' '
            || bytes[from] == '\t')) {
      throw new MalformedMessageException("not a chunk size");
    }
    for (int k = from; k < i - 1; k++) {
      int c = bytes[k] & 0xff;
      if (c < 0x20 && c != '\t' || c == 0x7f) {
        throw new MalformedMessageException("control character");
      }
      line.append((char) c);
    }
    from = i + 1;
    scanned = from;
    return true;
  }
}
