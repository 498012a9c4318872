package org.otterpond.drill;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import org.otterpond.quay.Call;
import org.otterpond.quay.CallHandler;
import org.otterpond.quay.FrontDoor;
import org.otterpond.quay.Missive;
import org.otterpond.quay.Quay;

/** A worker for trying a system out: answers every request at once, with a stamp that names it. */
public final class StandInWorker implements CallHandler {
  private final String id;
  private long served;

  public StandInWorker(Quay quay, String id, InetSocketAddress at) throws IOException {
    this.id = id;
    new FrontDoor(quay, this, at, 200, 16L << 20);
  }

  /** Calls answered so far, grants among them. */
  long served() {
    return served;
  }

  @Override
  public void handle(Call call) {
    Missive r = call.request();
    String expected = r.first("X-Otterpond-Expected-Instance");
    if (expected != null && !expected.equals(id)) {
      call.answer(Missive.response(421).header("X-Otterpond-Not-Executed", "other-instance"));
      return;
    }
    served++;
    call.answer(
        Missive.response(200)
            .header("X-Otterpond-Attempt-Id", r.first("X-Otterpond-Attempt-Id"))
            .header("X-Otterpond-Server-Seal", id + "." + served)
            .header("Content-Type", "text/plain")
            .body(("served " + r.target() + "\n").getBytes(StandardCharsets.UTF_8)));
  }
}
