package org.otterpond.proxy;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.otterpond.keyrange.KeyRangeRuntime;
import org.otterpond.net.EventLoop;
import org.otterpond.net.HttpMessage;
import org.otterpond.net.PeerTransport;
import org.otterpond.net.ResponseListener;
import org.otterpond.net.WorkerConnection;
import org.otterpond.net.WorkerConnectionPool;

/** Calls to workers for the keeper of the key ranges, on connections of their own. */
final class WorkerClient {
  private static final String RELEASE = "/-/release";
  private static final String TOKEN = "X-Otterpond-Lease-Transfer";
  private static final long ANSWER_BOUND = 64 * 1024;
  private static final long SWEEP = 2_000_000;
  private static final long UNUSED = 60_000_000;

  private final EventLoop eventLoop;
  private final Map<String, Line> lines = new HashMap<>();

  private static final class Line {
    final WorkerConnectionPool pool;
    long usedAt;

    Line(WorkerConnectionPool pool) {
      this.pool = pool;
    }
  }

  WorkerClient(EventLoop eventLoop) {
    this.eventLoop = eventLoop;
  }

  /**
   * One connection pool for each life of a worker: what is on its way to one must not reach the
   * next. Workers do not say which call an answer is to, and a second answer to an earlier one must
   * not stand for a release's, which gives the keys away: it goes on a connection on which nothing
   * was asked before. A grant wrongly taken for answered only costs refusals.
   */
  void call(
      String address,
      String instance,
      String path,
      String body,
      long timeout,
      Consumer<KeyRangeRuntime.Answer> answer) {
    Line line;
    try {
      line =
          lines.computeIfAbsent(
              address + " " + instance,
              a -> {
                if (lines.isEmpty()) {
                  eventLoop.after(SWEEP, this::sweep);
                }
                return new Line(
                    new WorkerConnectionPool(
                        eventLoop,
                        PeerTransport.address(address),
                        ANSWER_BOUND,
                        ProxyHandler.ATTEMPT_ID));
              });
    } catch (RuntimeException e) {
      answer.accept(new KeyRangeRuntime.Answer(0, null, false));
      return;
    }
    line.usedAt = EventLoop.now();
    HttpMessage m =
        HttpMessage.request("POST", path)
            .header("Host", address)
            .header("Content-Type", "application/json")
            .body(body.getBytes(StandardCharsets.UTF_8));
    boolean[] done = {false};
    WorkerConnection[] connection = {null};
    EventLoop.Timer timer =
        eventLoop.after(
            timeout,
            () -> {
              if (!done[0]) {
                done[0] = true;
                if (connection[0] != null) {
                  connection[0].abandon();
                }
                answer.accept(new KeyRangeRuntime.Answer(0, null, true));
              }
            });
    connection[0] =
        line.pool.send(
            m,
            timeout,
            path.equals(RELEASE) ? WorkerConnectionPool.NEW_ONLY : Long.MAX_VALUE,
            new ResponseListener() {
              @Override
              public void answered(HttpMessage r) {
                if (!done[0]) {
                  done[0] = true;
                  timer.cancel();
                  answer.accept(new KeyRangeRuntime.Answer(r.status(), r.first(TOKEN), true));
                }
              }

              @Override
              public void failed(boolean written, String why) {
                if (!done[0]) {
                  done[0] = true;
                  timer.cancel();
                  answer.accept(new KeyRangeRuntime.Answer(0, null, written));
                }
              }
            });
  }

  private void sweep() {
    long now = EventLoop.now();
    lines
        .values()
        .removeIf(
            l -> {
              l.pool.sweep();
              if (now - l.usedAt > UNUSED) {
                l.pool.close();
                return true;
              }
              return false;
            });
    if (!lines.isEmpty()) {
      eventLoop.after(SWEEP, this::sweep);
    }
  }
}
