package org.otterpond.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** One owner a key, whoever crashes, wakes or moves meanwhile; looked at from outside. */
class KeyRangeOwnershipTest {
  private static final long S = 1_000_000;

  private static final class Divided {
    final SimulatedCluster fleet;
    final SimulatedWorkers workers;

    Divided(long seed, int count) {
      fleet = new SimulatedCluster(seed, 4, 4, 1);
      fleet.services = "[{\"name\":\"" + SimulatedWorkers.SERVICE + "\",\"partitioned\":true}]";
      workers = new SimulatedWorkers(fleet);
      fleet.world.run(9 * S);
      for (int i = 1; i <= count; i++) {
        workers.add("k" + i + ":80");
      }
      fleet.change(() -> {});
      fleet.world.run(6 * S);
      assertEquals(SimulatedWorkers.keys(), workers.held(), () -> fleet.tail());
      workers.requests();
      fleet.world.run(S);
    }

    void settles() {
      workers.hot = -1;
      fleet.world.heal();
      fleet.all.forEach(
          n -> {
            n.thaw();
            n.start();
          });
      fleet.world.run(14 * S);
      assertEquals(List.of(), workers.broken, () -> fleet.tail());
      // One range may be on its way from one to another at any moment; none stays so.
      for (int i = 0; i < 20 && workers.held() < SimulatedWorkers.keys(); i++) {
        fleet.world.run(100_000);
      }
      assertEquals(SimulatedWorkers.keys(), workers.held(), () -> fleet.tail());
      int before = workers.misses;
      int served = workers.served;
      fleet.world.run(2 * S);
      int missed = workers.misses - before;
      assertTrue(missed * 20 < workers.served - served, () -> missed + " missed\n" + fleet.tail());
    }

    SimulatedWorkers.Worker any() {
      List<SimulatedWorkers.Worker> up =
          new ArrayList<>(
              workers.workers.values().stream().filter(w -> w.up && !w.draining).toList());
      return up.get(fleet.world.random.nextInt(up.size()));
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 555})
  void oneOwnerThroughCoincidingTroubles(long seed) {
    Divided d = new Divided(seed, 5);
    for (int i = 0; i < 5; i++) {
      for (int k = 0; k < 2; k++) {
        trouble(d);
        d.fleet.world.run(d.fleet.world.random.nextInt(700_000));
      }
      d.fleet.world.run(S + d.fleet.world.random.nextInt(4_000_000));
      d.fleet.world.heal();
      d.fleet.all.forEach(
          n -> {
            n.thaw();
            n.start();
          });
      d.workers.hot =
          d.fleet.world.random.nextInt(SimulatedWorkers.keys() - 4) * SimulatedWorkers.step();
      d.fleet.world.run(2 * S);
    }
    d.settles();
  }

  private static void trouble(Divided d) {
    SimulatedNode leader = d.fleet.leader();
    SimulatedNode any = d.fleet.disks.get(d.fleet.world.random.nextInt(d.fleet.disks.size()));
    SimulatedNode node = leader == null || d.fleet.world.random.nextBoolean() ? any : leader;
    switch (d.fleet.world.random.nextInt(8)) {
      case 0 -> node.kill();
      case 1 -> node.freeze();
      case 2 -> d.fleet.world.cutOff(node.address);
      case 3 -> node.losePower();
      case 4 -> d.workers.crash(d.any(), 300_000 + d.fleet.world.random.nextInt(3_000_000));
      case 5 -> {
        // The keeper and one worker do not reach each other.
        d.fleet.world.cut(node.address, d.any().address);
      }
      case 6 -> {
        SimulatedWorkers.Worker w = d.any();
        w.draining = true;
        d.fleet.world.at(
            3 * S,
            () -> {
              w.up = false;
              d.workers.add(w.address);
            });
      }
      default -> d.workers.add("n" + d.workers.lives + ":80");
    }
  }

  @Test
  void drainedWorkerHandsItsKeysOver() {
    Divided d = new Divided(31, 4);
    SimulatedWorkers.Worker w = d.any();
    assertTrue(d.workers.keysHeldBy(w) > 8);
    w.draining = true;
    d.fleet.world.run(2 * S);
    assertEquals(0, d.workers.keysHeldBy(w), () -> d.fleet.tail());
    assertEquals(SimulatedWorkers.keys(), d.workers.held());
    d.settles();
  }

  @Test
  void hotNeighboursArePulledApartAndColdKeysStay() {
    Divided d = new Divided(32, 6);
    SimulatedWorkers.Worker owner =
        d.workers.workers.values().stream().filter(w -> w.holds(0)).findFirst().orElseThrow();
    int before = d.workers.keysHeldBy(owner);
    d.workers.hot = 0;
    d.fleet.world.run(8 * S);
    long holders =
        d.workers.workers.values().stream()
            .filter(
                w ->
                    w.holds(0)
                        || w.holds(SimulatedWorkers.step())
                        || w.holds(2 * SimulatedWorkers.step())
                        || w.holds(3 * SimulatedWorkers.step()))
            .count();
    assertTrue(holders > 1, () -> "the hot keys are still together\n" + d.fleet.tail());
    assertTrue(
        d.workers.keysHeldBy(owner) >= before - 5,
        () -> "more moved than was hot\n" + d.fleet.tail());
    d.settles();
  }

  @Test
  void crashedWorkersKeysWaitOutTheLongestGrantUnlessAnotherLifeProvesTheEnd() {
    Divided d = new Divided(33, 4);
    SimulatedWorkers.Worker w = d.any();
    w.up = false;
    int held = d.workers.held();
    assertTrue(held < SimulatedWorkers.keys());
    d.fleet.world.run(3 * S);
    assertEquals(held, d.workers.held(), "nobody may have them yet");
    d.workers.add(w.address);
    d.fleet.world.run(2 * S);
    // A range may be on its way from one to another at any one moment; none of the keys stays
    // without an owner.
    Set<Integer> owned = new HashSet<>();
    for (int i = 0; i < 6; i++) {
      for (int k = 0; k < SimulatedWorkers.keys(); k++) {
        int key = k * SimulatedWorkers.step();
        if (d.workers.workers.values().stream().anyMatch(o -> o.holds(key))) {
          owned.add(key);
        }
      }
      d.fleet.world.run(50_000);
    }
    assertEquals(SimulatedWorkers.keys(), owned.size(), () -> d.fleet.tail());
    d.settles();
  }
}
