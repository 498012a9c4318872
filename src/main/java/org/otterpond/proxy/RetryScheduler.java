package org.otterpond.proxy;

import java.util.Set;
import java.util.function.Consumer;
import org.otterpond.net.EventLoop;

/** Sends a request to another worker after an attempt that failed, as far as limits allow. */
final class RetryScheduler {
  /** Least rest of a request's time in which a retry is worth beginning. */
  private static final long MIN_TIME_LEFT_MICROS = 4 * RequestContext.MIN_TIME_LEFT_MICROS;

  private static final long OWNER_RETRY_MICROS = 25_000;

  private final EventLoop eventLoop;
  private final ProxyMetrics metrics;
  private final QuotaAdmission quota;
  private final Consumer<RequestContext> dispatch;

  RetryScheduler(DataPathServices services, Consumer<RequestContext> dispatch) {
    this.eventLoop = services.eventLoop();
    this.metrics = services.metrics();
    this.quota = services.quota();
    this.dispatch = dispatch;
  }

  /**
   * Retries a request if its client still waits and its route, its time and the retry budget allow.
   *
   * @param reachedWorker whether bytes of the last attempt may have reached the worker; if not, the
   *     retry costs the budget nothing and may be one more than the route allows
   * @param otherwise runs if the request is not retried
   */
  void retryOr(RequestContext request, boolean reachedWorker, Runnable otherwise) {
    long now = EventLoop.now();
    int maxAttempts = request.route.maxAttempts() + (reachedWorker ? 0 : 1);
    boolean allowed =
        !request.abandoned()
            && request.attemptCount() < Math.max(maxAttempts, 1)
            && request.timeLeftMicros(now) > MIN_TIME_LEFT_MICROS;
    if (allowed && request.endpoints.partitioned()) {
      retryOwnerLater(request, reachedWorker, otherwise);
    } else if (allowed
        && request.endpoints.select(now, request.triedInstances) != null
        && withinBudget(request, reachedWorker, now)) {
      retry(request, otherwise);
    } else {
      otherwise.run();
    }
  }

  private static boolean withinBudget(RequestContext request, boolean reachedWorker, long now) {
    return !reachedWorker || request.endpoints.retryBudget().spend(now);
  }

  /** Dispatches the request, on another token of the quota if the one before was used. */
  private void retry(RequestContext request, Runnable otherwise) {
    metrics.retries.increment();
    if (request.countsAgainstQuota() && !request.quotaTokenReserved) {
      quota.reserve(request, () -> dispatch.accept(request), retryAfterSeconds -> otherwise.run());
    } else {
      dispatch.accept(request);
    }
  }

  /**
   * Only the owner of a key can serve it: it is tried again a moment later, as another owner may be
   * known by then.
   */
  private void retryOwnerLater(RequestContext request, boolean reachedWorker, Runnable otherwise) {
    eventLoop.after(OWNER_RETRY_MICROS, () -> retryOwner(request, reachedWorker, otherwise));
  }

  private void retryOwner(RequestContext request, boolean reachedWorker, Runnable otherwise) {
    long now = EventLoop.now();
    if (request.finished) {
      return;
    }
    boolean available =
        !request.abandoned()
            && request.endpoints.select(now, Set.of(), request.partitionKey) != null;
    if (!available && !request.abandoned() && now + OWNER_RETRY_MICROS < request.rejectAtMicros()) {
      retryOwnerLater(request, reachedWorker, otherwise);
    } else if (available && withinBudget(request, reachedWorker, now)) {
      retry(request, otherwise);
    } else {
      otherwise.run();
    }
  }
}
