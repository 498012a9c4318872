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

  private static final class PartitionedService {
    final SimulatedCluster cluster;
    final SimulatedWorkers workers;
    final KeyRangeClients clients;

    PartitionedService(long seed, int count) {
      cluster = new SimulatedCluster(seed, 4, 4, 1);
      cluster.operator.services =
          "[{\"name\":\"" + SimulatedWorkers.SERVICE + "\",\"partitioned\":true}]";
      workers = new SimulatedWorkers(cluster);
      clients = new KeyRangeClients(cluster, workers);
      cluster.world.run(9 * SECOND_MICROS);
      for (int i = 1; i <= count; i++) {
        workers.add("k" + i + ":80");
      }
      cluster.operator.change(() -> {});
      cluster.world.run(6 * SECOND_MICROS);
      assertEquals(SimulatedWorkers.KEYS, workers.heldKeys(), cluster::recentEvents);
      clients.start();
      cluster.world.run(SECOND_MICROS);
    }

    void assertSettles() {
      clients.hotKey = KeyRangeClients.NO_HOT_KEY;
      cluster.world.network.heal();
      cluster.nodes.forEach(
          n -> {
            n.resume();
            n.start();
          });
      cluster.world.run(14 * SECOND_MICROS);
      assertEquals(List.of(), clients.violations, cluster::recentEvents);
      // One range may be on its way from one to another at any moment; none stays so.
      for (int i = 0; i < 20 && workers.heldKeys() < SimulatedWorkers.KEYS; i++) {
        cluster.world.run(100_000);
      }
      assertEquals(SimulatedWorkers.KEYS, workers.heldKeys(), cluster::recentEvents);
      int before = clients.misrouted;
      int served = clients.served;
      cluster.world.run(2 * SECOND_MICROS);
      int missed = clients.misrouted - before;
      assertTrue(
          missed * 20 < clients.served - served,
          () -> missed + " missed\n" + cluster.recentEvents());
    }

    SimulatedWorker randomWorker() {
      List<SimulatedWorker> up =
          new ArrayList<>(workers.all().stream().filter(w -> w.running && !w.draining).toList());
      return up.get(cluster.world.random.nextInt(up.size()));
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 555})
  void givenCoincidingFaults_whenSettled_thenEveryKeyHadOneOwner(long seed) {
    PartitionedService service = new PartitionedService(seed, 5);
    for (int i = 0; i < 5; i++) {
      for (int k = 0; k < 2; k++) {
        injectFault(service);
        service.cluster.world.run(service.cluster.world.random.nextInt(700_000));
      }
      service.cluster.world.run(SECOND_MICROS + service.cluster.world.random.nextInt(4_000_000));
      service.cluster.world.network.heal();
      service.cluster.nodes.forEach(
          n -> {
            n.resume();
            n.start();
          });
      service.clients.hotKey =
          service.cluster.world.random.nextInt(SimulatedWorkers.KEYS - 4)
              * SimulatedWorkers.KEY_STEP;
      service.cluster.world.run(2 * SECOND_MICROS);
    }
    service.assertSettles();
  }

  private static void injectFault(PartitionedService service) {
    SimulatedNode leader = service.cluster.primary();
    SimulatedNode any =
        service.cluster.coreNodes.get(
            service.cluster.world.random.nextInt(service.cluster.coreNodes.size()));
    SimulatedNode node =
        leader == null || service.cluster.world.random.nextBoolean() ? any : leader;
    switch (service.cluster.world.random.nextInt(8)) {
      case 0 -> node.kill();
      case 1 -> node.freeze();
      case 2 -> service.cluster.world.network.isolate(node.address);
      case 3 -> node.losePower();
      case 4 ->
          service.workers.crash(
              service.randomWorker(), 300_000 + service.cluster.world.random.nextInt(3_000_000));
      case 5 -> {
        // The keeper and one worker do not reach each other.
        service.cluster.world.network.partition(node.address, service.randomWorker().address);
      }
      case 6 -> {
        SimulatedWorker w = service.randomWorker();
        w.draining = true;
        service.cluster.world.schedule(
            3 * SECOND_MICROS,
            () -> {
              w.running = false;
              service.workers.add(w.address);
            });
      }
      default -> service.workers.add("n" + service.workers.incarnations + ":80");
    }
  }

  @Test
  void givenWorkerWithKeys_whenDrained_thenItHandsAllKeysOver() {
    PartitionedService service = new PartitionedService(31, 4);
    SimulatedWorker w = service.randomWorker();
    assertTrue(SimulatedWorkers.keysHeldBy(w) > 8);
    w.draining = true;
    service.cluster.world.run(2 * SECOND_MICROS);
    assertEquals(0, SimulatedWorkers.keysHeldBy(w), service.cluster::recentEvents);
    assertEquals(SimulatedWorkers.KEYS, service.workers.heldKeys());
    service.assertSettles();
  }

  @Test
  void givenHotNeighbouringKeys_whenBalanced_thenTheyAreSpreadAndOthersStay() {
    PartitionedService service = new PartitionedService(32, 6);
    SimulatedWorker owner =
        service.workers.all().stream().filter(w -> w.holds(0)).findFirst().orElseThrow();
    final int before = SimulatedWorkers.keysHeldBy(owner);
    service.clients.hotKey = 0;
    service.cluster.world.run(8 * SECOND_MICROS);
    long holders =
        service.workers.all().stream()
            .filter(
                w ->
                    w.holds(0)
                        || w.holds(SimulatedWorkers.KEY_STEP)
                        || w.holds(2 * SimulatedWorkers.KEY_STEP)
                        || w.holds(3 * SimulatedWorkers.KEY_STEP))
            .count();
    assertTrue(
        holders > 1, () -> "the hot keys are still together\n" + service.cluster.recentEvents());
    assertTrue(
        SimulatedWorkers.keysHeldBy(owner) >= before - 5,
        () -> "more moved than was hot\n" + service.cluster.recentEvents());
    service.assertSettles();
  }

  @Test
  void givenCrashedWorker_whenItsLeaseRuns_thenKeysWaitUntilAnotherProcessRegisters() {
    PartitionedService service = new PartitionedService(33, 4);
    SimulatedWorker w = service.randomWorker();
    w.running = false;
    int held = service.workers.heldKeys();
    assertTrue(held < SimulatedWorkers.KEYS);
    service.cluster.world.run(3 * SECOND_MICROS);
    assertEquals(held, service.workers.heldKeys(), "nobody may have them yet");
    service.workers.add(w.address);
    service.cluster.world.run(2 * SECOND_MICROS);
    // A range may be on its way from one to another at any one moment; none of the keys stays
    // without an owner.
    Set<Integer> owned = new HashSet<>();
    for (int i = 0; i < 6; i++) {
      for (int k = 0; k < SimulatedWorkers.KEYS; k++) {
        int key = k * SimulatedWorkers.KEY_STEP;
        if (service.workers.all().stream().anyMatch(o -> o.holds(key))) {
          owned.add(key);
        }
      }
      service.cluster.world.run(50_000);
    }
    assertEquals(SimulatedWorkers.KEYS, owned.size(), service.cluster::recentEvents);
    service.assertSettles();
  }
}
