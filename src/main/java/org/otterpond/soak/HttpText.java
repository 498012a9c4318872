package org.otterpond.soak;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/** Reads and takes apart HTTP/1.1 messages whose bodies have a Content-Length. */
final class HttpText {
  private static final String HEAD_END = "\r\n\r\n";
  private static final int MAX_HEAD_BYTES = 32 * 1024;

  private HttpText() {}

  /**
   * Reads a start line with its headers.
   *
   * @return null at the end of the input
   * @throws IOException if the head is too long or the input fails
   */
  static String readHead(InputStream in) throws IOException {
    ByteArrayOutputStream head = new ByteArrayOutputStream();
    int matched = 0;
    while (matched < HEAD_END.length()) {
      int next = in.read();
      if (next < 0) {
        return null;
      }
      head.write(next);
      if (head.size() > MAX_HEAD_BYTES) {
        throw new IOException("head too long");
      }
      matched = next == HEAD_END.charAt(matched) ? matched + 1 : next == '\r' ? 1 : 0;
    }
    return head.toString(StandardCharsets.ISO_8859_1);
  }

  /** Reads a body; null if the input ends before. */
  static String readBody(InputStream in, String head) throws IOException {
    String length = header(head, "Content-Length");
    int expected = length == null ? 0 : Integer.parseInt(length);
    byte[] body = in.readNBytes(expected);
    return body.length < expected ? null : new String(body, StandardCharsets.ISO_8859_1);
  }

  /** Returns the first value of a header, or null. */
  static String header(String head, String name) {
    for (String line : head.split("\r\n", -1)) {
      if (line.regionMatches(true, 0, name + ":", 0, name.length() + 1)) {
        return line.substring(name.length() + 1).trim();
      }
    }
    return null;
  }

  /**
   * Returns the second word of the start line: the target of a request, the status of a response.
   */
  static String secondWord(String head) {
    return head.split(" ", 3)[1];
  }
}
