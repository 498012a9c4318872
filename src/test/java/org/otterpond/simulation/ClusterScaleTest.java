package org.otterpond.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.otterpond.simulation.ClusterFixture.SECOND_MICROS;
import static org.otterpond.simulation.ClusterFixture.assertNoViolations;
import static org.otterpond.simulation.ClusterFixture.bootstrap;
import static org.otterpond.simulation.ClusterFixture.epochsBegun;
import static org.otterpond.simulation.ClusterFixture.firstBackup;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.otterpond.control.state.WorkerInstance;
import org.otterpond.control.state.WorkerState;

/**
 * Large clusters: a hundred nodes, cores of six and seven disks, two failures at once; and how load
 * grows with the size of the cluster.
 */
class ClusterScaleTest {
  private static final long HASH_MULTIPLIER = 0x9e3779b97f4a7c15L;

  /** Starts workers, each of which sends its heartbeats to one core node. */
  private static void startWorkers(SimulatedCluster cluster, int count) {
    for (int i = 0; i < count; i++) {
      // Ids and addresses that hardly compress.
      String id = "i-" + Long.toHexString((i * HASH_MULTIPLIER) >>> 8);
      String address = "10." + (i % 7) + "." + (i / 250) + "." + (i % 250) + ":8000";
      SimulatedNode receiver = cluster.coreNodes.get(i % cluster.coreNodes.size());
      sendHeartbeats(cluster, receiver, id, address, 1);
    }
    cluster.world.run(2 * SECOND_MICROS);
  }

  private static void sendHeartbeats(
      SimulatedCluster cluster, SimulatedNode receiver, String id, String address, long sequence) {
    if (receiver.isRunning()) {
      receiver.agent.beat(
          new WorkerInstance(id, "svc", address, "z", "v1", 4, WorkerState.IN_SERVICE, sequence, 0),
          accepted -> {});
    }
    cluster.world.schedule(
        1_500_000, () -> sendHeartbeats(cluster, receiver, id, address, sequence + 1));
  }

  private static void assertAllUpToDate(SimulatedCluster cluster, int workers) {
    ClusterFixture.assertAllActive(cluster, cluster.checker.newestAcknowledged());
    for (SimulatedNode node : cluster.nodes) {
      if (node.isRunning()) {
        assertEquals(
            workers,
            node.workers.values().stream()
                .filter(worker -> worker.state() == WorkerState.IN_SERVICE)
                .count(),
            node.address);
      }
    }
  }

  @Test
  void hundredNodesStayUpToDateWhenTwoGroupMembersFail() {
    for (int coreSize = 6; coreSize <= 7; coreSize++) {
      SimulatedCluster cluster = bootstrap(300 + coreSize, coreSize, 100 - coreSize, 2);
      cluster.operator.change(() -> {});
      startWorkers(cluster, 300);
      assertAllUpToDate(cluster, 300);

      SimulatedNode primary = cluster.primary();
      SimulatedNode otherMember =
          cluster.coreNodes.stream()
              .filter(node -> primary.agent.known().isInGroup(node.disk.id) && node != primary)
              .findFirst()
              .orElseThrow();
      for (SimulatedNode failing : List.of(primary, otherMember)) {
        failing.losePower();
        failing.disk.wipe();
      }
      cluster.world.run(2 * SECOND_MICROS);
      cluster.operator.change(() -> {});
      cluster.world.run(SECOND_MICROS);

      assertEquals(2, cluster.checker.acknowledgements);
      assertAllUpToDate(cluster, 300);
      assertNoViolations(cluster);
    }
  }

  /** In a core of six neither half is a majority. */
  @Test
  void corePartitionedInHalvesBeginsNoEpochAndRecovers() {
    SimulatedCluster cluster = bootstrap(311, 6, 94, 2);
    cluster.operator.change(() -> {});
    cluster.world.run(2 * SECOND_MICROS);
    final long epochsBefore = epochsBegun(cluster);

    List<SimulatedNode> half = cluster.nodes.subList(0, 3);
    for (SimulatedNode node : half) {
      cluster.nodes.stream()
          .filter(other -> !half.contains(other))
          .forEach(other -> cluster.world.network.partition(node.address, other.address));
    }
    cluster.workload.start();
    cluster.world.run(9 * SECOND_MICROS);
    cluster.workload.stop();
    assertEquals(epochsBefore, epochsBegun(cluster), cluster::recentEvents);

    cluster.world.network.heal();
    cluster.world.run(4 * SECOND_MICROS);
    ClusterFixture.assertAcceptsChange(cluster, 2 * SECOND_MICROS);
    assertAllUpToDate(cluster, 0);
    assertNoViolations(cluster);
  }

  /** Acquires key locks one after another, so that a batch is in flight nearly all the time. */
  private static void acquireKeyLocks(SimulatedCluster cluster, int number) {
    SimulatedNode node = cluster.nodes.get(cluster.coreNodes.size() + number % 50);
    node.agent.ask(
        ControlRequests.acquireKeyLock("p" + number, "t" + number, node.address),
        2 * SECOND_MICROS,
        SECOND_MICROS,
        reply -> {});
    cluster.world.schedule(400, () -> acquireKeyLocks(cluster, number + 1));
  }

