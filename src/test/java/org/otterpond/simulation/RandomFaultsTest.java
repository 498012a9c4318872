package org.otterpond.simulation;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.otterpond.simulation.ClusterFixture.SECOND_MICROS;
import static org.otterpond.simulation.ClusterFixture.assertNoViolations;
import static org.otterpond.simulation.ClusterFixture.assertRecovers;
import static org.otterpond.simulation.ClusterFixture.bootstrap;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Whole clusters under random faults of their core nodes, other ones for each seed. */
class RandomFaultsTest {
  private static final int ROUNDS = 8;
  private static final int FAULT_KINDS = 9;

  @ParameterizedTest
  @ValueSource(longs = {11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24, 1253})
  void nothingAcknowledgedIsLostUnderRandomFaults(long seed) {
    SimulatedCluster cluster = bootstrap(seed, 4, 4, 1);

    injectRandomFaults(cluster, 1);

    assertRecovers(cluster, 5 * SECOND_MICROS);
  }

  @ParameterizedTest
  @ValueSource(longs = {101, 102, 103, 104, 105, 106, 107, 108})
  void nothingAcknowledgedIsLostWhenTwoFailAtOnce(long seed) {
    SimulatedCluster cluster = bootstrap(seed, seed % 2 == 0 ? 5 : 8, 4, 2);

    injectRandomFaults(cluster, 2);

    assertRecovers(cluster, 5 * SECOND_MICROS);
  }

  /** What the tenant runs, and under which access keys, stays within bounds. */
  @ParameterizedTest
  @ValueSource(longs = {201, 202, 203, 204, 205, 206, 207, 208, 209, 210})
  void quotasAndRevokedAccessKeysAreEnforcedUnderFaults(long seed) {
    SimulatedCluster cluster = bootstrap(seed, seed % 2 == 0 ? 5 : 8, 4, 2);
    cluster.workload.startTenants();

    injectRandomFaults(cluster, 2);

    assertRecovers(cluster, 5 * SECOND_MICROS);
    InvariantChecker checker = cluster.checker;
    assertTrue(checker.quotaRuns() > 500, "only " + checker.quotaRuns() + " counted runs");
    assertTrue(checker.accessKeyUses > 1000, "only " + checker.accessKeyUses + " uses of keys");
    checker.checkQuota(QuotaAndAccessKeyTest.TENANT_BOUND);
    assertNoViolations(cluster);
  }

  /** Injects a random fault into so many core nodes at once, again and again. */
  private static void injectRandomFaults(SimulatedCluster cluster, int concurrentFaults) {
    Random random = cluster.world.random;
    cluster.workload.start();
    for (int round = 0; round < ROUNDS; round++) {
      List<SimulatedNode> victims = randomVictims(cluster, concurrentFaults);
      for (SimulatedNode victim : victims) {
        int kind = random.nextInt(FAULT_KINDS);
        cluster.world.logEvent(
            "test", "round=" + round + " victim=" + victim.address + " kind=" + kind);
        inject(cluster, victim, kind);
      }
      cluster.world.run(SECOND_MICROS + random.nextInt(4_000_000));
      ClusterFixture.healNetwork(cluster);
      victims.forEach(ClusterFixture::resumeAndRepairDisk);
      cluster.nodes.forEach(SimulatedNode::start);
      cluster.world.run(6 * SECOND_MICROS);
    }
    assertTrue(cluster.checker.keyGrants > 200, "too few key grants for the test to mean anything");
  }

  /** Random core nodes, the primary among them in every second round or more. */
  private static List<SimulatedNode> randomVictims(SimulatedCluster cluster, int count) {
    List<SimulatedNode> victims = new ArrayList<>(cluster.coreNodes);
    Collections.shuffle(victims, cluster.world.random);
    SimulatedNode primary = cluster.primary();
    if (primary != null && cluster.world.random.nextBoolean()) {
      victims.remove(primary);
      victims.add(0, primary);
    }
    return victims.subList(0, count);
  }

  private static void inject(SimulatedCluster cluster, SimulatedNode victim, int kind) {
    switch (kind) {
      case 0 -> victim.kill();
      case 1 -> victim.losePower();
      case 2 -> {
        victim.losePower();
        victim.disk.wipe();
      }
      case 3 -> victim.freeze();
      case 4 -> cluster.world.network.isolate(victim.address);
      case 5 -> victim.disk.stalled = true;
      case 6 -> victim.disk.failsWrites = true;
      case 7 -> cutPowerOfMost(cluster);
      default -> cluster.world.network.lossProbability = 0.05;
    }
  }

  private static void cutPowerOfMost(SimulatedCluster cluster) {
    for (SimulatedNode node : cluster.nodes) {
      if (cluster.world.random.nextInt(4) > 0) {
        node.losePower();
      }
    }
  }
}
