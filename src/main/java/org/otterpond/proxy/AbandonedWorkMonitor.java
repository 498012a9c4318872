package org.otterpond.proxy;

import org.otterpond.net.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Checks the invariant of requests whose clients have left: none of them begins an attempt, keyed
 * ones apart, and an idempotent one holds nothing any more after {@link #MAX_RELEASE_MICROS}: no
 * worker, slot, place in a queue, timer or token. It counts and logs what contradicts that.
 *
 * <p>It cancels nothing and uses nothing of {@link ClientDepartures}, which does: it looks at the
 * connections, queues and timers themselves.
 */
final class AbandonedWorkMonitor {
  /**
   * How long an idempotent request may hold anything after its client is known to have left. The
   * operators allow half a second from the moment at which the close reaches the machine; the rest
   * is for the time until this process reads it.
   */
  static final long MAX_RELEASE_MICROS = 300_000;

  private static final Logger LOG = LoggerFactory.getLogger(AbandonedWorkMonitor.class);

  private final Scheduler scheduler;
  private final DepartureMetrics metrics;

  /** Runs tasks later on the owner thread. */
  interface Scheduler {
    /** Runs a task after a delay in microseconds. */
    void after(long micros, Runnable task);
  }

  AbandonedWorkMonitor(Scheduler scheduler, DepartureMetrics metrics) {
    this.scheduler = scheduler;
    this.metrics = metrics;
  }

  /** Watches a request from its admission on. */
  void watch(RequestContext request) {
    if (request.idempotent()) {
      request.exchange.onClientGone(
          () -> scheduler.after(releaseDelayMicros(request), () -> checkReleased(request)));
    }
  }

  /** Both times count from the same moment, however long the process is suspended meanwhile. */
  private static long releaseDelayMicros(RequestContext request) {
    return request.exchange.clientGoneAtMicros() + MAX_RELEASE_MICROS - EventLoop.now();
  }

  /** Checks that an attempt may begin; to be called for each, just before it is sent. */
  void attemptBegins(RequestContext request) {
    if (!request.exchange.clientGone()) {
      return;
    }
    if (request.keyed()) {
      metrics.attemptsAfterDeparture.increment();
    } else {
      violated(request, "attempt_begun");
    }
  }

  private void checkReleased(RequestContext request) {
    check(request, "worker", request.attempts().stream().anyMatch(Attempt::inFlight));
    check(request, "slot", !request.openAttempts.isEmpty());
    check(request, "queue", request.endpoints.queue().contains(request));
    check(request, "quota_token", request.quotaTokenReserved);
    check(request, "hedge_timer", request.hedgeTimer != null && request.hedgeTimer.isPending());
    check(
        request,
        "deadline_timer",
        request.deadlineTimer != null && request.deadlineTimer.isPending());
  }

  private void check(RequestContext request, String held, boolean holds) {
    if (holds) {
      violated(request, held);
    }
  }

  private void violated(RequestContext request, String what) {
    metrics.violations.increment();
    LOG.warn(
        "event=abandoned_work route={} kind={} held={} attempts={}",
        request.route.name(),
        request.route.type(),
        what,
        request.attemptCount());
  }
}
