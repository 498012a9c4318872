package org.otterpond.net;

import java.nio.charset.StandardCharsets;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.impl.EnglishReasonPhraseCatalog;

/** Writes HTTP/1.1 messages. */
final class HttpMessageEncoder {
  private static final String CRLF = "\r\n";
  private static final int INITIAL_HEAD_CHARS = 256;
  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;

  private HttpMessageEncoder() {}

  /**
   * Returns head and body as one array. A missing Content-Length is added.
   *
   * @param withBody false for the response to a HEAD request
   * @param connection the value of the Connection header, or null for none
   */
  static byte[] encode(HttpMessage message, boolean withBody, String connection) {
    byte[] head = head(message, connection);
    byte[] body = message.body();
    if (!withBody || body.length == 0) {
      return head;
    }
    byte[] all = new byte[head.length + body.length];
    System.arraycopy(head, 0, all, 0, head.length);
    System.arraycopy(body, 0, all, head.length, body.length);
    return all;
  }

  private static byte[] head(HttpMessage message, String connection) {
    StringBuilder head = new StringBuilder(INITIAL_HEAD_CHARS);
    appendStartLine(head, message);
    for (Header header : message.headers().getHeaders()) {
      String value = header.getValue() == null ? "" : header.getValue();
      head.append(header.getName()).append(": ").append(value).append(CRLF);
    }
    if (connection != null) {
      head.append("Connection: ").append(connection).append(CRLF);
    }
    if (hasLength(message) && message.headers().getFirstHeader("Content-Length") == null) {
      head.append("Content-Length: ").append(message.body().length).append(CRLF);
    }
    head.append(CRLF);
    return head.toString().getBytes(StandardCharsets.ISO_8859_1);
  }

  private static void appendStartLine(StringBuilder head, HttpMessage message) {
    if (message.method() != null) {
      head.append(message.method()).append(' ').append(message.target()).append(" HTTP/1.1");
    } else {
      String reason = EnglishReasonPhraseCatalog.INSTANCE.getReason(message.status(), null);
      head.append("HTTP/1.1 ").append(message.status()).append(' ');
      head.append(reason == null ? "-" : reason);
    }
    head.append(CRLF);
  }

  /** Whether the message says how long its body is, also if it is empty (RFC 9110, 8.6). */
  private static boolean hasLength(HttpMessage message) {
    if (message.method() == null) {
      return message.status() != NO_CONTENT && message.status() != NOT_MODIFIED;
    }
    return message.body().length > 0
        || !(message.method().equals("GET") || message.method().equals("HEAD"));
  }
}
