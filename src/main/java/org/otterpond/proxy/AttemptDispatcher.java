package org.otterpond.proxy;

import org.otterpond.net.EventLoop;
import org.otterpond.net.HttpMessage;
import org.otterpond.net.ResponseListener;
import org.otterpond.net.WorkerConnectionPool;

/** Selects a worker for a request and sends an attempt to it, or queues the request. */
final class AttemptDispatcher implements RequestQueues.Listener {
  private static final long CONNECT_TIMEOUT_MICROS = 250_000;

  /**
   * Longest idle time of a connection for a request that may be executed once: the worker may have
   * closed an older one, and what is sent on it then is lost without proof.
   */
  private static final long MAX_IDLE_NON_IDEMPOTENT_MICROS = 150_000;

  private final ProxyMetrics metrics;
  private final RequestAdmission admission;
  private final ClientDepartures departures;
  private final AbandonedWorkMonitor abandonedWork;
  private final RequestCompletion completion;
  private final RequestQueues queues;
  private final RequestHedging hedging;
  private final AttemptResultHandler results;

  AttemptDispatcher(
      DataPathServices services,
      RequestAdmission admission,
      ClientDepartures departures,
      RequestCompletion completion,
      RequestQueues queues) {
    this.metrics = services.metrics();
    this.admission = admission;
    this.departures = departures;
    this.abandonedWork = services.abandonedWork();
    this.completion = completion;
    this.queues = queues;
    this.hedging = new RequestHedging(services, this::dispatch);
    this.results =
        new AttemptResultHandler(
            services, completion, new RetryScheduler(services, this::dispatch));
  }

  @Override
  public void workerAvailable(RequestContext request) {
    dispatch(request);
  }

  @Override
  public void expired(RequestContext request) {
    completion.reject(request, "no worker had a free slot in time");
  }

  /** Sends an attempt of a request that is not finished, if its access key is still trusted. */
  void dispatch(RequestContext request) {
    long now = EventLoop.now();
    if (request.finished || departures.cancelledBeforeAttempt(request)) {
      return;
    }
    if (request.tenant != null && !admission.accessKeysFresh()) {
      metrics.staleAccessKeys.increment();
      completion.reject(request, "the access keys known here may be out of date");
      return;
    }
    WorkerEndpoint endpoint =
        request.endpoints.select(now, request.triedInstances, request.partitionKey);
    if (endpoint == null) {
      enqueue(request, now);
    } else if (request.timeLeftMicros(now) < RequestContext.MIN_TIME_LEFT_MICROS) {
      completion.reject(request, "no time left");
    } else {
      send(request, endpoint, now);
    }
  }

  private void enqueue(RequestContext request, long now) {
    if (request.attemptCount() > 0 || now >= request.rejectAtMicros()) {
      completion.reject(request, "no worker can take the request");
    } else {
      queues.add(request);
    }
  }

  private void send(RequestContext request, WorkerEndpoint endpoint, long now) {
    request.quotaTokenReserved = false;
    Attempt attempt = new Attempt(endpoint, now);
    abandonedWork.attemptBegins(request);
    request.begin(attempt);
    endpoint.attemptStarted(now);
    metrics.attempts.increment();
    long timeLeftMicros = request.timeLeftMicros(now);
    WorkerConnectionPool pool = endpoint.connectionPool();
    attempt.listener = listener(request, attempt);
    attempt.connection =
        pool.send(
            WorkerRequestWriter.forwarded(request, endpoint, timeLeftMicros),
            Math.min(CONNECT_TIMEOUT_MICROS, timeLeftMicros),
            request.idempotent() ? Long.MAX_VALUE : MAX_IDLE_NON_IDEMPOTENT_MICROS,
            attempt.listener);
    hedging.schedule(request);
  }

  private ResponseListener listener(RequestContext request, Attempt attempt) {
    return new ResponseListener() {
      @Override
      public void answered(HttpMessage response) {
        if (!completion.endAttempt(request, attempt)) {
          return;
        }
        if (request.finished) {
          results.respondedLate(attempt, response);
        } else {
          results.responded(request, attempt, response);
        }
      }

      @Override
      public void failed(boolean written, String why) {
        if (completion.endAttempt(request, attempt) && !request.finished) {
          results.failed(request, attempt, written, why);
        }
      }
    };
  }
}
