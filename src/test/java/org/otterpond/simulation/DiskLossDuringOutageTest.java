package org.otterpond.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.otterpond.simulation.ClusterFixture.SECOND_MICROS;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Disks are lost, no more than the fault tolerance allows, while other replicas are down but keep
 * theirs. Nothing that was acknowledged may be lost, whatever the order of the faults.
 */
class DiskLossDuringOutageTest {
  private static final int MAX_PAUSE_MICROS = (int) SECOND_MICROS;

  /** Guards against review/7: a store dropped its complete copy as the rest of the group shrank. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void givenTwoOfThreeStoresDown_whenThirdLosesItsDisk_thenNoMessageIsLost(long seed) {
    MessageFixture messages = new MessageFixture(seed, 3, 1);
    SimulatedWorld world = messages.world;
    List<SimulatedNode> stores = messages.cluster.storageNodes;

    stores.get(1).kill();
    stores.get(2).losePower();
    world.run(700_000 + world.random.nextInt(2_500_000));
    loseDisk(stores.get(0));
    world.run(world.random.nextInt(MAX_PAUSE_MICROS));
    stores.get(1).start();
    stores.get(2).start();
    world.run(world.random.nextInt(MAX_PAUSE_MICROS));
    stores.get(0).start();
    world.run(2 * SECOND_MICROS);

    messages.assertNothingLost();
  }

  /** Guards against review/2: the stores that came back had not been copied to yet. */
  @ParameterizedTest
  @ValueSource(longs = {11, 12})
  void givenTwoStoresCameBack_whenTheOthersLoseTheirDisks_thenNoMessageIsLost(long seed) {
    MessageFixture messages = new MessageFixture(seed, 4, 2);
    SimulatedWorld world = messages.world;
    List<SimulatedNode> stores = messages.cluster.storageNodes;

    stores.get(0).kill();
    stores.get(1).kill();
    world.run(600_000 + world.random.nextInt(3_000_000));
    stores.get(0).start();
    stores.get(1).start();
    world.run(6 * SECOND_MICROS + world.random.nextInt(400_000));
    loseDisk(stores.get(2));
    loseDisk(stores.get(3));
    world.run(2 * SECOND_MICROS);
    stores.get(2).start();
    stores.get(3).start();
    world.run(2 * SECOND_MICROS);

    messages.assertNothingLost();
  }

  @ParameterizedTest
  @ValueSource(longs = {21, 22, 23, 24, 25, 26})
  void givenOverlappingOutages_whenDisksAreLost_thenNoMessageIsLost(long seed) {
    int faults = seed % 2 == 0 ? 1 : 2;
    MessageFixture messages = new MessageFixture(seed, 3 + (int) (seed % 3), faults);
    SimulatedWorld world = messages.world;

    for (int round = 0; round < 2; round++) {
      List<SimulatedNode> stores = new ArrayList<>(messages.cluster.storageNodes);
      Collections.shuffle(stores, new Random(world.random.nextLong()));
      for (int i = 0; i < stores.size(); i++) {
        if (i < faults) {
          loseDisk(stores.get(i));
        } else {
          takeDown(messages.cluster, stores.get(i));
        }
        world.run(world.random.nextInt(1_200_000));
        if (world.random.nextInt(3) == 0) {
          ClusterFixture.resumeAndStart(stores.subList(0, world.random.nextInt(i + 1)));
        }
      }
      world.network.heal();
      ClusterFixture.resumeAndStart(stores);
      world.run(12 * SECOND_MICROS);
    }

    messages.assertNothingLost();
  }

  private static void takeDown(SimulatedCluster cluster, SimulatedNode node) {
    switch (cluster.world.random.nextInt(4)) {
      case 0 -> node.kill();
      case 1 -> node.losePower();
      case 2 -> node.freeze();
      default ->
          cluster.storageNodes.stream()
              .filter(other -> other != node)
              .forEach(other -> cluster.world.network.partition(node.address, other.address));
    }
  }

  private static void loseDisk(SimulatedNode node) {
    node.losePower();
    node.segmentStore.wipe();
  }

  /** One group of replicas, a register, judged by its history. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 16, 17, 25, 29, 107})
  void givenGroupOfReplicas_whenDisksAreLostInOutages_thenHistoryHoldsWhatWasAcknowledged(
      long seed) {
    SimulatedReplicaGroup group = disturbed(seed, false);

    assertEquals(List.of(), group.checker.violations, group::describe);
    assertTrue(group.checker.acknowledgedUpdates() > 300 && group.checker.queries() > 300);
  }

  /** Shows that the check above can fail: writes are acknowledged by any number of members. */
  @Test
  void givenWritesAcknowledgedByFewerReplicas_whenDisksAreLostInOutages_thenLossIsDetected() {
    boolean detected =
        LongStream.rangeClosed(1, 40)
            .anyMatch(seed -> !disturbed(seed, true).checker.violations.isEmpty());

    assertTrue(detected);
  }

  private static SimulatedReplicaGroup disturbed(long seed, boolean acknowledgesTooEarly) {
    int replicas = seed % 2 == 0 ? 2 : 3;
    SimulatedReplicaGroup group = new SimulatedReplicaGroup(seed, replicas);
    group.writesNeedAllReplicas = !acknowledgesTooEarly;
    group.checker.mayLoseUnacknowledged = true;
    group.world.run(2 * SECOND_MICROS);
    for (int round = 0; round < 4; round++) {
      loseDisksInOutage(group, replicas - 1);
      group.heal();
      group.members.values().forEach(SimulatedReplica::thaw);
      List.copyOf(group.members.values()).forEach(SimulatedReplica::start);
      group.world.run(8 * SECOND_MICROS);
    }
    group.settle();
    return group;
  }

  private static void loseDisksInOutage(SimulatedReplicaGroup group, int faults) {
    List<SimulatedReplica> members = new ArrayList<>(group.members.values());
    Collections.shuffle(members, new Random(group.world.random.nextLong()));
    Collections.rotate(members, group.world.random.nextInt(members.size()));
    int disksLost = 0;
    for (SimulatedReplica member : members) {
      boolean losesDisk = disksLost < faults && group.world.random.nextInt(2) == 0;
      if (losesDisk) {
        group.loseDisk(member);
        disksLost++;
      } else {
        takeDownReplica(group, member);
      }
      group.world.run(group.world.random.nextInt(1_800_000));
      if (group.world.random.nextInt(3) == 0) {
        List.copyOf(group.members.values()).forEach(SimulatedReplica::start);
        group.world.run(group.world.random.nextInt(1_000_000));
      }
    }
  }

  private static void takeDownReplica(SimulatedReplicaGroup group, SimulatedReplica member) {
    switch (group.world.random.nextInt(5)) {
      case 0 -> member.kill(false);
      case 1 -> member.kill(true);
      case 2 -> member.frozen = member.isRunning();
      case 3 -> group.partition(member.name, false);
      default -> group.partition(member.name, true);
    }
  }
}
