package org.otterpond.simulation;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.otterpond.control.state.WorkerInstance;
import org.otterpond.control.state.WorkerState;

/**
 * Workers that send heartbeats to any node and after a while drain, until a node acknowledges that
 * every node knows of the draining.
 */
final class WorkerLifecycleClients {
  private static final long HEARTBEAT_MICROS = 400_000;

  private final SimulatedCluster cluster;
  private final SimulatedWorld world;
  private final ClientAccess access;
  private final Random random;
  private final Set<String> acknowledgedDrains = new LinkedHashSet<>();
  private boolean running = true;
  private int lastWorker;

  WorkerLifecycleClients(SimulatedCluster cluster, ClientAccess access, Random random) {
    this.cluster = cluster;
    this.world = cluster.world;
    this.access = access;
    this.random = random;
  }

  void start() {
    world.schedule(0, this::startNextWorker);
  }

  void stop() {
    running = false;
  }

  private void startNextWorker() {
    if (running) {
      serve("w" + ++lastWorker, 1, 3 + random.nextInt(10));
      world.schedule(500_000 + random.nextInt(2_000_000), this::startNextWorker);
    }
  }

  private void serve(String id, long sequence, int heartbeatsLeft) {
    if (heartbeatsLeft == 0) {
      drain(id, sequence);
      return;
    }
    sendHeartbeat(SimulatedCluster.worker(id, WorkerState.IN_SERVICE, sequence), () -> {});
    world.schedule(HEARTBEAT_MICROS, () -> serve(id, sequence + 1, heartbeatsLeft - 1));
  }

  private void drain(String id, long sequence) {
    if (acknowledgedDrains.contains(id)) {
      return;
    }
    sendHeartbeat(
        SimulatedCluster.worker(id, WorkerState.DRAINING, sequence),
        () -> acknowledgedDrains.add(id));
    world.schedule(HEARTBEAT_MICROS + random.nextInt(800_000), () -> drain(id, sequence + 1));
  }

  private void sendHeartbeat(WorkerInstance worker, Runnable acknowledged) {
    SimulatedNode node = access.pickNode();
    if (node == null) {
      return;
    }
    access.execute(
        node,
        () ->
            node.agent.beat(
                worker,
                accepted -> {
                  if (accepted) {
                    acknowledged.run();
                  }
                }));
  }

  int acknowledgedDrains() {
    return acknowledgedDrains.size();
  }

  /** The workers with an acknowledged drain that some node still takes to be in service. */
  List<String> forgottenDrains() {
    List<String> forgotten = new ArrayList<>();
    for (SimulatedNode node : cluster.nodes) {
      for (String id : acknowledgedDrains) {
        WorkerInstance worker = node.workers.get(id);
        if (node.isRunning() && worker != null && worker.state() == WorkerState.IN_SERVICE) {
          forgotten.add(id + " at " + node.address);
        }
      }
    }
    return forgotten;
  }
}
