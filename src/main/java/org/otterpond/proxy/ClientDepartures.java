package org.otterpond.proxy;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Cancels the requests whose clients leave before their responses are complete. What is cancelled
 * follows from the kind of the request:
 *
 * <ul>
 *   <li>an idempotent one at once, wherever it is, with its attempts;
 *   <li>one that is not idempotent if no byte of it has reached a worker; otherwise its attempt
 *       goes on, as breaking it off would leave its effect unknown, but no other one follows;
 *   <li>a keyed one never: a repeat of it gets the response.
 * </ul>
 */
final class ClientDepartures {
  private static final Logger LOG = LoggerFactory.getLogger(ClientDepartures.class);

  private final DepartureMetrics metrics;
  private final RequestCompletion completion;

  ClientDepartures(ProxyMetrics metrics, RequestCompletion completion) {
    this.metrics = metrics.departures;
    this.completion = completion;
  }

  /** Watches the client of a request, which may have left already. */
  void watch(RequestContext request) {
    request.exchange.onClientGone(() -> clientGone(request));
  }

  private void clientGone(RequestContext request) {
    if (request.finished && request.openAttempts.isEmpty()) {
      return;
    }
    if (request.idempotent() || !(request.keyed() || request.atWorker())) {
      cancel(request);
    } else {
      RequestStage stage = request.stage();
      metrics.continued(request.route.type(), stage);
      log(request, stage, "continued");
    }
  }

  /**
   * Cancels a request whose client turns out to have left before an attempt; returns whether it has
   * ended.
   */
  boolean cancelledBeforeAttempt(RequestContext request) {
    if (!request.keyed()) {
      request.exchange.checkClient();
    }
    if (!request.finished && request.abandoned()) {
      cancel(request);
    }
    return request.finished;
  }

  private void cancel(RequestContext request) {
    RequestStage stage = request.stage();
    metrics.cancelled(request.route.type(), stage);
    log(request, stage, "cancelled");
    completion.cancel(request);
  }

  private static void log(RequestContext request, RequestStage stage, String outcome) {
    LOG.debug(
        "event=client_gone request={} route={} stage={} attempts={} open={}",
        outcome,
        request.route.name(),
        stage.label(),
        request.attemptCount(),
        request.openAttempts.size());
  }
}
