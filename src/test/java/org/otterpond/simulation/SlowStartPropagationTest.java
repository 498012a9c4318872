package org.otterpond.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.otterpond.simulation.ClusterFixture.SECOND_MICROS;
import static org.otterpond.simulation.ClusterFixture.bootstrap;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
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

  private static List<String> chosenNodes(SimulatedNode node) {
    return node.workers.get("w1").slowStartNodes();
  }

  @Test
  void allNodesKnowTheSameFewNodesThatMaySendToWorkerInSlowStart() {
    SimulatedCluster cluster = bootstrap(49, 4, 8, 1);

    heartbeat(cluster, 1, SLOW_START_MICROS);
    cluster.world.run(PROPAGATION_MICROS);

    List<String> chosen = chosenNodes(cluster.primary());
    assertEquals(3, Set.copyOf(chosen).size());
    cluster.nodes.forEach(node -> assertEquals(chosen, chosenNodes(node), node.address));
  }

  // Guards against more nodes than fit into the bound, each sure of its place (FAILBACK).
  @Test
  void newPrimaryDoesNotChooseMoreNodesThanTwiceTheirNumber() {
    for (int seed = 50; seed < 60; seed++) {
      SimulatedCluster cluster = bootstrap(seed, 4, 8, 1);
      heartbeat(cluster, 1, 20 * SLOW_START_MICROS);
      cluster.world.run(PROPAGATION_MICROS);
      Set<String> everChosen = new HashSet<>(chosenNodes(cluster.primary()));

      cluster.primary().kill();
      for (int i = 0; i < 20; i++) {
        cluster.world.run(PROPAGATION_MICROS / 5);
        cluster.runningNodes().forEach(node -> everChosen.addAll(chosenNodes(node)));
      }

      assertTrue(everChosen.size() <= 6, "seed " + seed + ": " + everChosen);
    }
  }

  @Test
  void nodeThatIsGoneLosesItsPlaceOnceItsLeaseHasEnded() {
    SimulatedCluster cluster = bootstrap(61, 4, 8, 1);
    heartbeat(cluster, 1, 20 * SLOW_START_MICROS);
    cluster.world.run(PROPAGATION_MICROS);
    List<String> chosen = chosenNodes(cluster.primary());
    SimulatedNode gone =
        chosen.stream()
            .map(cluster::node)
            .filter(node -> !node.isPrimary())
            .findFirst()
            .orElseThrow();

    gone.kill();
    cluster.world.run(2 * SECOND_MICROS);
    assertTrue(chosenNodes(cluster.primary()).contains(gone.address), "its lease still runs");
    cluster.world.run(SECOND_MICROS);

    List<String> replaced = chosenNodes(cluster.primary());
    assertFalse(replaced.contains(gone.address));
    assertEquals(3, Set.copyOf(replaced).size());
    long kept = replaced.stream().filter(chosen::contains).count();
    assertEquals(2, kept, "the others keep their places");
  }

  // Guards against slow starts that begin anew with the process, so that nobody uses warm workers.
  @Test
  void slowStartThatIsOverDoesNotBeginAnewAfterPowerLossOfAllMachines() {
    SimulatedCluster cluster = bootstrap(62, 4, 8, 1);
    heartbeat(cluster, 1, SLOW_START_MICROS);
    cluster.world.run(SLOW_START_MICROS + SECOND_MICROS);

    cluster.nodes.forEach(SimulatedNode::losePower);
    cluster.nodes.forEach(SimulatedNode::start);
    cluster.world.run(3 * SECOND_MICROS);

    for (SimulatedNode node : cluster.nodes) {
      assertTrue(node.workers.containsKey("w1"), node.address + " does not know the worker");
      assertFalse(node.workers.get("w1").inSlowStart(cluster.world.now()), node.address);
    }
  }
}
