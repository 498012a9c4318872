package org.otterpond.proxy;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.otterpond.config.NodeSettings;
import org.otterpond.config.Service;
import org.otterpond.keyrange.KeyRangeTable;

/** One service on this node: its workers, their selection, its request queue and retry budget. */
public final class ServiceEndpoints {
  private final String name;
  private final Map<String, WorkerEndpoint> endpoints = new LinkedHashMap<>();
  private final LatencyAverage latency = new LatencyAverage();
  private final RequestQueue queue = new RequestQueue();
  private final RetryBudget retryBudget;
  private final ZoneAwareLoadBalancer loadBalancer;
  private final EndpointSelector selector;
  private final OutlierEjection outlierEjection;
  private final SlowStartLimiter slowStartLimiter;
  private final long maxPartitionDrainMicros;

  /** Null where requests may go to any worker. */
  private PartitionRouting partitionRouting;

  ServiceEndpoints(
      String name, Random random, NodeSettings settings, SlowStartLimiter slowStartLimiter) {
    this.name = name;
    this.slowStartLimiter = slowStartLimiter;
    this.retryBudget = new RetryBudget(settings.retryWindowMicros());
    this.loadBalancer = new ZoneAwareLoadBalancer(random, endpoints.values());
    this.selector = new EndpointSelector(random, endpoints.values(), loadBalancer);
    this.outlierEjection = new OutlierEjection(this, settings.ejectSlow());
    this.maxPartitionDrainMicros = settings.drainMicros() / 2;
  }

  /** Returns the name of the service in the configuration. */
  public String name() {
    return name;
  }

  /** Returns the average response time of the service. */
  public LatencyAverage latency() {
    return latency;
  }

  RequestQueue queue() {
    return queue;
  }

  RetryBudget retryBudget() {
    return retryBudget;
  }

  Collection<WorkerEndpoint> endpoints() {
    return endpoints.values();
  }

  /** Returns the worker with an id, or null. */
  WorkerEndpoint endpoint(String id) {
    return endpoints.get(id);
  }

  void add(WorkerEndpoint endpoint) {
    endpoint.setSlowStartLimiter(slowStartLimiter);
    endpoints.put(endpoint.id(), endpoint);
    loadBalancer.endpointsChanged();
  }

  void remove(WorkerEndpoint endpoint) {
    endpoints.remove(endpoint.id());
    loadBalancer.endpointsChanged();
  }

  /** To be called when the state of a worker has changed. */
  void endpointUpdated() {
    loadBalancer.endpointsChanged();
  }

  void setZoneShares(ZoneShares zoneShares) {
    loadBalancer.setZoneShares(zoneShares);
  }

  /** Limits how many requests of this node one worker may have at once. */
  public void setConnectionLimit(int perWorker) {
    selector.setConnectionLimit(perWorker);
  }

  /** Takes the service's section of the configuration. */
  void configure(Service service) {
    slowStartLimiter.setRequestsPerSecond(service.slowStart().requestsPerSecond());
  }

  /** Sets the key ranges of a partitioned service; null for one that is not partitioned. */
  void setKeyRanges(KeyRangeTable ranges) {
    partitionRouting =
        ranges == null ? null : new PartitionRouting(this, ranges, maxPartitionDrainMicros);
  }

  boolean partitioned() {
    return partitionRouting != null;
  }

  /** Returns whether the owner of a key is known or about to be; false without partitions. */
  boolean ownerExpectedSoon(int partitionKey) {
    return partitionRouting != null && partitionRouting.ownerExpectedSoon(partitionKey);
  }

  /** Returns a worker that is not excluded, or null if none can take a request now. */
  public WorkerEndpoint select(long nowMicros, Set<String> excluded) {
    return selector.select(nowMicros, excluded);
  }

  /**
   * Returns a worker for a request with a partition key: only the owner of the key where the
   * service is partitioned, whether excluded or not; any other worker else. Null if none can take
   * it now.
   */
  WorkerEndpoint select(long nowMicros, Set<String> excluded, int partitionKey) {
    return partitionRouting != null
        ? partitionRouting.select(nowMicros, partitionKey)
        : selector.select(nowMicros, excluded);
  }

  List<WorkerEndpoint> nearbyInOwnZone() {
    loadBalancer.refresh();
    return loadBalancer.nearbyInOwnZone();
  }

  /** Takes a sample for outlier detection; returns a line for the log, or null. */
  String sampleOutliers(long nowMicros) {
    return outlierEjection.sample(nowMicros);
  }
}
