package org.otterpond.proxy;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;
import org.otterpond.net.EventLoop;
import org.otterpond.net.GatewayResponses;
import org.otterpond.net.HttpMessage;

/**
 * The end of requests: answers the client exactly once and gives back what the request has
 * reserved.
 *
 * <p>A response of status 503 or 429 promises that the request was not executed and never will be.
 * All of them pass through {@link #finishUnexecuted}, which withdraws the promise for a request
 * that a worker may have executed.
 */
final class RequestCompletion {
  private static final double MIN_RETRY_AFTER_SECONDS = 0.15;
  private static final double RETRY_AFTER_SPREAD_SECONDS = 0.25;
  private static final String SHUTTING_DOWN = "the node is shutting down";

  /**
   * How long a worker may go on with a request whose client has left. The operators allow half a
   * second from the close on; the rest is for the way of the close to this process.
   */
  static final long CANCELLATION_GRACE_MICROS = 200_000;

  private final EventLoop eventLoop;
  private final ProxyMetrics metrics;
  private final Random random;
  private final QuotaAdmission quota;
  private final IdempotencyKeys keys;
  private final RequestQueues queues;
  private final Set<RequestContext> inFlight = new LinkedHashSet<>();

  RequestCompletion(DataPathServices services, RequestQueues queues) {
    this.eventLoop = services.eventLoop();
    this.metrics = services.metrics();
    this.random = services.random();
    this.quota = services.quota();
    this.keys = services.keys();
    this.queues = queues;
  }

  /** Notes that the client of this request waits for its response. */
  void begin(RequestContext request) {
    inFlight.add(request);
  }

  int inFlight() {
    return inFlight.size();
  }

  /**
   * Rejects the requests that no worker has been sent and whose time lasts beyond the end of the
   * node: elsewhere they may still be served.
   */
  void rejectWaitingBeyond(ShutdownTimes shutdown) {
    long now = EventLoop.now();
    for (RequestContext request : new ArrayList<>(inFlight)) {
      boolean waiting = request.openAttempts.isEmpty() && !request.mayHaveExecuted;
      if (waiting && !shutdown.endsInTime(now, request.timeLeftMicros(now))) {
        reject(request, SHUTTING_DOWN);
      }
    }
  }

  /** Ends every request, as the node ends. */
  void endAll() {
    for (RequestContext request : new ArrayList<>(inFlight)) {
      if (request.openAttempts.isEmpty()) {
        reject(request, SHUTTING_DOWN);
      } else {
        failRequest(
            request, GatewayResponses.problem(502, "the node ended before the worker answered"));
      }
    }
  }

  /** Answers the client, unless it has been answered. */
  void finish(RequestContext request, HttpMessage response) {
    if (end(request)) {
      request.exchange.answer(response);
    }
  }

  /**
   * Ends a request whose client has left, without a response: its attempts are broken off, and what
   * it has reserved is given back. Nothing of it counts as a failure of a worker.
   *
   * <p>To break an attempt off costs its connection. So a worker that has the whole request may
   * finish it within {@link #CANCELLATION_GRACE_MICROS}, unless other requests wait for its slot.
   */
  void cancel(RequestContext request) {
    request.deadlineTimer.cancel();
    if (end(request)) {
      request.exchange.abandon();
    }
    long graceMicros =
        request.exchange.clientGoneAtMicros() + CANCELLATION_GRACE_MICROS - EventLoop.now();
    boolean noGrace = graceMicros <= 0 || !request.endpoints.queue().isEmpty();
    abandonAttempts(request, attempt -> noGrace || !attempt.sent());
    if (!request.openAttempts.isEmpty()) {
      request.deadlineTimer = eventLoop.after(graceMicros, () -> abandonAttempts(request));
    }
  }

  /** Gives back what the request has reserved; returns false if it had ended before. */
  private boolean end(RequestContext request) {
    if (request.finished) {
      return false;
    }
    request.finished = true;
    inFlight.remove(request);
    if (request.openAttempts.isEmpty()) {
      request.deadlineTimer.cancel();
    }
    if (request.keyed()) {
      keys.requestEnded(request);
    }
    if (request.hedgeTimer != null) {
      request.hedgeTimer.cancel();
    }
    request.endpoints.queue().remove(request);
    quota.giveBack(request);
    return true;
  }

  /** The time of the request is up. */
  void deadlineReached(RequestContext request) {
    if (request.finished) {
      // Another attempt was answered; the worker of this one has had its time.
      abandonAttempts(request);
      return;
    }
    metrics.timeouts.increment();
    failRequest(request, GatewayResponses.problem(504, "no response in time"));
  }

  /** Ends a request with the attempts that are open, whose outcome will never be known. */
  private void failRequest(RequestContext request, HttpMessage response) {
    abandonAttempts(request);
    if (request.keyed()) {
      keys.settleWithoutResponse(request);
    }
    finish(request, response);
  }

  private void abandonAttempts(RequestContext request) {
    abandonAttempts(request, attempt -> true);
  }

  private void abandonAttempts(RequestContext request, Predicate<Attempt> which) {
    for (Attempt attempt : List.copyOf(request.openAttempts)) {
      if (which.test(attempt)) {
        attempt.endpoint.attemptAbandoned();
        endAttempt(request, attempt);
        request.mayHaveExecuted |= attempt.abandon();
      }
    }
  }

  /** Removes an attempt and frees its slot; returns false if it was removed before. */
  boolean endAttempt(RequestContext request, Attempt attempt) {
    if (!request.openAttempts.remove(attempt)) {
      return false;
    }
    attempt.endpoint.attemptEnded(EventLoop.now());
    queues.capacityAvailable(request.endpoints);
    return true;
  }

  /** Answers with the stored response of an earlier attempt of the operation. */
  void replay(RequestContext request, RunOutcome.StoredResponse stored) {
    metrics.replays.increment();
    finish(request, ResponseWriter.replayed(stored, request.exchange.request()));
  }

  /** Answers a request whose operation failed after a worker may have executed it. */
  void failAfterExecution(RequestContext request, String cause) {
    if (request.keyed()) {
      keys.settleWithoutResponse(request);
    }
    finish(request, GatewayResponses.problem(502, cause));
  }

  /** Answers with the promise that the request was not executed, if that is so. */
  void finishUnexecuted(RequestContext request, HttpMessage response) {
    if (request.mayHaveExecuted && !request.idempotent()) {
      failAfterExecution(request, "the outcome is not known");
      return;
    }
    if (request.keyLocked && !request.keyReleased) {
      keys.release(request);
    }
    finish(request, response);
  }

  /** Rejects a request that was not executed and never will be. */
  void reject(RequestContext request, String cause) {
    reject(request, unavailable(cause));
  }

  /** Rejects a request that was not executed and never will be. */
  void reject(RequestContext request, HttpMessage response) {
    metrics.rejected.increment();
    finishUnexecuted(request, response);
  }

  /** Rejects a request for which no token of the quota was available. */
  void rejectOverQuota(RequestContext request, double retryAfterSeconds) {
    if (retryAfterSeconds < 0) {
      reject(request, "the quota's owner did not answer in time");
      return;
    }
    metrics.overQuota.increment();
    finishUnexecuted(
        request, GatewayResponses.overQuota("the tenant's quota is used up", retryAfterSeconds));
  }

  /** Returns a response of status 503 whose retry time is spread. */
  HttpMessage unavailable(String cause) {
    return GatewayResponses.unavailable(
        cause, MIN_RETRY_AFTER_SECONDS + RETRY_AFTER_SPREAD_SECONDS * random.nextDouble());
  }
}
