package org.otterpond.proxy;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.otterpond.config.GatewayConfiguration;
import org.otterpond.config.NodeSettings;
import org.otterpond.control.state.WorkerInstance;
import org.otterpond.control.state.WorkerState;
import org.otterpond.net.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** All services on this node with their workers, as the control plane reports them. */
public final class ServiceDirectory {
  private static final Logger LOG = LoggerFactory.getLogger(ServiceDirectory.class);
  private static final long MAX_RESPONSE_BYTES = 64L << 20;
  private static final long IDLE_SWEEP_MICROS = 1_000_000;
  private static final String UNKNOWN_ZONE = "-";

  private final EventLoop eventLoop;
  private final NodeSettings settings;
  private final Random random;
  private final Consumer<ServiceEndpoints> capacityListener;
  private final Supplier<SlowStartLimiter> slowStartLimiters;
  private final Map<String, ServiceEndpoints> services = new HashMap<>();
  private final Map<String, String> serviceByInstance = new HashMap<>();
  private ZoneShares zoneShares = ZoneShares.singleNode(UNKNOWN_ZONE);

  /**
   * Creates an empty directory and starts its timers.
   *
   * @param capacityListener notified of a service that may have a free slot for another request
   * @param slowStartLimiters creates a limiter for each service
   */
  public ServiceDirectory(
      EventLoop eventLoop,
      NodeSettings settings,
      Random random,
      Consumer<ServiceEndpoints> capacityListener,
      Supplier<SlowStartLimiter> slowStartLimiters) {
    this.eventLoop = eventLoop;
    this.settings = settings;
    this.random = random;
    this.capacityListener = capacityListener;
    this.slowStartLimiters = slowStartLimiters;
    eventLoop.after(IDLE_SWEEP_MICROS, this::closeIdleConnections);
    eventLoop.after(OutlierEjection.SAMPLE_INTERVAL_MICROS, this::sampleOutliers);
  }

  Iterable<ServiceEndpoints> all() {
    return services.values();
  }

  /** Returns the service with a name; creates it without workers if it is not known yet. */
  public ServiceEndpoints service(String name) {
    return services.computeIfAbsent(name, this::newService);
  }

  private ServiceEndpoints newService(String name) {
    ServiceEndpoints service =
        new ServiceEndpoints(name, random, settings, slowStartLimiters.get());
    service.setZoneShares(zoneShares);
    return service;
  }

  /** Takes in the services of a configuration. */
  public void configured(GatewayConfiguration configuration) {
    configuration
        .services()
        .values()
        .forEach(service -> service(service.name()).configure(service));
  }

  /** Takes in the number of nodes by zone and the position of this node in its own. */
  public void updateNodes(Map<String, Integer> nodesByZone, int rank) {
    zoneShares = new ZoneShares(settings.zone(), Map.copyOf(nodesByZone), rank);
    services.values().forEach(service -> service.setZoneShares(zoneShares));
  }

  /** Takes in the newest state of a worker. */
  public void updateWorker(WorkerInstance worker) {
    String serviceName =
        worker.service() == null || worker.service().isEmpty()
            ? serviceByInstance.get(worker.id())
            : worker.service();
    if (serviceName == null) {
      return;
    }
    ServiceEndpoints service = service(serviceName);
    WorkerEndpoint endpoint = service.endpoint(worker.id());
    if (worker.state().compareTo(WorkerState.LOST) >= 0) {
      remove(service, endpoint, worker);
    } else if (endpoint != null || add(service, worker)) {
      service.endpoint(worker.id()).update(worker, EventLoop.now());
      service.endpointUpdated();
      if (worker.state() == WorkerState.IN_SERVICE) {
        capacityListener.accept(service);
      }
    }
  }

  private void remove(ServiceEndpoints service, WorkerEndpoint endpoint, WorkerInstance worker) {
    if (endpoint != null) {
      endpoint.update(worker, EventLoop.now());
      endpoint.connectionPool().close();
      service.remove(endpoint);
      serviceByInstance.remove(worker.id());
    }
  }

  private boolean add(ServiceEndpoints service, WorkerInstance worker) {
    try {
      service.add(
          new WorkerEndpoint(
              worker,
              WorkerConnectionPools.open(eventLoop, worker.address(), MAX_RESPONSE_BYTES),
              service.latency()));
    } catch (MalformedAddressException e) {
      LOG.warn("event=bad_worker_address instance={} address={}", worker.id(), worker.address());
      return false;
    }
    serviceByInstance.put(worker.id(), service.name());
    return true;
  }

  private void closeIdleConnections() {
    for (ServiceEndpoints service : services.values()) {
      service.endpoints().forEach(endpoint -> endpoint.connectionPool().sweep());
    }
    eventLoop.after(IDLE_SWEEP_MICROS, this::closeIdleConnections);
  }

  private void sampleOutliers() {
    long now = EventLoop.now();
    for (ServiceEndpoints service : services.values()) {
      String line = service.sampleOutliers(now);
      if (line != null) {
        LOG.info(line);
      }
    }
    eventLoop.after(OutlierEjection.SAMPLE_INTERVAL_MICROS, this::sampleOutliers);
  }
}
