package org.otterpond.proxy;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.otterpond.keyrange.KeyRangeRuntime;
import org.otterpond.net.EventLoop;
import org.otterpond.net.HttpMessage;
import org.otterpond.net.ResponseListener;
import org.otterpond.net.WorkerConnection;
import org.otterpond.net.WorkerConnectionPool;

/** Calls to workers for the manager of the key ranges, on connections of their own. */
final class WorkerClient {
  private static final String RELEASE_PATH = "/-/release";
  private static final String HANDOVER_TOKEN = "X-Otterpond-Lease-Transfer";
  private static final long MAX_RESPONSE_BYTES = 64 * 1024;
  private static final long SWEEP_MICROS = 2_000_000;
  private static final long UNUSED_POOL_MICROS = 60_000_000;

  /** One call to a worker instance. */
  record Call(String address, String instance, String path, String body, long timeoutMicros) {}

  private static final class Pool {
    final WorkerConnectionPool connections;
    long usedAtMicros;

    Pool(WorkerConnectionPool connections) {
      this.connections = connections;
    }
  }

  private final EventLoop eventLoop;
  private final Map<String, Pool> pools = new HashMap<>();

  WorkerClient(EventLoop eventLoop) {
    this.eventLoop = eventLoop;
  }

  /**
   * Sends a call; the listener gets the answer, or one with status 0 if there was none in time.
   *
   * <p>Each worker instance has its own pool: what is in flight to one must not reach the next.
   * Workers do not say which call an answer belongs to, and a second answer to an earlier call must
   * not stand for that of a release, which gives the keys away. So a release goes on a connection
   * on which nothing was sent before. A grant wrongly taken for answered costs rejections only.
   */
  void call(Call call, Consumer<KeyRangeRuntime.Answer> listener) {
    Pool pool;
    try {
      pool = pool(call);
    } catch (MalformedAddressException e) {
      listener.accept(new KeyRangeRuntime.Answer(0, null, false));
      return;
    }
    pool.usedAtMicros = EventLoop.now();
    HttpMessage request =
        HttpMessage.request("POST", call.path())
            .header("Host", call.address())
            .header("Content-Type", "application/json")
            .body(call.body().getBytes(StandardCharsets.UTF_8));
    PendingCall pending = new PendingCall(listener);
    pending.timer = eventLoop.after(call.timeoutMicros(), pending::timedOut);
    pending.connection =
        pool.connections.send(
            request,
            call.timeoutMicros(),
            call.path().equals(RELEASE_PATH) ? WorkerConnectionPool.NEW_ONLY : Long.MAX_VALUE,
            pending);
  }

  private Pool pool(Call call) throws MalformedAddressException {
    String key = call.address() + " " + call.instance();
    Pool pool = pools.get(key);
    if (pool == null) {
      pool = new Pool(WorkerConnectionPools.open(eventLoop, call.address(), MAX_RESPONSE_BYTES));
      if (pools.isEmpty()) {
        eventLoop.after(SWEEP_MICROS, this::sweep);
      }
      pools.put(key, pool);
    }
    return pool;
  }

  private void sweep() {
    long now = EventLoop.now();
    pools.values().removeIf(pool -> closeIfUnused(pool, now));
    if (!pools.isEmpty()) {
      eventLoop.after(SWEEP_MICROS, this::sweep);
    }
  }

  private static boolean closeIfUnused(Pool pool, long nowMicros) {
    pool.connections.sweep();
    boolean unused = nowMicros - pool.usedAtMicros > UNUSED_POOL_MICROS;
    if (unused) {
      pool.connections.close();
    }
    return unused;
  }

  /** Passes the first of answer, failure and time-out on. */
  private static final class PendingCall implements ResponseListener {
    private final Consumer<KeyRangeRuntime.Answer> listener;
    EventLoop.Timer timer;
    WorkerConnection connection;
    private boolean done;

    PendingCall(Consumer<KeyRangeRuntime.Answer> listener) {
      this.listener = listener;
    }

    @Override
    public void answered(HttpMessage response) {
      finish(
          new KeyRangeRuntime.Answer(
              response.status(), response.firstHeader(HANDOVER_TOKEN), true));
    }

    @Override
    public void failed(boolean written, String why) {
      finish(new KeyRangeRuntime.Answer(0, null, written));
    }

    void timedOut() {
      if (!done && connection != null) {
        connection.abandon();
      }
      finish(new KeyRangeRuntime.Answer(0, null, true));
    }

    private void finish(KeyRangeRuntime.Answer answer) {
      if (!done) {
        done = true;
        timer.cancel();
        listener.accept(answer);
      }
    }
  }
}
