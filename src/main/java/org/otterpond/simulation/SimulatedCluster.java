package org.otterpond.simulation;

import java.util.ArrayList;
import java.util.List;
import org.otterpond.control.state.WorkerInstance;
import org.otterpond.control.state.WorkerState;

/** The nodes of one simulated cluster, with the checker that observes them and their clients. */
final class SimulatedCluster {
  private static final int START_SPREAD_MICROS = 1_500_000;
  private static final int RECENT_EVENTS = 60;

  final SimulatedWorld world;
  final InvariantChecker checker;

  /** The nodes with a disk, which hold the control plane's state. */
  final List<SimulatedNode> coreNodes = new ArrayList<>();

  /** The nodes that store messages. */
  final List<SimulatedNode> storageNodes = new ArrayList<>();

  /** All nodes of the cluster. */
  final List<SimulatedNode> nodes = new ArrayList<>();

  final SequentialOperator operator;
  final SimulatedWorkload workload;
  private final List<String> seeds;
  private final int maxFailures;

  /**
   * Creates a cluster whose nodes all start within the first 1.5 seconds.
   *
   * @param maxFailures how many machines may fail at once
   */
  SimulatedCluster(long seed, int coreSize, int edgeSize, int maxFailures) {
    this.maxFailures = maxFailures;
    world = new SimulatedWorld(seed);
    checker = new InvariantChecker(world);
    operator = new SequentialOperator(this);
    workload = new SimulatedWorkload(this);
    // One core node and two edge nodes as seeds, as in a production deployment.
    seeds = List.of("d1:1", edgeSize > 0 ? "n1:1" : "d2:1", edgeSize > 1 ? "n2:1" : "d3:1");
    for (int i = 1; i <= coreSize; i++) {
      coreNodes.add(add("d" + i + ":1", true));
    }
    for (int i = 1; i <= edgeSize; i++) {
      add("n" + i + ":1", false);
    }
    for (SimulatedNode node : nodes) {
      world.schedule(world.random.nextInt(START_SPREAD_MICROS), node::start);
    }
  }

  /** Adds a machine whose process does not run yet. */
  SimulatedNode add(String address, boolean withDisk) {
    SimulatedDisk disk = withDisk ? new SimulatedDisk(world) : null;
    SimulatedNode node = new SimulatedNode(this, address, disk, seeds, maxFailures);
    world.network.attach(node);
    nodes.add(node);
    return node;
  }

  /** Adds a machine that stores messages and whose process does not run yet. */
  SimulatedNode addStorageNode(String address, MessageInvariantChecker messageChecker) {
    SimulatedNode node = add(address, false);
    node.segmentStore = new SimulatedSegmentStore(world);
    node.messageChecker = messageChecker;
    storageNodes.add(node);
    return node;
  }

  /** The node of an address, or null. */
  SimulatedNode node(String address) {
    return world.network.node(address);
  }

  /** The running node that leads the newest epoch, or null if none leads. */
  SimulatedNode primary() {
    return nodes.stream()
        .filter(SimulatedNode::isPrimary)
        .reduce((a, b) -> a.agent.known().epoch() > b.agent.known().epoch() ? a : b)
        .orElse(null);
  }

  /** A random running node that stores no messages, or null if none runs. */
  SimulatedNode randomRunningNode() {
    List<SimulatedNode> running = runningNodes();
    return running.isEmpty() ? null : running.get(world.random.nextInt(running.size()));
  }

  /** All running nodes that store no messages. */
  List<SimulatedNode> runningNodes() {
    return nodes.stream().filter(node -> node.isRunning() && node.segmentStore == null).toList();
  }

  /** A worker of the service {@code svc}, as it describes itself in a heartbeat. */
  static WorkerInstance worker(String id, WorkerState state, long sequence) {
    return new WorkerInstance(id, "svc", "10.0.0.1:80", "z", "v1", 4, state, sequence, 0);
  }

  /** The last lines of the event log, for the message of a failed assertion. */
  String recentEvents() {
    int size = world.eventLog.size();
    return String.join("\n", world.eventLog.subList(Math.max(0, size - RECENT_EVENTS), size));
  }
}
