package org.otterpond.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.otterpond.simulation.ClusterFixture.SECOND_MICROS;

import java.util.List;
import java.util.function.IntFunction;
import org.otterpond.control.state.CoreMember;
import org.otterpond.control.state.EpochRecord;
import org.otterpond.control.state.FaultTolerance;

/** Steps and assertions of the tests that change the members of a core under load. */
final class CoreFixture {
  /** The time within which a core must have recovered from a failure. */
  static final long RECOVERY_MICROS = 4 * SECOND_MICROS;

  private static final String ZONE = "z";

  private CoreFixture() {}

  /**
   * A bootstrapped cluster under load whose core tolerates what is given.
   *
   * @param zoneOf the zone of a node by its index among all nodes
   */
  static SimulatedCluster startCore(
      long seed, int coreSize, FaultTolerance tolerance, IntFunction<String> zoneOf) {
    SimulatedCluster cluster = new SimulatedCluster(seed, coreSize, 2, tolerance.machines());
    for (int i = 0; i < cluster.nodes.size(); i++) {
      cluster.nodes.get(i).zone = zoneOf.apply(i);
      cluster.nodes.get(i).faultTolerance = tolerance;
    }
    cluster.world.run(9 * SECOND_MICROS);
    ClusterFixture.assertHasPrimary(cluster);
    cluster.workload.start();
    cluster.world.run(2 * SECOND_MICROS);
    return cluster;
  }

  /** A bootstrapped cluster under load in a single zone. */
  static SimulatedCluster startCore(long seed, int coreSize, int maxFailures) {
    return startCore(seed, coreSize, FaultTolerance.ofMachines(maxFailures), index -> ZONE);
  }

  /** The record of the newest epoch. */
  static EpochRecord currentEpoch(SimulatedCluster cluster) {
    ClusterFixture.assertHasPrimary(cluster);
    return cluster.primary().agent.known();
  }

  /** The first backup of the primary. */
  static SimulatedNode backup(SimulatedCluster cluster) {
    return nodeOf(cluster, currentEpoch(cluster).backups().get(0));
  }

  /** A core node that is neither the primary nor its first backup. */
  static SimulatedNode otherCoreNode(SimulatedCluster cluster) {
    SimulatedNode primary = cluster.primary();
    SimulatedNode backup = backup(cluster);
    return cluster.coreNodes.stream()
        .filter(node -> node != primary && node != backup)
        .findFirst()
        .orElseThrow();
  }

  private static SimulatedNode nodeOf(SimulatedCluster cluster, CoreMember member) {
    return cluster.coreNodes.stream()
        .filter(node -> node.disk.id.equals(member.diskId()))
        .findFirst()
        .orElse(null);
  }

  private static long countRunning(SimulatedCluster cluster, List<CoreMember> members) {
    return members.stream()
        .map(member -> nodeOf(cluster, member))
        .filter(node -> node != null && node.isRunning())
        .count();
  }

  /**
   * Asserts that within the time the core has a primary, so many running backups and a running
   * majority, accepts a change and has lost nothing that was acknowledged.
   */
  static void assertRecovered(SimulatedCluster cluster, long withinMicros, int backups) {
    cluster.world.run(withinMicros);
    EpochRecord epoch = currentEpoch(cluster);
    long running = countRunning(cluster, epoch.members());
    assertTrue(
        running >= epoch.quorum(),
        () ->
            running + " of " + epoch.members().size() + " members run\n" + cluster.recentEvents());
    assertEquals(
        backups,
        countRunning(cluster, epoch.backups()),
        () -> "running backups\n" + cluster.recentEvents());
    // The operator of the workload may have stopped with a node that it had asked.
    ClusterFixture.assertAcceptsChange(cluster, 3 * SECOND_MICROS);
    ClusterFixture.assertNoViolations(cluster);
  }

  /** Removes a machine for good. */
  static void remove(SimulatedCluster cluster, SimulatedNode node) {
    node.losePower();
    cluster.nodes.remove(node);
    cluster.coreNodes.remove(node);
    // Its last messages are in flight for a moment.
    cluster.world.schedule(10_000, () -> cluster.world.network.detach(node.address));
  }

  /** Adds a core node in the default zone and starts it. */
  static SimulatedNode join(SimulatedCluster cluster, String address) {
    return join(cluster, address, ZONE);
  }

  /** Adds a core node and starts it. */
  static SimulatedNode join(SimulatedCluster cluster, String address, String zone) {
    SimulatedNode node = cluster.add(address, true);
    node.zone = zone;
    node.faultTolerance = cluster.coreNodes.get(0).faultTolerance;
    cluster.coreNodes.add(node);
    node.startWithoutBootstrap();
    return node;
  }
}
