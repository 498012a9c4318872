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

/** The data plane of one incarnation of a node: records what the control plane hands to it. */
final class SimulatedDataPlane implements DataPlane {
  private static final String PARTITION_KEY_PREFIX = "partition:";

  private final SimulatedNode node;
  private final InvariantChecker checker;
  private final long incarnation;
  private final Consumer<Runnable> ownerThread;

  /**
   * Creates the data plane.
   *
   * @param ownerThread runs a task on the owner thread of the node's process
   */
  SimulatedDataPlane(
      SimulatedNode node,
      InvariantChecker checker,
      long incarnation,
      Consumer<Runnable> ownerThread) {
    this.node = node;
    this.checker = checker;
    this.incarnation = incarnation;
    this.ownerThread = ownerThread;
  }

  @Override
  public void configured(GatewayConfiguration configuration) {
    checker.configurationActivated(node.address, incarnation, configuration.revision());
    node.configuration = configuration;
    node.onConfigured.accept(configuration);
  }

  @Override
  public void worker(WorkerInstance worker) {
    node.workers.put(worker.id(), worker);
  }

  @Override
  public void fleet(Map<String, Integer> nodesInZone, int rank) {
    // Zone shares concern the load balancer, which is not simulated.
  }

  @Override
  public void assigned(WireRecord entry) {
    node.keyRanges.take(entry);
    if (entry.text("key").startsWith(PARTITION_KEY_PREFIX)) {
      GroupConfiguration group = GroupConfiguration.of(entry);
      node.partitions.put(group.group(), group);
    }
    if (node.messageStore != null) {
      node.messageStore.assigned(entry);
    }
  }

  @Override
  public void message(String from, WireRecord message, Consumer<WireRecord> reply) {
    if (node.messageStore != null) {
      node.messageStore.message(from, message, reply);
    }
  }

  @Override
  public void peerLost(String peer) {
    if (node.messageStore != null) {
      node.messageStore.peerLost(peer);
    }
  }

  @Override
  public void callWorker(
      String to,
      String instance,
      String path,
      String body,
      long timeoutMicros,
      Consumer<KeyRangeRuntime.Answer> answer) {
    node.keyRangeWorkers.call(
        new SimulatedWorkers.Call(node.address, to, path, body, timeoutMicros),
        result -> ownerThread.accept(() -> answer.accept(result)));
  }

  @Override
  public List<WireRecord> takeKeyLoads() {
    return node.keyRangeWorkers == null
        ? List.of()
        : node.keyRangeWorkers.takeLoadReport(node.address);
  }

  @Override
  public WireRecord outcome(String key, String token) {
    return null;
  }
}
