package org.otterpond.control.primary;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;
import org.otterpond.control.epoch.EpochReplica;
import org.otterpond.control.state.WorkerInstance;
import org.otterpond.control.state.WorkerState;
import org.otterpond.keyrange.KeyRangeRuntime;
import org.otterpond.protocol.WireRecord;
import org.otterpond.runtime.NodeRuntime;

/** The runtime of the key range manager on the core's primary. */
final class PrimaryKeyRangeRuntime implements KeyRangeRuntime {
  private final NodeRuntime runtime;
  private final DataPlane dataPlane;
  private final EpochReplica replica;
  private final WorkerRegistry registry;
  private final AssignmentWriter assignments;

  PrimaryKeyRangeRuntime(
      NodeRuntime runtime,
      DataPlane dataPlane,
      EpochReplica replica,
      WorkerRegistry registry,
      AssignmentWriter assignments) {
    this.runtime = runtime;
    this.dataPlane = dataPlane;
    this.replica = replica;
    this.registry = registry;
    this.assignments = assignments;
  }

  @Override
  public long now() {
    return runtime.now();
  }

  @Override
  public void after(long delayMicros, Runnable task) {
    runtime.after(delayMicros, task);
  }

  @Override
  public boolean assign(WireRecord entry, Runnable durable) {
    return assignments.assign(entry, durable);
  }

  @Override
  public boolean hasAuthority() {
    return replica.hasFreshProof();
  }

  @Override
  public long predecessorAuthorityEndsAt() {
    return replica.formerAuthorityEndsAt();
  }

  @Override
  public void call(
      String address,
      String instance,
      String path,
      String body,
      long timeout,
      Consumer<Answer> answer) {
    dataPlane.callWorker(address, instance, path, body, timeout, answer);
  }

  @Override
  public Worker worker(String instance) {
    WorkerInstance worker = registry.get(instance);
    return worker == null ? null : convert(worker);
  }

  private Worker convert(WorkerInstance worker) {
    boolean alive = isAlive(worker);
    return new Worker(
        worker.id(),
        worker.address(),
        worker.zone(),
        worker.slots(),
        worker.state() == WorkerState.IN_SERVICE,
        alive,
        !alive && registry.isReplaced(worker));
  }

  private static boolean isAlive(WorkerInstance worker) {
    return worker.state().compareTo(WorkerState.LOST) < 0;
  }

  @Override
  public List<Worker> workers(String service) {
    List<WorkerInstance> workers = new ArrayList<>();
    for (WorkerInstance worker : registry.newerThan(0)) {
      if (service.equals(worker.service()) && isAlive(worker)) {
        workers.add(worker);
      }
    }
    workers.sort(Comparator.comparing(WorkerInstance::id));
    return workers.stream().map(this::convert).toList();
  }

  @Override
  public long random(long bound) {
    return runtime.random(bound);
  }

  @Override
  public void event(String line) {
    runtime.event(line);
  }
}
