package org.otterpond.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Messages that are cut, or that arrive in two pieces, at every byte. */
class HttpMessageFragmentsTest {
  private static final String CHUNKED =
      "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n10;x=1\r\n0123456789abcdef\r\n"
          + "0\r\nX-After: 1\r\n\r\n";
  private static final String SIZED = "Content-Length: 9\r\n\r\nhe\r\n\r\nllo";

  private final ReceiveBuffer in = new ReceiveBuffer();

  private void put(String bytes) {
    in.put(ByteBuffer.wrap(bytes.getBytes(StandardCharsets.ISO_8859_1)));
  }

  private static HttpMessage read(HttpMessageParser r, boolean end) {
    try {
      return r.next(end);
    } catch (MalformedMessageException e) {
      return null;
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 OK\r\n" + CHUNKED,
        "HTTP/1.1 200 OK\r\n" + SIZED,
        "HTTP/1.1 204 None\r\n\r\n",
        "HTTP/1.1 304 Same\r\nContent-Length: 7\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + SIZED,
        "POST /x HTTP/1.1\r\nHost: h\r\n" + CHUNKED,
        "POST /x HTTP/1.1\r\nHost: h\r\n" + SIZED
      })
  void isWholeWithItsLastByteAndNotBefore(String whole) throws Exception {
    boolean request = whole.startsWith("POST");
    put(whole);
    String body = text(new HttpMessageParser(in, request).next(false));
    assertEquals(0, in.length());
    for (int cut = 1; cut < whole.length(); cut++) {
      HttpMessageParser r = new HttpMessageParser(in, request);
      put(whole.substring(0, cut));
      assertNull(read(r, false), "whole after " + cut);
      put(whole.substring(cut));
      assertEquals(body, text(r.next(false)), "in two pieces, at " + cut);
      assertEquals(0, in.length());
      put(whole.substring(0, cut));
      assertNull(read(new HttpMessageParser(in, request), true), "ended after " + cut);
      in.take(whole.length());
    }
  }

  private static String text(HttpMessage m) {
    return m.status() + " " + new String(m.body(), StandardCharsets.ISO_8859_1);
  }

  /**
   * The answer to a HEAD has a length and no body; what comes behind it is the next one's trouble.
   */
  @ParameterizedTest
  @ValueSource(strings = {SIZED, CHUNKED})
  void answerToHeadEndsWithItsHead(String rest) throws Exception {
    HttpMessageParser r = new HttpMessageParser(in, false);
    r.expect(true);
    put("HTTP/1.1 200 OK\r\n" + rest);
    assertEquals("200 ", text(r.next(false)));
    assertEquals(rest.length() - rest.indexOf("\r\n\r\n") - 4, in.length());
  }
}