  @Test
  void wipedDiskRejoinsUnderConstantKeyLockLoad() {
    SimulatedCluster cluster = bootstrap(351, 6, 94, 2);
    cluster.operator.change(() -> {});
    cluster.world.run(2 * SECOND_MICROS);
    acquireKeyLocks(cluster, 0);
    cluster.world.run(SECOND_MICROS);

    SimulatedNode wiped =
        cluster.coreNodes.stream()
            .filter(node -> !cluster.primary().agent.known().isInGroup(node.disk.id))
            .findFirst()
            .orElseThrow();
    wiped.losePower();
    wiped.disk.wipe();
    cluster.world.run(SECOND_MICROS);
    wiped.start();
    cluster.world.run(2_500_000);

    assertTrue(cluster.primary().agent.known().hasMember(wiped.disk.id), cluster::recentEvents);
    assertEquals(6, cluster.primary().agent.known().members().size());
    assertNoViolations(cluster);
  }

  /** All nodes know a new epoch well before they miss the answers of the old one's primary. */
  @Test
  void newEpochIsKnownToAllNodesAtOnce() {
    for (boolean primaryFails : new boolean[] {false, true}) {
      SimulatedCluster cluster = bootstrap(341, 6, 94, 2);
      cluster.operator.change(() -> {});
      cluster.world.run(3 * SECOND_MICROS);
      final long before = epochsBegun(cluster);

      (primaryFails ? cluster.primary() : firstBackup(cluster)).losePower();
      for (int i = 0; i < 40 && epochsBegun(cluster) == before; i++) {
        cluster.world.run(50_000);
      }
      cluster.world.run(100_000);

      assertTrue(epochsBegun(cluster) > before, cluster::recentEvents);
      long newest = cluster.primary().agent.known().epoch();
      List<String> behind =
          cluster.nodes.stream()
              .filter(node -> node.isRunning() && node.agent.known().epoch() < newest)
              .map(node -> node.address)
              .toList();
      assertEquals(List.of(), behind);
    }
  }

  /** Messages and bytes of one node in one second. */
  private record Load(double messages, double bytes) {
    private static Load perSecond(SimulatedNetwork.Traffic traffic, int seconds) {
      return new Load(traffic.messages() / (double) seconds, traffic.bytes() / (double) seconds);
    }
  }

  /** The load of the primary and the highest load of a node without a disk. */
  private record ClusterLoad(Load primary, Load busiestEdge) {}

  /** The load of a cluster in which nothing but heartbeats happens. */
  private static ClusterLoad loadAtRest(int edgeSize, int workers) {
    SimulatedCluster cluster = bootstrap(321, 6, edgeSize, 2);
    cluster.operator.change(() -> {});
    startWorkers(cluster, workers);
    cluster.world.run(3 * SECOND_MICROS);
    return measureLoad(cluster, 10, () -> {});
  }

  /** The load of a cluster during the failover after its primary has lost power. */
  private static ClusterLoad loadOfFailover(int edgeSize, int workers) {
    SimulatedCluster cluster = bootstrap(331, 6, edgeSize, 2);
    cluster.operator.change(() -> {});
    startWorkers(cluster, workers);
    cluster.world.run(3 * SECOND_MICROS);
    ClusterLoad load = measureLoad(cluster, 3, cluster.primary()::losePower);
    assertNotNull(cluster.primary());
    return load;
  }

  private static ClusterLoad measureLoad(SimulatedCluster cluster, int seconds, Runnable event) {
    cluster.world.network.traffic.clear();
    event.run();
    cluster.world.run(seconds * SECOND_MICROS);

    long messages = 0;
    long bytes = 0;
    for (SimulatedNode node : cluster.nodes) {
      SimulatedNetwork.Traffic traffic = cluster.world.network.traffic.get(node.address);
      if (node.disk == null && traffic != null) {
        messages = Math.max(messages, traffic.messages());
        bytes = Math.max(bytes, traffic.bytes());
      }
    }
    return new ClusterLoad(
        Load.perSecond(cluster.world.network.traffic.get(cluster.primary().address), seconds),
        Load.perSecond(new SimulatedNetwork.Traffic(messages, bytes), seconds));
  }

  @Test
  void loadPerNodeIsConstantAndPrimaryLoadLinearInClusterSize() {
    ClusterLoad small = loadAtRest(34, 100);
    ClusterLoad large = loadAtRest(134, 400);

    System.out.println("at rest: small=" + small + " large=" + large);
    assertTrue(
        large.busiestEdge().messages() <= 1.2 * small.busiestEdge().messages() + 1,
        "messages of one node");
    assertTrue(
        large.busiestEdge().bytes() <= 1.2 * small.busiestEdge().bytes() + 100,
        "bytes of one node");
    // A cluster of four times the size: four times the work of the primary, with some margin, and
    // not sixteen times.
    assertTrue(
        large.primary().messages() <= 5 * small.primary().messages(), "messages of the primary");
    assertTrue(large.primary().bytes() <= 5 * small.primary().bytes(), "bytes of the primary");
  }

  @Test
  void failoverTrafficPerNodeIsIndependentOfClusterSize() {
    ClusterLoad small = loadOfFailover(34, 100);
    ClusterLoad large = loadOfFailover(134, 400);

    System.out.println("failover: small=" + small + " large=" + large);
    // Every node that looks for the core asks a seed; no node is sent the table that it has.
    assertTrue(large.busiestEdge().bytes() <= 2 * small.busiestEdge().bytes(), "bytes of one node");
    assertTrue(large.primary().bytes() <= 5 * small.primary().bytes(), "bytes of the new primary");
  }
}
