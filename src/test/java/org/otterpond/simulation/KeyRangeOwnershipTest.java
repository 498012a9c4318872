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

/** A key has at most one owner under faults, as the workers see it; no key stays without one. */
class KeyRangeOwnershipTest {
  private static final long SECOND_MICROS = 1_000_000;

  /** A cluster whose workers own all keys of one partitioned service. */
  private static final class PartitionedService {
    final SimulatedCluster fleet;
    final SimulatedWorkers workers;

    PartitionedService(long seed, int workerCount) {
      fleet = new SimulatedCluster(seed, 4, 4, 1);
      fleet.services = "[{\"name\":\"" + SimulatedWorkers.SERVICE + "\",\"partitioned\":true}]";
      workers = new SimulatedWorkers(fleet);
      fleet.world.run(9 * SECOND_MICROS);
      for (int i = 1; i <= workerCount; i++) {
        workers.add("k" + i + ":80");
      }
      fleet.change(() -> {});
      fleet.world.run(6 * SECOND_MICROS);
      assertEquals(SimulatedWorkers.keys(), workers.held(), () -> fleet.tail());
      workers.requests();
      fleet.world.run(SECOND_MICROS);
    }

    void assertSettles() {
      workers.hot = -1;
      fleet.world.heal();
      fleet.all.forEach(
          n -> {
            n.thaw();
            n.start();
          });
      fleet.world.run(14 * SECOND_MICROS);
      assertEquals(List.of(), workers.broken, () -> fleet.tail());
      // At any moment a range may be moving; none does so for long.
      for (int i = 0; i < 20 && workers.held() < SimulatedWorkers.keys(); i++) {
        fleet.world.run(100_000);
      }
      assertEquals(SimulatedWorkers.keys(), workers.held(), () -> fleet.tail());
      int before = workers.misses;
      int served = workers.served;
      fleet.world.run(2 * SECOND_MICROS);
      int missed = workers.misses - before;
      assertTrue(missed * 20 < workers.served - served, () -> missed + " missed\n" + fleet.tail());
    }

    SimulatedWorkers.Worker randomWorker() {
      List<SimulatedWorkers.Worker> inService =
          new ArrayList<>(
              workers.workers.values().stream().filter(w -> w.up && !w.draining).toList());
      return inService.get(fleet.world.random.nextInt(inService.size()));
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 555})
  void givenCoincidingFaults_whenSettled_thenEveryKeyHadOneOwner(long seed) {
    PartitionedService service = new PartitionedService(seed, 5);
    for (int i = 0; i < 5; i++) {
      for (int k = 0; k < 2; k++) {
        injectFault(service);
        service.fleet.world.run(service.fleet.world.random.nextInt(700_000));
      }
      service.fleet.world.run(SECOND_MICROS + service.fleet.world.random.nextInt(4_000_000));
      service.fleet.world.heal();
      service.fleet.all.forEach(
          n -> {
            n.thaw();
            n.start();
          });
      service.workers.hot =
          service.fleet.world.random.nextInt(SimulatedWorkers.keys() - 4) * SimulatedWorkers.step();
      service.fleet.world.run(2 * SECOND_MICROS);
    }
    service.assertSettles();
  }

  private static void injectFault(PartitionedService service) {
    SimulatedNode leader = service.fleet.leader();
    SimulatedNode any =
        service.fleet.disks.get(service.fleet.world.random.nextInt(service.fleet.disks.size()));
    SimulatedNode node = leader == null || service.fleet.world.random.nextBoolean() ? any : leader;
    switch (service.fleet.world.random.nextInt(8)) {
      case 0 -> node.kill();
      case 1 -> node.freeze();
      case 2 -> service.fleet.world.cutOff(node.address);
      case 3 -> node.losePower();
      case 4 ->
          service.workers.crash(
              service.randomWorker(), 300_000 + service.fleet.world.random.nextInt(3_000_000));
      case 5 -> {
        // The primary and one worker do not reach each other.
        service.fleet.world.cut(node.address, service.randomWorker().address);
      }
      case 6 -> {
        SimulatedWorkers.Worker w = service.randomWorker();
        w.draining = true;
        service.fleet.world.at(
            3 * SECOND_MICROS,
            () -> {
              w.up = false;
              service.workers.add(w.address);
            });
      }
      default -> service.workers.add("n" + service.workers.lives + ":80");
    }
  }

  @Test
  void givenWorkerWithKeys_whenDrained_thenItHandsAllKeysOver() {
    PartitionedService service = new PartitionedService(31, 4);
    SimulatedWorkers.Worker w = service.randomWorker();
    assertTrue(service.workers.keysHeldBy(w) > 8);
    w.draining = true;
    service.fleet.world.run(2 * SECOND_MICROS);
    assertEquals(0, service.workers.keysHeldBy(w), () -> service.fleet.tail());
    assertEquals(SimulatedWorkers.keys(), service.workers.held());
    service.assertSettles();
  }

  @Test
  void givenHotNeighbouringKeys_whenBalanced_thenTheyAreSpreadAndOthersStay() {
    PartitionedService service = new PartitionedService(32, 6);
    SimulatedWorkers.Worker owner =
        service.workers.workers.values().stream().filter(w -> w.holds(0)).findFirst().orElseThrow();
    int before = service.workers.keysHeldBy(owner);
    service.workers.hot = 0;
    service.fleet.world.run(8 * SECOND_MICROS);
    long holders =
        service.workers.workers.values().stream()
            .filter(
                w ->
                    w.holds(0)
                        || w.holds(SimulatedWorkers.step())
                        || w.holds(2 * SimulatedWorkers.step())
                        || w.holds(3 * SimulatedWorkers.step()))
            .count();
    assertTrue(holders > 1, () -> "the hot keys still have one owner\n" + service.fleet.tail());
    assertTrue(
        service.workers.keysHeldBy(owner) >= before - 5,
        () -> "more keys than the hot ones moved\n" + service.fleet.tail());
    service.assertSettles();
  }

  @Test
  void givenCrashedWorker_whenItsLeaseRuns_thenKeysWaitUntilAnotherProcessRegisters() {
    PartitionedService service = new PartitionedService(33, 4);
    SimulatedWorkers.Worker w = service.randomWorker();
    w.up = false;
    int held = service.workers.held();
    assertTrue(held < SimulatedWorkers.keys());
    service.fleet.world.run(3 * SECOND_MICROS);
    assertEquals(
        held, service.workers.held(), "another worker owns keys whose lease has not expired");
    service.workers.add(w.address);
    service.fleet.world.run(2 * SECOND_MICROS);
    // At any moment a range may be moving; no key stays without an owner.
    Set<Integer> owned = new HashSet<>();
    for (int i = 0; i < 6; i++) {
      for (int k = 0; k < SimulatedWorkers.keys(); k++) {
        int key = k * SimulatedWorkers.step();
        if (service.workers.workers.values().stream().anyMatch(o -> o.holds(key))) {
          owned.add(key);
        }
      }
      service.fleet.world.run(50_000);
    }
    assertEquals(SimulatedWorkers.keys(), owned.size(), () -> service.fleet.tail());
    service.assertSettles();
  }
}
