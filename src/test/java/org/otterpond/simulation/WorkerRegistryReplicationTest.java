package org.otterpond.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.otterpond.simulation.ClusterFixture.SECOND_MICROS;
import static org.otterpond.simulation.ClusterFixture.bootstrap;

import org.junit.jupiter.api.Test;
import org.otterpond.control.state.WorkerState;

/** What all nodes know of workers that send their heartbeats to one of them. */
class WorkerRegistryReplicationTest {
  @Test
  void drainingIsAcknowledgedOnlyOnceEveryNodeKnowsIt() {
    SimulatedCluster cluster = bootstrap(61, 4, 4, 1);
    SimulatedNode receiver = cluster.node("n3:1");
    receiver.agent.beat(SimulatedCluster.worker("w1", WorkerState.IN_SERVICE, 1), accepted -> {});
    cluster.world.run(SECOND_MICROS);
    assertAllKnow(cluster, WorkerState.IN_SERVICE);

    boolean[] acknowledged = {false};
    receiver.agent.beat(
        SimulatedCluster.worker("w1", WorkerState.DRAINING, 2),
        accepted -> {
          acknowledged[0] = accepted;
          assertAllKnow(cluster, WorkerState.DRAINING);
        });
    cluster.world.run(SECOND_MICROS);

    assertTrue(acknowledged[0]);
  }

  private static void assertAllKnow(SimulatedCluster cluster, WorkerState state) {
    cluster.nodes.forEach(
        node -> assertEquals(state, node.workers.get("w1").state(), node.address));
  }

  @Test
  void newPrimaryRebuildsWorkerRegistryFromNodes() {
    SimulatedCluster cluster = bootstrap(62, 4, 4, 1);
    for (int i = 0; i < 5; i++) {
      cluster
          .node("n" + (1 + i % 4) + ":1")
          .agent
          .beat(SimulatedCluster.worker("w" + i, WorkerState.IN_SERVICE, 1), accepted -> {});
    }
    cluster.world.run(SECOND_MICROS);

    cluster.primary().kill();
    cluster.world.run(2_500_000);

    assertNotNull(cluster.primary());
    for (SimulatedNode node : cluster.nodes) {
      if (node.isRunning()) {
        assertEquals(
            5,
            node.workers.values().stream()
                .filter(worker -> worker.state() == WorkerState.IN_SERVICE)
                .count(),
            node.address);
      }
    }
  }
}
