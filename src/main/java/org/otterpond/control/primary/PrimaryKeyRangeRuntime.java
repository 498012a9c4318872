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

/** The core's primary, as the keeper of the key ranges sees it. */
final class PrimaryKeyRangeRuntime implements KeyRangeRuntime {
  private final NodeRuntime runtime;
  private final DataPlane dataPlane;
  private final EpochReplica watch;
  private final WorkerRegistry register;
  private final ReplicaPlacement.Writer writer;

  PrimaryKeyRangeRuntime(
      NodeRuntime runtime,
      DataPlane dataPlane,
      EpochReplica watch,
      WorkerRegistry register,
      ReplicaPlacement.Writer writer) {
    this.runtime = runtime;
    this.dataPlane = dataPlane;
    this.watch = watch;
    this.register = register;
    this.writer = writer;
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
    return writer.assign(entry, durable);
  }

  @Override
  public boolean authority() {
    return watch.authoritative();
  }

  @Override
  public long successorFrom() {
    return watch.quietUntil();
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
    WorkerInstance v = register.get(instance);
    return v == null ? null : of(v);
  }

  private Worker of(WorkerInstance v) {
    boolean alive = v.state().compareTo(WorkerState.LOST) < 0;
    return new Worker(
        v.id(),
        v.address(),
        v.zone(),
        v.slots(),
        v.state() == WorkerState.IN_SERVICE,
        alive,
        !alive && register.succeeded(v));
  }

  @Override
  public List<Worker> workers(String service) {
    List<WorkerInstance> out = new ArrayList<>();
    for (WorkerInstance v : register.newerThan(0)) {
      if (service.equals(v.service()) && v.state().compareTo(WorkerState.LOST) < 0) {
        out.add(v);
      }
    }
    out.sort(Comparator.comparing(WorkerInstance::id));
    return out.stream().map(this::of).toList();
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
