package org.otterpond.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/**
 * Guards against a connection that goes on with a part of its input missing, after memory has ended
 * while it was read. Runs over real sockets.
 */
class OutOfMemoryConnectionTest {
  private static final String REQUEST =
      "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
  private static final int READ_TIMEOUT_MILLIS = 5_000;

  /** Runs out of memory with the first request. */
  private static final class ExhaustedHandler implements RequestHandler {
    private boolean exhausted;

    @Override
    public void handle(ServerExchange exchange) {
      if (!exhausted) {
        exhausted = true;
        throw new OutOfMemoryError("by the test");
      }
      exchange.answer(HttpMessage.response(200));
    }
  }

  private static String call(String address) throws IOException {
    try (Socket socket = new Socket()) {
      socket.setSoTimeout(READ_TIMEOUT_MILLIS);
      socket.connect(PeerTransport.address(address));
      socket.getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));
      byte[] response = new byte[1024];
      int count = socket.getInputStream().read(response);
      return new String(response, 0, Math.max(0, count), StandardCharsets.US_ASCII);
    }
  }

  @Test
  void givenMemoryEndsInRequest_whenItsConnectionGoesOn_thenItIsClosedAndOthersAreServed()
      throws IOException {
    EventLoop eventLoop = new EventLoop();
    String address = LoopbackAddresses.unused();
    new HttpListener(
        eventLoop, new ExhaustedHandler(), PeerTransport.address(address), 10, 1_000_000);
    LoopbackAddresses.startDaemon(eventLoop);

    assertEquals("", call(address));
    assertTrue(call(address).startsWith("HTTP/1.1 200"));
    eventLoop.stop();
  }
}
