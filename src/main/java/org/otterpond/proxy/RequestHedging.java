package org.otterpond.proxy;

import java.util.function.Consumer;
import org.otterpond.config.Route;
import org.otterpond.net.EventLoop;

/**
 * Hedges idempotent requests: one that has waited for most of its latency target, at a worker that
 * answers nothing, is sent to another as well, if the retry budget allows. A worker that answers
 * others is only busy, and more load would not help.
 */
final class RequestHedging {
  private final EventLoop eventLoop;
  private final ProxyMetrics metrics;
  private final QuotaAdmission quota;
  private final Consumer<RequestContext> dispatch;

  RequestHedging(DataPathServices services, Consumer<RequestContext> dispatch) {
    this.eventLoop = services.eventLoop();
    this.metrics = services.metrics();
    this.quota = services.quota();
    this.dispatch = dispatch;
  }

  /** Schedules the hedged request for an attempt that was sent just now. */
  void schedule(RequestContext request) {
    if (request.hedgeTimer != null) {
      request.hedgeTimer.cancel();
    }
    if (request.idempotent()
        && !request.finished
        && !request.hasPartitionKey()
        && request.attemptCount() < request.route.maxAttempts()) {
      request.hedgeTimer = eventLoop.after(delayMicros(request.route), () -> hedge(request));
    }
  }

  private static long delayMicros(Route route) {
    return LatencyTarget.micros(route) * 9 / 10;
  }

  private void hedge(RequestContext request) {
    long now = EventLoop.now();
    if (!useful(request, now)) {
      return;
    }
    if (request.countsAgainstQuota() && !request.quotaTokenReserved && !quota.tryReserve(request)) {
      return;
    }
    if (request.endpoints.retryBudget().spend(now)) {
      metrics.hedges.increment();
      dispatch.accept(request);
    }
  }

  private static boolean useful(RequestContext request, long now) {
    return !request.finished
        && request.openAttempts.size() == 1
        && request.openAttempts.get(0).workerSilentSinceSent()
        && request.attemptCount() < request.route.maxAttempts()
        && request.timeLeftMicros(now) >= delayMicros(request.route) / 2
        && request.endpoints.select(now, request.triedInstances) != null;
  }
}
