package org.otterpond.messaging;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import org.otterpond.config.GatewayConfiguration;
import org.otterpond.config.NodeSettings;
import org.otterpond.config.Route;
import org.otterpond.config.Service;
import org.otterpond.control.agent.ControlPlaneAgent;
import org.otterpond.control.agent.QuotaCache;
import org.otterpond.control.primary.DataPlane;
import org.otterpond.control.primary.QuotaOwner;
import org.otterpond.control.state.WorkerInstance;
import org.otterpond.messaging.message.MessageState;
import org.otterpond.net.EventLoop;
import org.otterpond.protocol.WireRecord;
import org.otterpond.proxy.ProxyMetrics;
import org.otterpond.proxy.ServiceDirectory;
import org.otterpond.proxy.SlowStartLimiter;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Delivers the messages of the partitions that this machine leads: routes each to the queue of a
 * service, whose workers are selected as for requests.
 */
public final class MessageDispatcher implements DeliveryListener, DataPlane {
  private static final Logger LOG = LoggerFactory.getLogger(MessageDispatcher.class);

  private final EventLoop eventLoop;
  private final Random random = new Random(ThreadLocalRandom.current().nextLong());
  private final ServiceDirectory services;
  private final FixedEndpoints fixedEndpoints;
  private final ActiveDeliveries active;
  private final DeliveryResultHandler results;
  private final MessageSender sender;
  private final Map<String, DeliveryQueue> queues = new HashMap<>();

  /** Messages that were accepted under a newer configuration than the one known here. */
  private final List<PendingDelivery> awaitingConfiguration = new ArrayList<>();

  /** Messages that are routed anew in the next round. */
  private final List<PendingDelivery> awaitingRoute = new ArrayList<>();

  private ControlPlaneAgent agent;
  private MessageStore store;
  private QuotaCache quota;
  private GatewayConfiguration configuration;
  private int nodes = 1;

  /** Creates the dispatcher of a machine without its store. */
  public MessageDispatcher(EventLoop eventLoop, NodeSettings settings, ProxyMetrics metrics) {
    this.eventLoop = eventLoop;
    this.services =
        new ServiceDirectory(
            eventLoop,
            settings,
            random,
            service -> queue(service.name()).deliverSoon(),
            () -> new SlowStartLimiter(settings, this::leaseConfirmedAt, metrics.slowStart));
    this.fixedEndpoints = new FixedEndpoints(services);
    this.active = new ActiveDeliveries(eventLoop);
    this.results = new DeliveryResultHandler(random, metrics);
    this.sender = new MessageSender(eventLoop, metrics, active, results, this::route);
  }

  /** Sets the control plane and the store; to be called once, before the node starts. */
  public void fit(ControlPlaneAgent controlPlane, MessageStore messageStore) {
    agent = controlPlane;
    quota = agent.stores();
    store = messageStore;
    results.setStore(messageStore);
    messageStore.fit(agent);
  }

  private long leaseConfirmedAt() {
    return agent.leaseConfirmedAt();
  }

  private DeliveryQueue queue(String service) {
    return queues.computeIfAbsent(service, this::newQueue);
  }

  private DeliveryQueue newQueue(String service) {
    DeliveryQueue queue = new DeliveryQueue(eventLoop, services.service(service), quota, sender);
    configure(service, queue);
    return queue;
  }

  private void configure(String serviceName, DeliveryQueue queue) {
    Service service = configuration == null ? null : configuration.services().get(serviceName);
    if (service == null) {
      queue.configure(null, Integer.MAX_VALUE);
      return;
    }
    String rateLimit =
        service.ratePerSecond() > 0 ? QuotaOwner.rateLimitAccount(serviceName) : null;
    queue.configure(rateLimit, service.maxConnections() / nodes);
  }

  // Updates of the control plane.

