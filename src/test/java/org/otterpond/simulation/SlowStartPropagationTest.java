package org.otterpond.simulation;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.otterpond.simulation.ClusterFixture.SECOND_MICROS;
import static org.otterpond.simulation.ClusterFixture.bootstrap;

import org.junit.jupiter.api.Test;
import org.otterpond.control.state.WorkerInstance;
import org.otterpond.control.state.WorkerState;

/** What all nodes know of a worker's slow start. */
class SlowStartPropagationTest {
  private static final long SLOW_START_MICROS = 3 * SECOND_MICROS;
  private static final long PROPAGATION_MICROS = SECOND_MICROS / 4;

  private static void heartbeat(SimulatedCluster cluster, long sequence, long slowStartMicros) {
    WorkerInstance worker = SimulatedCluster.worker("w1", WorkerState.IN_SERVICE, sequence);
    cluster
        .node("n3:1")
        .agent
        .beat(
            slowStartMicros == 0
                ? worker
                : worker.withSlowStartEnd(cluster.world.now() + slowStartMicros),
            accepted -> {});
  }

  private static void assertAllKnowItIsInSlowStart(SimulatedCluster cluster) {
    for (SimulatedNode node : cluster.nodes) {
      long end = node.workers.get("w1").slowStartEndMicros();
      assertTrue(end > cluster.world.now(), node.address + " takes the worker for warm");
    }
  }

  // Guards against the flood of a worker that becomes cold while it is in service (FAILBACK).
  @Test
  void workerThatEntersSlowStartAgainIsKnownToBeInItOnEveryNode() {
    SimulatedCluster cluster = bootstrap(47, 4, 4, 1);
    heartbeat(cluster, 1, 0);
    cluster.world.run(5 * SECOND_MICROS);

    heartbeat(cluster, 2, SLOW_START_MICROS);
    cluster.world.run(PROPAGATION_MICROS);

    assertAllKnowItIsInSlowStart(cluster);
  }

  // Guards against the flood of a worker whose slow start begins anew before it is over (FAILBACK).
  @Test
  void slowStartThatBeginsAnewIsExtendedOnEveryNode() {
    SimulatedCluster cluster = bootstrap(48, 4, 4, 1);
    heartbeat(cluster, 1, SLOW_START_MICROS);
    cluster.world.run(2 * SECOND_MICROS);

    heartbeat(cluster, 2, SLOW_START_MICROS);
    cluster.world.run(2 * SECOND_MICROS);

    assertAllKnowItIsInSlowStart(cluster);
  }
}
