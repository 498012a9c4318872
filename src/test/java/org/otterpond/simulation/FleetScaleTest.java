package org.otterpond.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.otterpond.control.state.WorkerInstance;
import org.otterpond.control.state.WorkerState;
import org.otterpond.protocol.WireRecord;

/**
 * Large fleets: a hundred nodes, cores of six and seven disks, two losses at once; and what grows
 * with what.
 */
class FleetScaleTest {
  private static final long SECOND_MICROS = 1_000_000;

  private static SimulatedCluster founded(long seed, int disks, int without) {
    SimulatedCluster cluster = new SimulatedCluster(seed, disks, without, 2);
    cluster.world.run(9 * SECOND_MICROS);
    assertNotNull(cluster.primary(), () -> "no leader\n" + cluster.recentEvents());
    return cluster;
  }

  /** Workers that beat, each at a node with a disk, as they are told to. */
  private static void beating(SimulatedCluster cluster, int workers) {
    for (int i = 0; i < workers; i++) {
      // Ids and addresses that do not pack into nothing.
      String id = "i-" + Long.toHexString(i * 0x9e3779b97f4a7c15L >>> 8);
      beat(
          cluster,
          cluster.coreNodes.get(i % cluster.coreNodes.size()),
          id,
          "10." + (i % 7) + "." + (i / 250) + "." + (i % 250) + ":8000",
          1);
    }
    cluster.world.run(2 * SECOND_MICROS);
  }

  private static void beat(
      SimulatedCluster cluster, SimulatedNode at, String id, String address, long sequence) {
    if (at.isRunning()) {
      at.agent.beat(
          new WorkerInstance(id, "svc", address, "z", "v1", 4, WorkerState.IN_SERVICE, sequence, 0),
          ok -> {});
    }
    cluster.world.schedule(1_500_000, () -> beat(cluster, at, id, address, sequence + 1));
  }

  private static void assertAllKnow(SimulatedCluster cluster, int workers) {
    for (SimulatedNode n : cluster.nodes) {
      if (n.isRunning()) {
        assertEquals(
            cluster.checker.newestAcknowledged(),
            n.agent.revision(),
            () -> n.address + "\n" + cluster.recentEvents());
        assertEquals(
            workers,
            n.workers.values().stream().filter(w -> w.state() == WorkerState.IN_SERVICE).count(),
            n.address);
      }
    }
  }

  @Test
  void hundredNodesFollowTheirPrimaryThroughTheLossOfTwoOfItsGroup() {
    for (int disks = 6; disks <= 7; disks++) {
      SimulatedCluster cluster = founded(300 + disks, disks, 100 - disks);
      cluster.operator.change(() -> {});
      beating(cluster, 300);
      assertAllKnow(cluster, 300);
      List<SimulatedNode> group =
          new ArrayList<>(
              cluster.coreNodes.stream()
                  .filter(d -> cluster.primary().agent.known().inGroup(d.disk.id))
                  .toList());
      SimulatedNode leader = cluster.primary();
      group.remove(leader);
      leader.losePower();
      leader.disk.wipe();
      group.get(0).losePower();
      group.get(0).disk.wipe();
      cluster.world.run(2 * SECOND_MICROS);
      cluster.operator.change(() -> {});
      cluster.world.run(SECOND_MICROS);
      assertEquals(2, cluster.checker.acknowledgements);
      assertAllKnow(cluster, 300);
      assertEquals(List.of(), cluster.checker.violations, cluster::recentEvents);
    }
  }

  /**
   * A core of six cut in halves: no side can begin an epoch, and all are of one mind again soon
   * after.
   */
  @Test
  void coreCutInHalvesBeginsNoEpochAndHeals() {
    SimulatedCluster cluster = founded(311, 6, 94);
    cluster.operator.change(() -> {});
    cluster.world.run(2 * SECOND_MICROS);
    List<SimulatedNode> left = cluster.nodes.subList(0, 3);
    for (SimulatedNode a : left) {
      cluster.nodes.stream()
          .filter(b -> !left.contains(b))
          .forEach(b -> cluster.world.network.partition(a.address, b.address));
    }
    long began = epochs(cluster);
    cluster.workload.start();
    cluster.world.run(9 * SECOND_MICROS);
    cluster.workload.stop();
    assertEquals(began, epochs(cluster), cluster::recentEvents);
    cluster.world.network.heal();
    cluster.world.run(4 * SECOND_MICROS);
    int before = cluster.checker.acknowledgements;
    cluster.operator.change(() -> {});
    cluster.world.run(2 * SECOND_MICROS);
    assertTrue(cluster.checker.acknowledgements > before, cluster::recentEvents);
    assertAllKnow(cluster, 0);
    assertEquals(List.of(), cluster.checker.violations, cluster::recentEvents);
  }

  private static long epochs(SimulatedCluster cluster) {
    return cluster.world.eventLog.stream().filter(l -> l.contains("event=epoch_began")).count();
  }

  /** Claims one after another, so that there is hardly a moment without a batch on its way. */
  private static void pressing(SimulatedCluster cluster, int number) {
    SimulatedNode n = cluster.nodes.get(cluster.coreNodes.size() + number % 50);
    n.agent.ask(
        new WireRecord("ask")
            .with("op", "claim")
            .with("key", "p" + number)
            .with("token", "t" + number)
            .with("holder", n.address),
        2 * SECOND_MICROS,
        SECOND_MICROS,
        r -> {});
    cluster.world.schedule(400, () -> pressing(cluster, number + 1));
  }