  @Override
  public void configured(GatewayConfiguration newConfiguration) {
    configuration = newConfiguration;
    services.configured(newConfiguration);
    fixedEndpoints.configured(newConfiguration);
    queues.forEach(this::configure);
    // Routes may have changed: what waits is routed anew.
    awaitingRoute.addAll(awaitingConfiguration);
    awaitingConfiguration.clear();
    queues.values().forEach(queue -> awaitingRoute.addAll(queue.removeAll()));
    eventLoop.after(0, this::routeAll);
  }

  private void routeAll() {
    List<PendingDelivery> waiting = new ArrayList<>(awaitingRoute);
    awaitingRoute.clear();
    waiting.forEach(this::routeToQueue);
  }

  @Override
  public void worker(WorkerInstance worker) {
    services.updateWorker(worker);
  }

  @Override
  public void fleet(Map<String, Integer> nodesInZone, int rank) {
    int sum = 0;
    for (int inZone : nodesInZone.values()) {
      sum += inZone;
    }
    nodes = Math.max(1, sum);
    services.updateNodes(nodesInZone, rank);
    queues.forEach(this::configure);
  }

  @Override
  public void assigned(WireRecord entry) {
    store.assigned(entry);
  }

  @Override
  public void message(String from, WireRecord message, Consumer<WireRecord> reply) {
    store.message(from, message, reply);
  }

  @Override
  public WireRecord figures() {
    WireRecord figures = new WireRecord("figures").with("in_flight", open());
    store.figures().forEach(figures::with);
    return figures;
  }

  @Override
  public void peerLost(String address) {
    store.peerLost(address);
  }

  @Override
  public WireRecord outcome(String key, String token) {
    return null;
  }

  // Deliveries.

  @Override
  public void ready(MessagePartition partition, Message message) {
    routeToQueue(PendingDelivery.of(partition, message, EventLoop.now()));
  }

  private Route route(Message message) {
    return configuration.route(message.host(), message.path());
  }

  private void routeToQueue(PendingDelivery delivery) {
    Message message = delivery.message();
    if (!delivery.isDeliverable()) {
      // The lease may just have expired, before the group has noticed and ceased to serve.
      delivery.giveBack();
      return;
    }
    if (configuration == null || configuration.revision() < message.revision()) {
      awaitingConfiguration.add(delivery);
      return;
    }
    Route route = route(message);
    if (route == null) {
      // A newer configuration than the one that it was accepted under has dropped its route.
      LOG.info("event=message_dropped id={} cause=no_route", message.id());
      store.ended(delivery.partition(), message, MessageState.DEAD_LETTER, null);
      return;
    }
    String service = route.serviceFor((long) (random.nextDouble() * route.totalWeight()));
    queue(service).add(delivery.withPriority(route.priority()));
  }

  @Override
  public void stop(MessagePartition partition, Runnable quiet) {
    queues.values().forEach(queue -> giveBack(queue.waiting(), partition));
    giveBack(awaitingConfiguration, partition);
    giveBack(awaitingRoute, partition);
    active.whenQuiet(partition, quiet);
  }

  private static void giveBack(Collection<PendingDelivery> waiting, MessagePartition partition) {
    List<PendingDelivery> returned =
        waiting.stream().filter(delivery -> delivery.partition() == partition).toList();
    waiting.removeIf(delivery -> delivery.partition() == partition);
    returned.forEach(PendingDelivery::giveBack);
  }

  @Override
  public Map<MessagePartition, Integer> countByPartition() {
    Map<MessagePartition, Integer> counts = active.countByPartition();
    queues.values().forEach(queue -> count(queue.waiting(), counts));
    count(awaitingConfiguration, counts);
    count(awaitingRoute, counts);
    return counts;
  }

  private static void count(
      Collection<PendingDelivery> waiting, Map<MessagePartition, Integer> counts) {
    waiting.stream()
        .filter(PendingDelivery::isCurrent)
        .forEach(delivery -> counts.merge(delivery.partition(), 1, Integer::sum));
  }

  /** Returns the number of deliveries in progress. */
  public int open() {
    return active.total();
  }
}
