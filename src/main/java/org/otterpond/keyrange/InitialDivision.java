package org.otterpond.keyrange;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The first division of a service whose keys nobody owns: equal parts by the workers' slots. */
final class InitialDivision {
  /** How long the set of workers must be the same before the keys are divided. */
  private static final long SETTLED_MICROS = 2_500_000;

  private final KeyRangeRuntime runtime;
  private final KeyRangeLeases leases;
  private final LeaseWriter writer;
  private final LeaseGrants grants;
  private final FencingTokens fences;
  private final Map<String, SeenWorkers> seenByService = new HashMap<>();

  private record SeenWorkers(Set<String> instances, long sinceMicros) {}

  InitialDivision(
      KeyRangeRuntime runtime,
      KeyRangeLeases leases,
      LeaseWriter writer,
      LeaseGrants grants,
      FencingTokens fences) {
    this.runtime = runtime;
    this.leases = leases;
    this.writer = writer;
    this.grants = grants;
    this.fences = fences;
  }

  /** Forgets the workers seen so far. */
  void clear() {
    seenByService.clear();
  }

  /**
   * Divides the keys of a service once its workers have settled.
   *
   * @param allowed whether ranges may be granted already
   */
  void divideOnceSettled(String service, boolean allowed, long nowMicros) {
    List<KeyRangeRuntime.Worker> workers =
        runtime.workers(service).stream().filter(KeyRangeRuntime.Worker::inService).toList();
    if (areSettled(service, workers, nowMicros) && allowed) {
      divide(service, workers);
    }
  }

  private boolean areSettled(String service, List<KeyRangeRuntime.Worker> workers, long nowMicros) {
    Set<String> instances = new HashSet<>();
    workers.forEach(worker -> instances.add(worker.instance()));
    SeenWorkers seen = seenByService.get(service);
    if (workers.isEmpty() || seen == null || !instances.equals(seen.instances())) {
      seenByService.put(service, new SeenWorkers(instances, nowMicros));
      return false;
    }
    return nowMicros - seen.sinceMicros() >= SETTLED_MICROS;
  }

  private void divide(String service, List<KeyRangeRuntime.Worker> workers) {
    double allSlots = workers.stream().mapToInt(KeyRangeRuntime.Worker::slots).sum();
    double slotsSoFar = 0;
    int firstKey = 0;
    for (KeyRangeRuntime.Worker worker : workers) {
      slotsSoFar += worker.slots();
      int nextFirstKey = (int) Math.round(slotsSoFar / allSlots * KeyRange.KEY_COUNT);
      if (nextFirstKey > firstKey) {
        grantFirst(service, firstKey, worker);
        firstKey = nextFirstKey;
      }
    }
    runtime.event("event=keys_divided service=" + service + " workers=" + workers.size());
  }

  private void grantFirst(String service, int firstKey, KeyRangeRuntime.Worker worker) {
    KeyRange range =
        new KeyRange(
            service,
            firstKey,
            worker.instance(),
            worker.address(),
            fences.next(),
            KeyRangeState.GRANTING);
    KeyRangeLease lease = new KeyRangeLease(range);
    leases.put(lease);
    writer.write(lease, () -> grants.grant(lease));
  }
}
