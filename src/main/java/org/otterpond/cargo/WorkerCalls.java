package org.otterpond.cargo;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.otterpond.keys.KeeperHost;
import org.otterpond.quay.Links;
import org.otterpond.quay.Missive;
import org.otterpond.quay.Quay;
import org.otterpond.quay.Reception;
import org.otterpond.quay.Tender;
import org.otterpond.quay.TenderPool;

/** Calls to workers for the keeper of the key ranges, on connections of their own. */
final class WorkerCalls {
  private static final String RELEASE = "/-/release";
  private static final String TOKEN = "X-Otterpond-Lease-Transfer";
  private static final long ANSWER_BOUND = 64 * 1024;
  private static final long SWEEP = 2_000_000;
  private static final long UNUSED = 60_000_000;

  private final Quay quay;
  private final Map<String, Line> lines = new HashMap<>();

  private static final class Line {
    final TenderPool pool;
    long usedAt;

    Line(TenderPool pool) {
      this.pool = pool;
    }
  }

  WorkerCalls(Quay quay) {
    this.quay = quay;
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
      Consumer<KeeperHost.Answer> answer) {
    Line line;
    try {
      line =
          lines.computeIfAbsent(
              address + " " + instance,
              a -> {
                if (lines.isEmpty()) {
                  quay.after(SWEEP, this::sweep);
                }
                return new Line(
                    new TenderPool(
                        quay, Links.address(address), ANSWER_BOUND, Pilotage.ATTEMPT_ID));
              });
    } catch (RuntimeException e) {
      answer.accept(new KeeperHost.Answer(0, null, false));
      return;
    }
    line.usedAt = Quay.now();
    Missive m =
        Missive.request("POST", path)
            .header("Host", address)
            .header("Content-Type", "application/json")
            .body(body.getBytes(StandardCharsets.UTF_8));
    boolean[] done = {false};
    Tender[] tender = {null};
    Quay.Timer timer =
        quay.after(
            timeout,
            () -> {
              if (!done[0]) {
                done[0] = true;
                if (tender[0] != null) {
                  tender[0].abandon();
                }
                answer.accept(new KeeperHost.Answer(0, null, true));
              }
            });
    tender[0] =
        line.pool.send(
            m,
            timeout,
            path.equals(RELEASE) ? TenderPool.NEW_ONLY : Long.MAX_VALUE,
            new Reception() {
              @Override
              public void answered(Missive r) {
                if (!done[0]) {
                  done[0] = true;
                  timer.cancel();
                  answer.accept(new KeeperHost.Answer(r.status(), r.first(TOKEN), true));
                }
              }

              @Override
              public void failed(boolean written, String why) {
                if (!done[0]) {
                  done[0] = true;
                  timer.cancel();
                  answer.accept(new KeeperHost.Answer(0, null, written));
                }
              }
            });
  }

  private void sweep() {
    long now = Quay.now();
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
      quay.after(SWEEP, this::sweep);
    }
  }
}
