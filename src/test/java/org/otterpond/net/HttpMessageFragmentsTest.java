package org.otterpond.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Messages that are cut off at any byte, or that come in two fragments. */
class HttpMessageFragmentsTest {
  private static final String CHUNKED =
      """
      Transfer-Encoding: chunked\r
      \r
      5\r
      hello\r
      10;x=1\r
      0123456789abcdef\r
      0\r
      X-After: 1\r
      \r
      """;
  private static final String WITH_LENGTH = "Content-Length: 9\r\n\r\nhe\r\n\r\nllo";

  private final ReceiveBuffer input = new ReceiveBuffer();

  private HttpMessageParser parser(boolean ofRequests) {
    return ofRequests ? HttpMessageParser.ofRequests(input) : HttpMessageParser.ofResponses(input);
  }

  private void put(String bytes) {
    input.put(ByteBuffer.wrap(bytes.getBytes(StandardCharsets.ISO_8859_1)));
  }

  private static HttpMessage nextOrNull(HttpMessageParser parser, boolean inputEnded) {
    try {
      return parser.next(inputEnded);
    } catch (MalformedMessageException e) {
      return null;
    }
  }

  private static String statusAndBody(HttpMessage message) {
    return message.status() + " " + new String(message.body(), StandardCharsets.ISO_8859_1);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 OK\r\n" + CHUNKED,
        "HTTP/1.1 200 OK\r\n" + WITH_LENGTH,
        "HTTP/1.1 204 None\r\n\r\n",
        "HTTP/1.1 304 Same\r\nContent-Length: 7\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + WITH_LENGTH,
        "POST /x HTTP/1.1\r\nHost: h\r\n" + CHUNKED,
        "POST /x HTTP/1.1\r\nHost: h\r\n" + WITH_LENGTH
      })
  void givenMessageCutAtAnyByte_whenParsed_thenCompleteWithItsLastByteOnly(String message)
      throws Exception {
    boolean request = message.startsWith("POST");
    put(message);
    final String expected = statusAndBody(parser(request).next(false));
    assertEquals(0, input.length());
    for (int cut = 1; cut < message.length(); cut++) {
      HttpMessageParser parser = parser(request);
      put(message.substring(0, cut));
      assertNull(nextOrNull(parser, false), "complete after " + cut);
      put(message.substring(cut));
      assertEquals(expected, statusAndBody(parser.next(false)), "in two fragments, at " + cut);
      assertEquals(0, input.length());
      put(message.substring(0, cut));
      assertNull(nextOrNull(parser(request), true), "ended after " + cut);
      input.take(message.length());
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {WITH_LENGTH, CHUNKED})
  void givenResponseToHead_whenParsed_thenItEndsWithItsHeaders(String headersAndMore)
      throws Exception {
    HttpMessageParser parser = parser(false);
    parser.responseToHead(true);
    put("HTTP/1.1 200 OK\r\n" + headersAndMore);
    assertEquals("200 ", statusAndBody(parser.next(false)));
    int afterHeaders = headersAndMore.length() - headersAndMore.indexOf("\r\n\r\n") - 4;
    assertEquals(afterHeaders, input.length());
  }
}
