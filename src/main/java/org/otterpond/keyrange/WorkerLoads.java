package org.otterpond.keyrange;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;

/** The request rates of all services, and what they mean for the workers. */
final class WorkerLoads {
  /** Work of a request while none has been measured. */
  private static final double ASSUMED_WORK_SECONDS = 0.1;

  private final KeyRangeRuntime runtime;
  private final KeyRangeLeases leases;
  private final Map<String, KeyLoad> loadByService = new HashMap<>();

  WorkerLoads(KeyRangeRuntime runtime, KeyRangeLeases leases) {
    this.runtime = runtime;
    this.leases = leases;
  }

  /** Forgets all request rates. */
  void clear() {
    loadByService.clear();
  }

  /** Returns the request rates of a service. */
  KeyLoad keyLoad(String service) {
    return loadByService.computeIfAbsent(service, name -> new KeyLoad());
  }

  /** Returns the recent request rate of a range. */
  double recentRate(KeyRangeLease lease) {
    return rate(lease).recent();
  }

  private KeyRate rate(KeyRangeLease lease) {
    return keyLoad(lease.service).rateOf(lease.firstKey, leases.lastKey(lease));
  }

  /** Returns how long one request of a service occupies a slot, in seconds. */
  double workSeconds(String service) {
    double measured = keyLoad(service).workSeconds();
    return measured > 0 ? measured : ASSUMED_WORK_SECONDS;
  }

  /** Returns the loads of the workers of a service by instance. */
  Map<String, WorkerLoad> byInstance(String service) {
    Map<String, WorkerLoad> loads = new HashMap<>();
    double workSeconds = workSeconds(service);
    for (KeyRangeRuntime.Worker worker : runtime.workers(service)) {
      loads.put(worker.instance(), new WorkerLoad(worker, workSeconds));
    }
    for (KeyRangeLease lease : leases.of(service)) {
      WorkerLoad load = loads.get(lease.owner);
      if (load != null) {
        load.addOwned(lease, leases.keyCount(lease), rate(lease));
      }
    }
    return loads;
  }

  /**
   * Returns the worker that should get a range that nobody has: the one with the most room, and of
   * equals the one with the fewest keys; null if there is none.
   */
  KeyRangeRuntime.Worker receiver(String service) {
    Map<String, WorkerLoad> loads = byInstance(service);
    int workerCount = loads.size();
    return loads.values().stream()
        .filter(WorkerLoad::canReceive)
        .min(Comparator.comparingDouble(load -> load.receiverCost(workerCount)))
        .map(load -> load.worker)
        .orElse(null);
  }
}
