package org.otterpond.proxy;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import java.util.function.Function;
import org.otterpond.config.ClientLimits;
import org.otterpond.config.GatewayConfiguration;
import org.otterpond.config.NodeSettings;
import org.otterpond.config.Route;
import org.otterpond.config.RouteType;
import org.otterpond.config.Tenant;
import org.otterpond.control.agent.ControlPlaneAgent;
import org.otterpond.control.primary.DataPlane;
import org.otterpond.control.state.WorkerInstance;
import org.otterpond.keyrange.KeyLoad;
import org.otterpond.keyrange.KeyLoadReport;
import org.otterpond.keyrange.KeyRangeRuntime;
import org.otterpond.keyrange.KeyRangeTable;
import org.otterpond.net.EventLoop;
import org.otterpond.net.GatewayResponses;
import org.otterpond.net.HttpMessage;
import org.otterpond.net.RequestHandler;
import org.otterpond.net.ServerExchange;
import org.otterpond.protocol.WireRecord;

/**
 * The entry of the data path: takes in client requests and the updates of the control plane, and
 * hands them to the steps that a request passes through.
 */
public final class ProxyHandler implements RequestHandler, DataPlane {
  /** Another node can take the request at once. */
  private static final double SHUTDOWN_RETRY_AFTER_SECONDS = 0.01;

  /**
   * A request earns this fraction of the retry ratio, as what it earns can be spent in its own
   * window or in the next.
   */
  private static final double EARNED_FRACTION = 0.45;

  private final EventLoop eventLoop;
  private final ControlPlaneAgent agent;
  private final ProxyMetrics metrics;
  private final double retryEarning;
  private final KeyRangeTable keyRanges = new KeyRangeTable();
  private final KeyLoad.Meter keyLoad = new KeyLoad.Meter();
  private final WorkerClient workerClient;
  private final ServiceDirectory services;
  private final RequestsAwaitingConfiguration awaitingConfiguration;
  private final RequestAdmission admission;
  private final QuotaAdmission quota;
  private final RequestRouter router;
  private final RequestQueues queues;
  private final IdempotencyKeys keys;
  private final RequestCompletion completion;
  private final ClientDepartures departures;
  private final AbandonedWorkMonitor abandonedWork;
  private final AttemptDispatcher dispatcher;
  private final IdempotencyKeyLocking keyLocking;
  private MessageRequestHandler messages;
  private GatewayConfiguration configuration;

  /** The times of the graceful shutdown; null before it begins. */
  private ShutdownTimes shutdown;

  private boolean ended;

  /**
   * Creates the data path of a node.
   *
   * @param agentFactory creates the control-plane agent, which reports to the data plane given
   * @param incarnation names this process; no other has had the number
   */
  public ProxyHandler(
      EventLoop eventLoop,
      NodeSettings settings,
      Function<DataPlane, ControlPlaneAgent> agentFactory,
      long incarnation,
      ProxyMetrics metrics) {
    this.eventLoop = eventLoop;
    this.metrics = metrics;
    this.retryEarning = settings.retryRatio() * EARNED_FRACTION;
    Random random = new Random(ThreadLocalRandom.current().nextLong());
    this.workerClient = new WorkerClient(eventLoop);
    this.services =
        new ServiceDirectory(
            eventLoop,
            settings,
            random,
            this::capacityAvailable,
            () -> new SlowStartLimiter(settings, this::leaseConfirmedAt, metrics.slowStart));
    this.awaitingConfiguration = new RequestsAwaitingConfiguration(eventLoop, metrics.departures);
    this.agent = agentFactory.apply(this);
    this.admission = new RequestAdmission(agent, settings, random, metrics);
    this.quota = new QuotaAdmission(eventLoop, agent);
    this.router = new RequestRouter(random, services, keyLoad, incarnation);
    this.queues = new RequestQueues(eventLoop, services);
    this.keys = new IdempotencyKeys(agent, settings);
    this.abandonedWork = new AbandonedWorkMonitor(eventLoop::after, metrics.departures);
    DataPathServices shared =
        new DataPathServices(eventLoop, agent, metrics, random, quota, keys, abandonedWork);
    this.completion = new RequestCompletion(shared, queues);
    this.departures = new ClientDepartures(metrics, completion);
    this.dispatcher = new AttemptDispatcher(shared, admission, departures, completion, queues);
    this.keyLocking = new IdempotencyKeyLocking(shared, settings, completion, dispatcher::dispatch);
    queues.setListener(dispatcher);
  }

