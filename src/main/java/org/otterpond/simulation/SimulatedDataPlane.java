package org.otterpond.simulation;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.otterpond.config.GatewayConfiguration;
import org.otterpond.control.primary.DataPlane;
import org.otterpond.control.state.WorkerInstance;
import org.otterpond.keyrange.KeyRangeRuntime;
import org.otterpond.protocol.WireRecord;
import org.otterpond.replication.GroupConfiguration;

/** What one life of a simulated node is told, kept for those who look at it. */
final class SimulatedDataPlane implements DataPlane {
  private final SimulatedNode node;
  private final InvariantChecker checker;
  private final long life;
  private final Consumer<Runnable> perform;

  SimulatedDataPlane(
      SimulatedNode node, InvariantChecker checker, long life, Consumer<Runnable> perform) {
    this.node = node;
    this.checker = checker;
    this.life = life;
    this.perform = perform;
  }

  @Override
  public void configured(GatewayConfiguration c) {
    checker.inForce(node.address, life, c.revision());
    node.configuration = c;
    node.onConfigured.accept(c);
  }

  @Override
  public void worker(WorkerInstance v) {
    node.workers.put(v.id(), v);
  }

  @Override
  public void fleet(Map<String, Integer> nodesInZone, int rank) {
    // Only the data path uses it.
  }

  @Override
  public void assigned(WireRecord entry) {
    node.ranges.take(entry);
    if (entry.text("key").startsWith("partition:")) {
      GroupConfiguration v = GroupConfiguration.of(entry);
      node.partitions.put(v.group(), v);
    }
    if (node.store != null) {
      node.store.assigned(entry);
    }
  }

  @Override
  public void message(String from, WireRecord f, Consumer<WireRecord> reply) {
    if (node.store != null) {
      node.store.message(from, f, reply);
    }
  }

  @Override
  public void peerLost(String other) {
    if (node.store != null) {
      node.store.peerLost(other);
    }
  }

  @Override
  public void callWorker(
      String to,
      String instance,
      String path,
      String body,
      long timeout,
      Consumer<KeyRangeRuntime.Answer> answer) {
    node.keyWorkers.call(
        node.address, to, path, body, timeout, a -> perform.accept(() -> answer.accept(a)));
  }

  @Override
  public List<WireRecord> heat() {
    return node.keyWorkers == null ? List.of() : node.keyWorkers.heat(node.address);
  }

  @Override
  public WireRecord outcome(String key, String token) {
    return null;
  }
}
