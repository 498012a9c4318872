package org.otterpond.proxy;

import java.util.Collection;
import java.util.Random;
import java.util.Set;

/**
 * Selects the worker for a request: the least loaded among the nearby ones of a zone drawn by
 * weight, or of all zones where that one has no slot left for this node and another worker has.
 */
final class EndpointSelector {
  private final Random random;
  private final Collection<WorkerEndpoint> endpoints;
  private final ZoneAwareLoadBalancer loadBalancer;

  /** How many requests of this node one worker may have at once; each takes a connection. */
  private int connectionLimit = Integer.MAX_VALUE;

  EndpointSelector(
      Random random, Collection<WorkerEndpoint> endpoints, ZoneAwareLoadBalancer loadBalancer) {
    this.random = random;
    this.endpoints = endpoints;
    this.loadBalancer = loadBalancer;
  }

  void setConnectionLimit(int perWorker) {
    connectionLimit = Math.max(1, perWorker);
  }

  /** Returns a worker that is not excluded, or null if none can take a request now. */
  WorkerEndpoint select(long nowMicros, Set<String> excluded) {
    loadBalancer.refresh();
    if (loadBalancer.weighted()) {
      WorkerEndpoint selected = selectByZone(nowMicros, excluded);
      if (selected != null) {
        return selected;
      }
    }
    WorkerEndpoint healthy = leastLoaded(endpoints, nowMicros, excluded, true);
    return healthy != null ? healthy : leastLoaded(endpoints, nowMicros, excluded, false);
  }

  private WorkerEndpoint selectByZone(long nowMicros, Set<String> excluded) {
    WorkerEndpoint nearby = leastLoaded(loadBalancer.drawNearby(), nowMicros, excluded, true);
    if (nearby != null && nearby.inFlight() < loadBalancer.fairShareOfSlots()) {
      return nearby;
    }
    WorkerEndpoint any = leastLoaded(endpoints, nowMicros, excluded, true);
    if (nearby != null && (any == null || nearby.load(nowMicros) - any.load(nowMicros) < 1)) {
      return nearby;
    }
    return any;
  }

  /** Returns the least loaded worker, ties broken at random, or null if none may be used. */
  private WorkerEndpoint leastLoaded(
      Collection<WorkerEndpoint> candidates,
      long nowMicros,
      Set<String> excluded,
      boolean healthyOnly) {
    WorkerEndpoint best = null;
    double bestLoad = Double.MAX_VALUE;
    int ties = 0;
    for (WorkerEndpoint endpoint : candidates) {
      if (!endpoint.inService()
          || excluded.contains(endpoint.id())
          || (healthyOnly && (endpoint.avoided(nowMicros) || endpoint.unresponsive(nowMicros)))
          || endpoint.inFlight() >= Math.min(connectionLimit, endpoint.maxInFlight())
          || !endpoint.slowStartPermits(nowMicros)) {
        continue;
      }
      double load = endpoint.load(nowMicros);
      if (load < bestLoad) {
        bestLoad = load;
        best = endpoint;
        ties = 1;
      } else if (load == bestLoad && random.nextInt(++ties) == 0) {
        best = endpoint;
      }
    }
    return best;
  }
}