  /** Sets what handles asynchronous routes; to be called once, before the node starts. */
  public void setMessageRequestHandler(MessageRequestHandler handler) {
    messages = handler;
  }

  /** Returns the node's access to the control plane. */
  public ControlPlaneAgent agent() {
    return agent;
  }

  // Life cycle.

  /** Returns whether requests are served: a configuration is there and the node is not draining. */
  public boolean ready() {
    return configuration != null && shutdown == null;
  }

  /**
   * Begins the graceful shutdown: the node is no longer ready, and takes only the requests that it
   * can complete.
   */
  public void startDraining(ShutdownTimes times) {
    shutdown = times;
  }

  @Override
  public boolean leaving() {
    return shutdown != null;
  }

  /** Rejects the requests that wait and could hardly be completed before the node ends. */
  public void rejectWaitingForShutdown() {
    awaitingConfiguration.removeAll().forEach(this::rejectForShutdown);
    completion.rejectWaitingBeyond(shutdown);
  }

  /** Answers all requests that are still in flight, as the node ends. */
  public void endAll() {
    ended = true;
    awaitingConfiguration.removeAll().forEach(this::rejectForShutdown);
    messages.endAll();
    completion.endAll();
  }

  private void rejectForShutdown(ServerExchange exchange) {
    metrics.rejected.increment();
    exchange.answer(
        GatewayResponses.unavailable("the node is shutting down", SHUTDOWN_RETRY_AFTER_SECONDS));
  }

  /** Returns the number of requests and messages that are not answered yet. */
  public int inFlight() {
    return completion.inFlight() + messages.inFlight();
  }

  @Override
  public ClientLimits limits() {
    return configuration == null ? ClientLimits.standard() : configuration.limits();
  }

  // Updates of the control plane.

  private long leaseConfirmedAt() {
    return agent.leaseConfirmedAt();
  }

  @Override
  public void configured(GatewayConfiguration newConfiguration) {
    configuration = newConfiguration;
    services.configured(newConfiguration);
    newConfiguration
        .services()
        .values()
        .forEach(
            service ->
                services
                    .service(service.name())
                    .setKeyRanges(service.partitioned() ? keyRanges : null));
    List<ServerExchange> waiting = awaitingConfiguration.removeAll();
    // After the workers that come with the same update.
    eventLoop.after(0, () -> waiting.forEach(this::handle));
  }

  @Override
  public void worker(WorkerInstance worker) {
    services.updateWorker(worker);
  }

  @Override
  public void fleet(Map<String, Integer> nodesInZone, int rank) {
    services.updateNodes(nodesInZone, rank);
  }

  @Override
  public void assigned(WireRecord entry) {
    messages.assigned(entry);
    String service = keyRanges.take(entry);
    if (service != null) {
      capacityAvailable(services.service(service));
    }
  }

  private void capacityAvailable(ServiceEndpoints service) {
    queues.capacityAvailable(service);
  }

  @Override
  public List<WireRecord> takeKeyLoads() {
    List<WireRecord> reports = new ArrayList<>();
    keyLoad
        .take()
        .forEach(
            (service, requestsByKey) -> {
              double latencyMicros = services.service(service).latency().meanMicros();
              reports.add(KeyLoadReport.of(service, latencyMicros, requestsByKey).toWireRecord());
            });
    return reports;
  }

