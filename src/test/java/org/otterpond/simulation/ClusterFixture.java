package org.otterpond.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;

/** Steps and assertions that the tests of whole clusters share. */
final class ClusterFixture {
  static final long SECOND_MICROS = 1_000_000;
  private static final long BOOTSTRAP_MICROS = 9 * SECOND_MICROS;

  private ClusterFixture() {}

  /** A cluster that has been bootstrapped and has a primary. */
  static SimulatedCluster bootstrap(long seed, int coreSize, int edgeSize, int maxFailures) {
    SimulatedCluster cluster = new SimulatedCluster(seed, coreSize, edgeSize, maxFailures);
    cluster.world.run(BOOTSTRAP_MICROS);
    assertHasPrimary(cluster);
    return cluster;
  }

  /** The first backup of the primary. */
  static SimulatedNode firstBackup(SimulatedCluster cluster) {
    return cluster.node(cluster.primary().agent.known().backups().get(0).address());
  }

  /** How many epochs have begun so far. */
  static long epochsBegun(SimulatedCluster cluster) {
    return cluster.world.eventLog.stream()
        .filter(line -> line.contains("event=epoch_began"))
        .count();
  }

  /** Ends all network faults. */
  static void healNetwork(SimulatedCluster cluster) {
    cluster.world.network.heal();
    cluster.world.network.lossProbability = 0;
  }

  /** Resumes a process and ends the faults of its disk. */
  static void resumeAndRepairDisk(SimulatedNode node) {
    node.resume();
    if (node.disk != null) {
      node.disk.stalled = false;
      node.disk.failsWrites = false;
    }
  }

  /** Resumes and starts every process. */
  static void resumeAndStart(List<SimulatedNode> nodes) {
    for (SimulatedNode node : nodes) {
      node.resume();
      node.start();
    }
  }

  static void assertHasPrimary(SimulatedCluster cluster) {
    assertNotNull(cluster.primary(), () -> "no primary\n" + cluster.recentEvents());
  }

  static void assertNoViolations(SimulatedCluster cluster) {
    assertEquals(List.of(), cluster.checker.violations, cluster::recentEvents);
  }

  /** Sends one change and asserts that it is acknowledged within the time. */
  static void assertAcceptsChange(SimulatedCluster cluster, long withinMicros) {
    int before = cluster.checker.acknowledgements;
    cluster.operator.change(() -> {});
    cluster.world.run(withinMicros);
    assertTrue(
        cluster.checker.acknowledgements > before,
        () -> "no change is accepted\n" + cluster.recentEvents());
  }

  /** Asserts that a revision is active on every running node. */
  static void assertAllActive(SimulatedCluster cluster, long revision) {
    for (SimulatedNode node : cluster.nodes) {
      if (node.isRunning()) {
        assertEquals(
            revision,
            node.agent.revision(),
            () -> node.address + " lags\n" + cluster.recentEvents());
      }
    }
  }

  /**
   * Ends all faults and asserts that the cluster recovers within the time: it has a primary,
   * accepts a change and activates the newest revision on every node, without a violation.
   */
  static void assertRecovers(SimulatedCluster cluster, long withinMicros) {
    healNetwork(cluster);
    for (SimulatedNode node : cluster.nodes) {
      resumeAndRepairDisk(node);
      node.start();
    }
    cluster.world.run(withinMicros);
    assertHasPrimary(cluster);
    cluster.workload.stop();
    cluster.world.run(3 * SECOND_MICROS);
    assertAcceptsChange(cluster, 3 * SECOND_MICROS);
    assertNoViolations(cluster);
    assertAllActive(cluster, cluster.checker.newestAcknowledged());
  }
}
