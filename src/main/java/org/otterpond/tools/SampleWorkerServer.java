package org.otterpond.tools;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import org.otterpond.net.EventLoop;
import org.otterpond.net.HttpListener;
import org.otterpond.net.HttpMessage;
import org.otterpond.net.RequestHandler;
import org.otterpond.net.ServerExchange;

/** A worker for trying a system out: answers every request at once, with a stamp that names it. */
public final class SampleWorkerServer implements RequestHandler {
  private final String id;
  private long served;

  public SampleWorkerServer(EventLoop eventLoop, String id, InetSocketAddress at)
      throws IOException {
    this.id = id;
    new HttpListener(eventLoop, this, at, 200, 16L << 20);
  }

  /** Calls answered so far, grants among them. */
  long served() {
    return served;
  }

  @Override
  public void handle(ServerExchange call) {
    HttpMessage r = call.request();
    String expected = r.first("X-Otterpond-Expected-Instance");
    if (expected != null && !expected.equals(id)) {
      call.answer(HttpMessage.response(421).header("X-Otterpond-Not-Executed", "other-instance"));
      return;
    }
    served++;
    call.answer(
        HttpMessage.response(200)
            .header("X-Otterpond-Attempt-Id", r.first("X-Otterpond-Attempt-Id"))
            .header("X-Otterpond-Server-Seal", id + "." + served)
            .header("Content-Type", "text/plain")
            .body(("served " + r.target() + "\n").getBytes(StandardCharsets.UTF_8)));
  }
}