  @Override
  public void callWorker(
      String address,
      String instance,
      String path,
      String body,
      long timeout,
      Consumer<KeyRangeRuntime.Answer> answer) {
    workerClient.call(new WorkerClient.Call(address, instance, path, body, timeout), answer);
  }

  @Override
  public WireRecord outcome(String key, String token) {
    RunOutcome outcome = keys.outcome(key, token);
    return outcome == null ? null : outcome.toWireRecord();
  }

  // Requests.

  @Override
  public void handle(ServerExchange exchange) {
    if (ended) {
      rejectForShutdown(exchange);
    } else if (configuration == null) {
      awaitConfiguration(exchange);
    } else {
      metrics.requests.increment();
      if (messages.isMessageQuery(exchange.request().path())) {
        handleMessageQuery(exchange);
      } else {
        handleRouted(exchange);
      }
    }
  }

  private void awaitConfiguration(ServerExchange exchange) {
    if (admitsUnbounded()) {
      awaitingConfiguration.add(exchange);
    } else {
      rejectForShutdown(exchange);
    }
  }

  /** Returns whether a request is taken whose duration its deadline does not bound. */
  private boolean admitsUnbounded() {
    return shutdown == null || shutdown.admits(EventLoop.now());
  }

  private void handleMessageQuery(ServerExchange exchange) {
    if (!admitsUnbounded()) {
      rejectForShutdown(exchange);
      return;
    }
    Tenant tenant = null;
    if (configuration.closed()) {
      tenant = admission.authenticateMessageQuery(exchange, configuration);
      if (tenant == null) {
        return;
      }
    }
    messages.query(exchange, tenant);
  }

  private void handleRouted(ServerExchange exchange) {
    HttpMessage request = exchange.request();
    Route route = RequestRouter.route(request, configuration);
    if (route == null) {
      metrics.unrouted.increment();
      exchange.answer(GatewayResponses.problem(404, "no route"));
      return;
    }
    Tenant tenant = null;
    if (configuration.closed() && !route.open()) {
      tenant = admission.authenticate(exchange, configuration);
      if (tenant == null) {
        return;
      }
    }
    if (request.firstHeader(GatewayHeaders.ATTEMPT_ID) == null) {
      exchange.answer(GatewayResponses.problem(400, GatewayHeaders.ATTEMPT_ID + ": missing"));
    } else if (route.type() == RouteType.ASYNCHRONOUS) {
      if (admitsUnbounded()) {
        messages.submit(exchange, route, tenant, configuration);
      } else {
        rejectForShutdown(exchange);
      }
    } else {
      handleSynchronous(exchange, route, tenant);
    }
  }

  private void handleSynchronous(ServerExchange exchange, Route route, Tenant tenant) {
    RequestContext request;
    try {
      request = router.contextOf(exchange, route, tenant);
    } catch (InvalidRequestException e) {
      exchange.answer(GatewayResponses.problem(400, e.getMessage()));
      return;
    }
    long now = EventLoop.now();
    if (shutdown != null && !shutdown.admits(now, request.timeLeftMicros(now))) {
      rejectForShutdown(exchange);
      return;
    }
    request.accessKeyHidden = configuration.closed();
    begin(request);
  }

  private void begin(RequestContext request) {
    long now = EventLoop.now();
    completion.begin(request);
    request.deadlineTimer =
        eventLoop.after(request.timeLeftMicros(now), () -> completion.deadlineReached(request));
    abandonedWork.watch(request);
    departures.watch(request);
    if (request.finished) {
      return;
    }
    request.endpoints.retryBudget().earn(retryEarning, now);
    if (request.keyed()) {
      keyLocking.lock(request);
    } else if (request.countsAgainstQuota()) {
      quota.reserve(
          request,
          () -> dispatcher.dispatch(request),
          retryAfterSeconds -> completion.rejectOverQuota(request, retryAfterSeconds));
    } else {
      dispatcher.dispatch(request);
    }
  }
}
