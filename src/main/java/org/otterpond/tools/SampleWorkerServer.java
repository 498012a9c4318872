package org.otterpond.tools;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import org.otterpond.net.EventLoop;
import org.otterpond.net.HttpListener;
import org.otterpond.net.HttpMessage;
import org.otterpond.net.RequestHandler;
import org.otterpond.net.ServerExchange;

/**
 * A worker that answers every request at once, with a seal that names its instance. Used by the
 * owner thread of its event loop only.
 */
public final class SampleWorkerServer implements RequestHandler {
  private static final int MAX_CONNECTIONS = 200;
  private static final long MAX_BODY_BYTES = 16L << 20;
  private static final int OK = 200;
  private static final int MISDIRECTED_REQUEST = 421;
  private static final String ATTEMPT_ID = "X-Otterpond-Attempt-Id";

  private final String instance;
  private long served;

  /**
   * Starts listening.
   *
   * @param instance the worker's instance
   * @param address the address to listen on
   * @throws IOException if the address cannot be bound
   */
  public SampleWorkerServer(EventLoop eventLoop, String instance, InetSocketAddress address)
      throws IOException {
    this.instance = instance;
    new HttpListener(eventLoop, this, address, MAX_CONNECTIONS, MAX_BODY_BYTES);
  }

  /** The number of requests answered so far, key-range grants among them. */
  long served() {
    return served;
  }

  @Override
  public void handle(ServerExchange exchange) {
    HttpMessage request = exchange.request();
    String expected = request.firstHeader("X-Otterpond-Expected-Instance");
    if (expected != null && !expected.equals(instance)) {
      exchange.answer(
          HttpMessage.response(MISDIRECTED_REQUEST)
              .header("X-Otterpond-Not-Executed", "other-instance"));
      return;
    }
    served++;
    exchange.answer(
        HttpMessage.response(OK)
            .header(ATTEMPT_ID, request.firstHeader(ATTEMPT_ID))
            .header("X-Otterpond-Server-Seal", instance + "." + served)
            .header("Content-Type", "text/plain")
            .body(("served " + request.target() + "\n").getBytes(StandardCharsets.UTF_8)));
  }
}
