package org.otterpond.proxy;

import org.otterpond.net.EventLoop;
import org.otterpond.net.GatewayResponses;
import org.otterpond.net.HttpMessage;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Decides what follows from the end of an attempt: the response to the client, or a retry.
 *
 * <p>Two things prove that an attempt was not executed: no byte of it was written, or the worker
 * says so in a response that carries the attempt's id. After either, any request may be retried.
 * Without proof only idempotent requests are, and a response never promises that nothing was
 * executed.
 */
final class AttemptResultHandler {
  private static final Logger LOG = LoggerFactory.getLogger(AttemptResultHandler.class);
  private static final int BAD_REQUEST = 400;
  private static final int REQUEST_TIMEOUT = 408;
  private static final int MISDIRECTED_REQUEST = 421;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int SERVER_ERROR = 500;
  private static final int UNAVAILABLE = 503;
  private static final int GATEWAY_TIMEOUT = 504;

  private final ProxyMetrics metrics;
  private final IdempotencyKeys keys;
  private final RequestCompletion completion;
  private final RetryScheduler retries;

  AttemptResultHandler(
      DataPathServices services, RequestCompletion completion, RetryScheduler retries) {
    this.metrics = services.metrics();
    this.keys = services.keys();
    this.completion = completion;
    this.retries = retries;
  }

  /** The worker gave a complete response that belongs to this attempt. */
  void responded(RequestContext request, Attempt attempt, HttpMessage response) {
    WorkerEndpoint endpoint = attempt.endpoint;
    boolean executed = isExecuted(response);
    boolean success = response.status() / 100 == 2;
    if (executed) {
      long now = EventLoop.now();
      request.mayHaveExecuted = true;
      endpoint.requestExecuted(now);
      if (!endpoint.inSlowStart(now)) {
        request.endpoints.latency().add(now - attempt.sentAtMicros());
      }
    }
    if (!success && !request.openAttempts.isEmpty()) {
      // The other attempt may do better.
      return;
    }
    if (success && response.firstHeader(GatewayHeaders.SERVER_SEAL) == null) {
      endpoint.attemptFailed(EventLoop.now());
      if (request.openAttempts.isEmpty()) {
        brokenOff(request, "the worker's response does not belong to this request");
      }
    } else if (executed) {
      executed(request, response);
    } else {
      rejected(request, endpoint, response);
    }
  }

  private static boolean isExecuted(HttpMessage response) {
    return response.firstHeader(GatewayHeaders.NOT_EXECUTED) == null
        && response.status() != MISDIRECTED_REQUEST;
  }

  /** The worker gave a complete response to a request that had ended before. */
  void respondedLate(Attempt attempt, HttpMessage response) {
    if (isExecuted(response)) {
      attempt.endpoint.requestExecuted(EventLoop.now());
    }
  }

  /** The worker says that it has not executed the attempt. */
  private void rejected(RequestContext request, WorkerEndpoint endpoint, HttpMessage response) {
    metrics.rejectedByWorker.increment();
    request.quotaTokenReserved = request.countsAgainstQuota() && request.openAttempts.isEmpty();
    if (response.status() != MISDIRECTED_REQUEST) {
      endpoint.requestRejected(EventLoop.now());
    } else if (request.endpoints.partitioned()) {
      LOG.debug(
          "event=not_owner service={} key={} instance={}",
          request.endpoints.name(),
          request.partitionKey,
          endpoint.id());
    } else {
      endpoint.attemptFailed(EventLoop.now());
    }
    if (response.status() == BAD_REQUEST) {
      completion.finishUnexecuted(request, ResponseWriter.forwarded(response));
    } else {
      retries.retryOr(
          request,
          true,
          () ->
              completion.finishUnexecuted(
                  request, completion.unavailable("the worker rejected the request")));
    }
  }

  /** The worker has executed the attempt, or does not say that it has not. */
  private void executed(RequestContext request, HttpMessage response) {
    int status = response.status();
    boolean promisesNoExecution =
        status == UNAVAILABLE || status == TOO_MANY_REQUESTS || status == REQUEST_TIMEOUT;
    if (request.keyed()) {
      storeOutcome(request, response, promisesNoExecution);
    }
    if (request.idempotent() && status >= SERVER_ERROR && status != GATEWAY_TIMEOUT) {
      retries.retryOr(
          request, true, () -> completion.finish(request, ResponseWriter.forwarded(response)));
    } else if (promisesNoExecution && !request.idempotent()) {
      completion.finish(request, GatewayResponses.problem(502, "the worker failed"));
    } else {
      if (!promisesNoExecution) {
        metrics.responses.increment();
      }
      completion.finish(request, ResponseWriter.forwarded(response));
    }
  }

  /** Repeats may not get a promise either that the operation was not executed. */
  private void storeOutcome(
      RequestContext request, HttpMessage response, boolean promisesNoExecution) {
    if (promisesNoExecution) {
      keys.storeUnknown(request);
    } else {
      keys.storeResponse(request, response);
    }
  }

  /**
   * The worker gave no complete response.
   *
   * @param written whether a byte of the request may have reached the worker
   */
  void failed(RequestContext request, Attempt attempt, boolean written, String cause) {
    attempt.endpoint.attemptFailed(EventLoop.now());
    metrics.failedAttempts.increment();
    if (!request.openAttempts.isEmpty()) {
      return;
    }
    LOG.debug(
        "event=attempt_failed service={} instance={} written={} why={}",
        request.endpoints.name(),
        attempt.endpoint.id(),
        written,
        cause);
    if (written) {
      brokenOff(request, "the worker broke the connection off");
      return;
    }
    request.quotaTokenReserved = request.countsAgainstQuota();
    retries.retryOr(
        request,
        false,
        () ->
            completion.finishUnexecuted(
                request, completion.unavailable("no worker could be reached")));
  }

  private void brokenOff(RequestContext request, String cause) {
    request.mayHaveExecuted = true;
    if (request.idempotent()) {
      retries.retryOr(
          request, true, () -> completion.finish(request, GatewayResponses.problem(502, cause)));
    } else {
      completion.failAfterExecution(request, cause);
    }
  }
}
