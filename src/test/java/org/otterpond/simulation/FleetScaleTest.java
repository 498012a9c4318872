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
  private static final long S = 1_000_000;

  private static SimulatedCluster founded(long seed, int disks, int without) {
    SimulatedCluster f = new SimulatedCluster(seed, disks, without, 2);
    f.world.run(9 * S);
    assertNotNull(f.leader(), () -> "no leader\n" + f.tail());
    return f;
  }

  /** Workers that beat, each at a node with a disk, as they are told to. */
  private static void beating(SimulatedCluster f, int workers) {
    for (int i = 0; i < workers; i++) {
      // Ids and addresses that do not pack into nothing.
      String id = "i-" + Long.toHexString(i * 0x9e3779b97f4a7c15L >>> 8);
      beat(
          f,
          f.disks.get(i % f.disks.size()),
          id,
          "10." + i % 7 + "." + i / 250 + "." + i % 250 + ":8000",
          1);
    }
    f.world.run(2 * S);
  }

  private static void beat(
      SimulatedCluster f, SimulatedNode at, String id, String address, long sequence) {
    if (at.up()) {
      at.node.beat(
          new WorkerInstance(id, "svc", address, "z", "v1", 4, WorkerState.IN_SERVICE, sequence, 0),
          ok -> {});
    }
    f.world.at(1_500_000, () -> beat(f, at, id, address, sequence + 1));
  }

  private static void assertAllKnow(SimulatedCluster f, int workers) {
    for (SimulatedNode n : f.all) {
      if (n.up()) {
        assertEquals(
            f.checker.newestAcknowledged(), n.node.revision(), () -> n.address + "\n" + f.tail());
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
      SimulatedCluster f = founded(300 + disks, disks, 100 - disks);
      f.change(() -> {});
      beating(f, 300);
      assertAllKnow(f, 300);
      List<SimulatedNode> group =
          new ArrayList<>(
              f.disks.stream().filter(d -> f.leader().node.known().inGroup(d.disk.id)).toList());
      SimulatedNode leader = f.leader();
      group.remove(leader);
      leader.losePower();
      leader.disk.wipe();
      group.get(0).losePower();
      group.get(0).disk.wipe();
      f.world.run(2 * S);
      f.change(() -> {});
      f.world.run(S);
      assertEquals(2, f.checker.acknowledgements);
      assertAllKnow(f, 300);
      assertEquals(List.of(), f.checker.broken, () -> f.tail());
    }
  }

  /**
   * A core of six cut in halves: no side can begin an epoch, and all are of one mind again soon
   * after.
   */
  @Test
  void coreCutInHalvesBeginsNoEpochAndHeals() {
    SimulatedCluster f = founded(311, 6, 94);
    f.change(() -> {});
    f.world.run(2 * S);
    List<SimulatedNode> left = f.all.subList(0, 3);
    for (SimulatedNode a : left) {
      f.all.stream().filter(b -> !left.contains(b)).forEach(b -> f.world.cut(a.address, b.address));
    }
    long began = epochs(f);
    f.callers();
    f.world.run(9 * S);
    f.quietCallers();
    assertEquals(began, epochs(f), () -> f.tail());
    f.world.heal();
    f.world.run(4 * S);
    int before = f.checker.acknowledgements;
    f.change(() -> {});
    f.world.run(2 * S);
    assertTrue(f.checker.acknowledgements > before, () -> f.tail());
    assertAllKnow(f, 0);
    assertEquals(List.of(), f.checker.broken, () -> f.tail());
  }

  private static long epochs(SimulatedCluster f) {
    return f.world.log.stream().filter(l -> l.contains("event=epoch_began")).count();
  }

  /** Claims one after another, so that there is hardly a moment without a batch on its way. */
  private static void pressing(SimulatedCluster f, int number) {
    SimulatedNode n = f.all.get(f.disks.size() + number % 50);
    n.node.ask(
        new WireRecord("ask")
            .with("op", "claim")
            .with("key", "p" + number)
            .with("token", "t" + number)
            .with("holder", n.address),
        2 * S,
        S,
        r -> {});
    f.world.at(400, () -> pressing(f, number + 1));
  }

  @Test
  void wipedDiskIsTakenInAgainHoweverManyClaimsThereAre() {
    SimulatedCluster f = founded(351, 6, 94);
    f.change(() -> {});
    f.world.run(2 * S);
    pressing(f, 0);
    f.world.run(S);
    SimulatedNode wiped =
        f.disks.stream()
            .filter(d -> !f.leader().node.known().inGroup(d.disk.id))
            .findFirst()
            .orElseThrow();
    wiped.losePower();
    wiped.disk.wipe();
    f.world.run(S);
    wiped.start();
    f.world.run(2_500_000);
    assertTrue(f.leader().node.known().hasMember(wiped.disk.id), () -> f.tail());
    assertEquals(6, f.leader().node.known().members().size());
    assertEquals(List.of(), f.checker.broken, () -> f.tail());
  }

  /**
   * A new epoch, of the same primary or of another, is known to all well before they miss the old
   * one's answers.
   */
  @Test
  void newEpochIsKnownToAllNodesAtOnce() {
    for (boolean ofPrimary : new boolean[] {false, true}) {
      SimulatedCluster f = founded(341, 6, 94);
      f.change(() -> {});
      f.world.run(3 * S);
      SimulatedNode leader = f.leader();
      String backup = leader.node.known().backups().get(0).address();
      long before = epochs(f);
      (ofPrimary ? leader : f.world.nodes.get(backup)).losePower();
      for (int i = 0; i < 40 && epochs(f) == before; i++) {
        f.world.run(50_000);
      }
      f.world.run(100_000);
      assertTrue(epochs(f) > before, () -> f.tail());
      long newest = f.leader().node.known().epoch();
      List<String> behind =
          f.all.stream()
              .filter(n -> n.up() && n.node.known().epoch() < newest)
              .map(n -> n.address)
              .toList();
      assertEquals(List.of(), behind);
    }
  }

  private record Load(double messages, double bytes) {}

  /**
   * What one second costs the primary, and the busiest of the nodes without a disk, in a fleet at
   * rest.
   */
  private static Load[] atRest(int without, int workers) {
    SimulatedCluster f = founded(321, 6, without);
    f.change(() -> {});
    beating(f, workers);
    f.world.run(3 * S);
    return measured(f, 10, () -> {});
  }

  private static Load[] measured(SimulatedCluster f, int seconds, Runnable event) {
    f.world.traffic.clear();
    event.run();
    f.world.run(seconds * S);
    long[] leader = f.world.traffic.get(f.leader().address);
    long[] other = new long[2];
    f.world.traffic.forEach(
        (n, t) -> {
          if (n.startsWith("n")) {
            other[0] = Math.max(other[0], t[0]);
            other[1] = Math.max(other[1], t[1]);
          }
        });
    return new Load[] {
      new Load(leader[0] / (double) seconds, leader[1] / (double) seconds),
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
    // Four times the fleet: four times the work at the primary, with some to spare, and not sixteen
    // times.
    assertTrue(large[0].messages() <= 5 * small[0].messages(), "messages of the primary");
    assertTrue(large[0].bytes() <= 5 * small[0].bytes(), "bytes of the primary");
  }

  @Test
  void takeoverCostsOneNodeTheSameInALargeFleet() {
    Load[][] at = new Load[2][];
    for (int i = 0; i < 2; i++) {
      SimulatedCluster f = founded(331, 6, i == 0 ? 34 : 134);
      f.change(() -> {});
      beating(f, i == 0 ? 100 : 400);
      f.world.run(3 * S);
      at[i] = measured(f, 3, f.leader()::losePower);
      assertNotNull(f.leader());
    }
    System.out.println("takeover: small=" + List.of(at[0]) + " large=" + List.of(at[1]));
    // A seed is asked by everybody who seeks the core; no node is told the table that it has.
    assertTrue(at[1][1].bytes() <= 2 * at[0][1].bytes(), "bytes of one node");
    assertTrue(at[1][0].bytes() <= 5 * at[0][0].bytes(), "bytes of the new primary");
  }
}