  @Test
  void wipedDiskIsTakenInAgainHoweverManyClaimsThereAre() {
    SimulatedCluster cluster = founded(351, 6, 94);
    cluster.operator.change(() -> {});
    cluster.world.run(2 * SECOND_MICROS);
    pressing(cluster, 0);
    cluster.world.run(SECOND_MICROS);
    SimulatedNode wiped =
        cluster.coreNodes.stream()
            .filter(d -> !cluster.primary().agent.known().inGroup(d.disk.id))
            .findFirst()
            .orElseThrow();
    wiped.losePower();
    wiped.disk.wipe();
    cluster.world.run(SECOND_MICROS);
    wiped.start();
    cluster.world.run(2_500_000);
    assertTrue(cluster.primary().agent.known().hasMember(wiped.disk.id), cluster::recentEvents);
    assertEquals(6, cluster.primary().agent.known().members().size());
    assertEquals(List.of(), cluster.checker.violations, cluster::recentEvents);
  }

  /**
   * A new epoch, of the same primary or of another, is known to all well before they miss the old
   * one's answers.
   */
  @Test
  void newEpochIsKnownToAllNodesAtOnce() {
    for (boolean ofPrimary : new boolean[] {false, true}) {
      SimulatedCluster cluster = founded(341, 6, 94);
      cluster.operator.change(() -> {});
      cluster.world.run(3 * SECOND_MICROS);
      SimulatedNode leader = cluster.primary();
      String backup = leader.agent.known().backups().get(0).address();
      long before = epochs(cluster);
      (ofPrimary ? leader : cluster.node(backup)).losePower();
      for (int i = 0; i < 40 && epochs(cluster) == before; i++) {
        cluster.world.run(50_000);
      }
      cluster.world.run(100_000);
      assertTrue(epochs(cluster) > before, cluster::recentEvents);
      long newest = cluster.primary().agent.known().epoch();
      List<String> behind =
          cluster.nodes.stream()
              .filter(n -> n.isRunning() && n.agent.known().epoch() < newest)
              .map(n -> n.address)
              .toList();
      assertEquals(List.of(), behind);
    }
  }

  private record Load(double messages, double bytes) {}

  /**
   * What one second costs the primary, and the busiest of the nodes without a disk, in a cluster at
   * rest.
   */
  private static Load[] atRest(int without, int workers) {
    SimulatedCluster cluster = founded(321, 6, without);
    cluster.operator.change(() -> {});
    beating(cluster, workers);
    cluster.world.run(3 * SECOND_MICROS);
    return measured(cluster, 10, () -> {});
  }

  private static Load[] measured(SimulatedCluster cluster, int seconds, Runnable event) {
    cluster.world.network.traffic.clear();
    event.run();
    cluster.world.run(seconds * SECOND_MICROS);
    SimulatedNetwork.Traffic leader = cluster.world.network.traffic.get(cluster.primary().address);
    long[] other = new long[2];
    cluster.world.network.traffic.forEach(
        (n, t) -> {
          if (n.startsWith("n")) {
            other[0] = Math.max(other[0], t.messages());
            other[1] = Math.max(other[1], t.bytes());
          }
        });
    return new Load[] {
      new Load(leader.messages() / (double) seconds, leader.bytes() / (double) seconds),
      new Load(other[0] / (double) seconds, other[1] / (double) seconds)
    };
  }

  @Test
  void loadOfOneNodeDoesNotGrowWithTheFleetNorThePrimarysFasterThanIt() {
    Load[] small = atRest(34, 100);
    Load[] large = atRest(134, 400);
    System.out.println("at rest: small=" + List.of(small) + " large=" + List.of(large));
    assertTrue(large[1].messages() <= 1.2 * small[1].messages() + 1, "messages of one node");
    assertTrue(large[1].bytes() <= 1.2 * small[1].bytes() + 100, "bytes of one node");
    // Four times the cluster: four times the work at the primary, with some to spare, and not
    // sixteen
    // times.
    assertTrue(large[0].messages() <= 5 * small[0].messages(), "messages of the primary");
    assertTrue(large[0].bytes() <= 5 * small[0].bytes(), "bytes of the primary");
  }

  @Test
  void takeoverCostsOneNodeTheSameInALargeFleet() {
    Load[][] at = new Load[2][];
    for (int i = 0; i < 2; i++) {
      SimulatedCluster cluster = founded(331, 6, i == 0 ? 34 : 134);
      cluster.operator.change(() -> {});
      beating(cluster, i == 0 ? 100 : 400);
      cluster.world.run(3 * SECOND_MICROS);
      at[i] = measured(cluster, 3, cluster.primary()::losePower);
      assertNotNull(cluster.primary());
    }
    System.out.println("takeover: small=" + List.of(at[0]) + " large=" + List.of(at[1]));
    // A seed is asked by everybody who seeks the core; no node is told the table that it has.
    assertTrue(at[1][1].bytes() <= 2 * at[0][1].bytes(), "bytes of one node");
    assertTrue(at[1][0].bytes() <= 5 * at[0][0].bytes(), "bytes of the new primary");
  }
}
