package org.otterpond.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.otterpond.control.state.WorkerInstance;
import org.otterpond.control.state.WorkerState;

/**
 * Workers who tell any node that they serve and, after a while, that they leave, until that is
 * acknowledged.
 */
final class WorkerLifecycleClients {
  private static final long BEAT = 400_000;

  private final SimulatedCluster fleet;
  private final SimulatedWorld world;
  private final OperatorClient nodes;
  private final Random random;
  private boolean going = true;
  private int number;
  private final List<String> acknowledged = new ArrayList<>();

  WorkerLifecycleClients(SimulatedCluster fleet, OperatorClient nodes, Random random) {
    this.fleet = fleet;
    this.world = fleet.world;
    this.nodes = nodes;
    this.random = random;
  }

  void start() {
    world.at(0, this::next);
  }

  void stop() {
    going = false;
  }

  private void next() {
    if (going) {
      beat("w" + ++number, 1, 3 + random.nextInt(10));
      world.at(500_000 + random.nextInt(2_000_000), this::next);
    }
  }

  private void beat(String id, long sequence, int left) {
    if (left == 0) {
      leave(id, sequence);
      return;
    }
    tell(fleet.worker(id, WorkerState.IN_SERVICE, sequence), () -> {});
    world.at(BEAT, () -> beat(id, sequence + 1, left - 1));
  }

  private void leave(String id, long sequence) {
    if (acknowledged.contains(id)) {
      return;
    }
    tell(
        fleet.worker(id, WorkerState.DRAINING, sequence),
        () -> {
          if (!acknowledged.contains(id)) {
            acknowledged.add(id);
          }
        });
    world.at(BEAT + random.nextInt(800_000), () -> leave(id, sequence + 1));
  }

  private void tell(WorkerInstance v, Runnable accepted) {
    SimulatedNode n = nodes.anyNode();
    if (n != null) {
      n.call(
          nodes.connection(),
          () ->
              n.node.beat(
                  v,
                  ok -> {
                    if (ok) {
                      accepted.run();
                    }
                  }));
    }
  }

  int leavings() {
    return acknowledged.size();
  }

  /** Of those whose leaving was acknowledged, any that a node still takes to be in service. */
  List<String> forgotten() {
    List<String> out = new ArrayList<>();
    for (SimulatedNode n : fleet.all) {
      for (String id : acknowledged) {
        WorkerInstance v = n.workers.get(id);
        if (n.up() && v != null && v.state() == WorkerState.IN_SERVICE) {
          out.add(id + " at " + n.address);
        }
      }
    }
    return out;
  }
}
