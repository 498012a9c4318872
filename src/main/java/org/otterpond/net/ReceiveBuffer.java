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
 * The input of one connection that has not been parsed yet. It reads lines more strictly than
 * HttpCore's own buffer: a line ends with CRLF; a bare CR, a bare LF or another control character
 * is an error.
 */
final class ReceiveBuffer implements SessionInputBuffer {
  private static final int DEFAULT_MAX_LINE_BYTES = 16 * 1024;
  private static final int MIN_CAPACITY_BYTES = 512;
  private static final int FIRST_PRINTABLE = 0x20;
  private static final int DELETE = 0x7f;
  private static final byte[] NO_BYTES = new byte[0];

  /** The input is from {@code from} to {@code to}. */
  private byte[] bytes = NO_BYTES;

  private int from;
  private int to;

  /** Before this index there is no line end. */
  private int scanned;

  private int maxLineBytes = DEFAULT_MAX_LINE_BYTES;
  private boolean chunkedBody;

  void maxLineBytes(int limit) {
    maxLineBytes = limit;
  }

  /** Sets whether lines are those of a chunked body, which begin with no sign and no blank. */
  void chunkedBody(boolean isChunked) {
    chunkedBody = isChunked;
  }

  void put(ByteBuffer source) {
    int count = source.remaining();
    if (from == to) {
      from = 0;
      to = 0;
      scanned = 0;
    }
    if (to + count > bytes.length) {
      makeRoom(count);
    }
    source.get(bytes, to, count);
    to += count;
  }

  private void makeRoom(int count) {
    int used = to - from;
    byte[] target = bytes;
    if (used + count > bytes.length) {
      target = new byte[Math.max(used + count, Math.max(MIN_CAPACITY_BYTES, used * 2))];
    }
    System.arraycopy(bytes, from, target, 0, used);
    bytes = target;
    scanned -= from;
    from = 0;
    to = used;
  }

  /** Releases the memory if there is no input. */
  void trim() {
    if (from == to) {
      bytes = NO_BYTES;
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
  public int read(ByteBuffer target, int max) {
    int count = Math.min(Math.min(max, target.remaining()), to - from);
    target.put(bytes, from, count);
    from += count;
    return count;
  }

  @Override
  public int read(ByteBuffer target) {
    return read(target, Integer.MAX_VALUE);
  }

  @Override
  public int read(WritableByteChannel target, int max) throws IOException {
    int count = target.write(ByteBuffer.wrap(bytes, from, Math.min(max, to - from)));
    from += count;
    return count;
  }

  @Override
  public int read(WritableByteChannel target) throws IOException {
    return read(target, Integer.MAX_VALUE);
  }

  /** Removes input and returns it. */
  byte[] take(int max) {
    int count = Math.min(max, to - from);
    byte[] taken = Arrays.copyOfRange(bytes, from, from + count);
    from += count;
    return taken;
  }

  @Override
  public boolean readLine(CharArrayBuffer line, boolean endOfStream) throws IOException {
    int lineFeed = Math.max(from, scanned);
    while (lineFeed < to && bytes[lineFeed] != '\n') {
      lineFeed++;
    }
    if (lineFeed - from > maxLineBytes) {
      throw new MessageConstraintException("line too long");
    }
    if (lineFeed == to) {
      scanned = lineFeed;
      return false;
    }
    int end = lineFeed - 1;
    if (end < from || bytes[end] != '\r') {
      throw new MalformedMessageException("a line without CRLF");
    }
    if (chunkedBody && end > from) {
      checkChunkLine(bytes[from]);
    }
    copyLine(line, end);
    from = lineFeed + 1;
    scanned = from;
    return true;
  }

  private static void checkChunkLine(byte first) throws MalformedMessageException {
    if (first == '+' || first == '-' || first == ' ' || first == '\t') {
      throw new MalformedMessageException("not a chunk size");
    }
  }

  private void copyLine(CharArrayBuffer line, int end) throws MalformedMessageException {
    for (int i = from; i < end; i++) {
      int character = bytes[i] & 0xff;
      if ((character < FIRST_PRINTABLE && character != '\t') || character == DELETE) {
        throw new MalformedMessageException("control character");
      }
      line.append((char) character);
    }
  }
}
