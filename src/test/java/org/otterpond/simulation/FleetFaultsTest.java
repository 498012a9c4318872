package org.otterpond.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.otterpond.control.state.WorkerState;

/** Whole systems under faults, each seed its own schedule. */
class FleetFaultsTest {
  private static final long SECOND_MICROS = 1_000_000;

  private static SimulatedCluster founded(long seed) {
    return founded(seed, 4, 1);
  }

  private static SimulatedCluster founded(long seed, int disks, int faults) {
    SimulatedCluster cluster = new SimulatedCluster(seed, disks, 4, faults);
    cluster.world.run(9 * SECOND_MICROS);
    assertNotNull(cluster.primary(), () -> "no leader\n" + cluster.recentEvents());
    return cluster;
  }

  /**
   * After all is well again: order, a change that is taken, and every node with the newest version.
   */
  private static void settles(SimulatedCluster cluster, long within) {
    cluster.world.network.heal();
    cluster.world.network.lossProbability = 0;
    cluster.nodes.forEach(
        n -> {
          n.resume();
          if (n.disk != null) {
            n.disk.stalled = false;
            n.disk.failsWrites = false;
          }
          n.start();
        });
    cluster.world.run(within);
    assertNotNull(cluster.primary(), () -> "no leader at the end\n" + cluster.recentEvents());
    cluster.workload.stop();
    cluster.world.run(3 * SECOND_MICROS);
    int before = cluster.checker.acknowledgements;
    cluster.operator.change(() -> {});
    cluster.world.run(3 * SECOND_MICROS);
    assertTrue(
        cluster.checker.acknowledgements > before,
        () -> "no change is taken\n" + cluster.recentEvents());
    assertEquals(List.of(), cluster.checker.violations, cluster::recentEvents);
    long newest = cluster.checker.newestAcknowledged();
    for (SimulatedNode n : cluster.nodes) {
      if (n.isRunning()) {
        assertEquals(
            newest, n.agent.revision(), () -> n.address + " lags\n" + cluster.recentEvents());
      }
    }
  }

  @Test
  void oneCoreIsFoundedThoughASeedDiesMeanwhile() {
    for (long seed = 1; seed <= 12; seed++) {
      SimulatedCluster cluster = new SimulatedCluster(seed, 4, 4, 1);
      SimulatedNode seedNode = cluster.node(seed % 2 == 0 ? "d1:1" : "n1:1");
      cluster.world.run(1_600_000 + cluster.world.random.nextInt(2_000_000));
      seedNode.kill();
      cluster.world.run(2 * SECOND_MICROS);
      seedNode.start();
      cluster.workload.start();
      cluster.world.run(12 * SECOND_MICROS);
      settles(cluster, 4 * SECOND_MICROS);
      long fleets = cluster.nodes.stream().map(n -> n.agent.known().fleet()).distinct().count();
      assertEquals(1, fleets);
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24, 1253})
  void nothingAcknowledgedIsLostUnderRandomFaults(long seed) {
    randomFaults(founded(seed), 1);
  }

  @ParameterizedTest
  @ValueSource(longs = {101, 102, 103, 104, 105, 106, 107, 108})
  void nothingAcknowledgedIsLostWhenTwoFailAtOnce(long seed) {
    randomFaults(founded(seed, seed % 2 == 0 ? 5 : 8, 2), 2);
  }

  /**
   * Whoever leads, dies, is cut off or wakes up: what the tenant runs, and under which keys, stays
   * within bounds.
   */
  @ParameterizedTest
  @ValueSource(longs = {201, 202, 203, 204, 205, 206, 207, 208, 209, 210})
  void quotasAndWithdrawnKeysHoldUnderFaults(long seed) {
    SimulatedCluster cluster = founded(seed, seed % 2 == 0 ? 5 : 8, 2);
    cluster.workload.startTenants();
    randomFaults(cluster, 2);
    assertTrue(
        cluster.checker.quotaRuns() > 500, "only " + cluster.checker.quotaRuns() + " counted runs");
    assertTrue(
        cluster.checker.accessKeyUses > 1000,
        "only " + cluster.checker.accessKeyUses + " runs under keys");
    cluster.checker.checkQuota(
        new InvariantChecker.QuotaBound(
            TenantClients.RATE_PER_SECOND,
            TenantClients.BURST_SIZE,
            TenantClients.QUOTA.windowMicros(),
            TenantClients.QUOTA.excess(),
            TenantClients.QUOTA.slack()));
    assertEquals(List.of(), cluster.checker.violations, cluster::recentEvents);
  }

  @Test
  void tenantWithinItsQuotaIsServedThroughATakeover() {
    SimulatedCluster cluster = founded(211, 5, 2);
    cluster.operator.change(() -> {});
    cluster.world.run(4 * SECOND_MICROS);
    cluster.workload.startTenants();
    cluster.world.run(5 * SECOND_MICROS);
    int before = cluster.checker.quotaRuns();
    assertTrue(
        before > 5 * TenantClients.RATE_PER_SECOND, "the whole quota is to be had: " + before);
    cluster.primary().kill();
    cluster.world.run(4 * SECOND_MICROS);
    int through = cluster.checker.quotaRuns() - before;
    assertTrue(
        through > 2 * TenantClients.RATE_PER_SECOND,
        "only " + through + " runs in four seconds around a takeover");
  }

  /** Owners follow each other faster than what the ones before lent expires. */
  @Test
  void quotaHoldsThroughOneTakeoverAfterAnother() {
    for (long seed = 221; seed <= 224; seed++) {
      SimulatedCluster cluster = founded(seed, 5, 2);
      cluster.operator.change(() -> {});
      cluster.world.run(4 * SECOND_MICROS);
      cluster.workload.startTenants();
      cluster.world.run(2 * SECOND_MICROS);
      for (int i = 0; i < 4; i++) {
        SimulatedNode leader = cluster.primary();
        if (leader != null) {
          leader.kill();
          cluster.world.run(300_000);
          leader.start();
        }
        cluster.world.run(3_700_000);
      }
      cluster.world.run(3 * SECOND_MICROS);
      assertTrue(cluster.checker.quotaRuns() > 200, "only " + cluster.checker.quotaRuns());
      cluster.checker.checkQuota(
          new InvariantChecker.QuotaBound(
              TenantClients.RATE_PER_SECOND,
              TenantClients.BURST_SIZE,
              TenantClients.QUOTA.windowMicros(),
              TenantClients.QUOTA.excess(),
              TenantClients.QUOTA.slack()));
      assertEquals(List.of(), cluster.checker.violations, cluster::recentEvents);
    }
  }

  /** Notices freshness that is counted from the answer instead of from the asking. */
  @Test
  void nodeThatWakesWithAnOldAnswerInHandTrustsNoKeys() {
    // Some of these moments are just before an answer comes, which is then the first thing found on
    // waking.
    for (long moment = 0; moment < 800_000; moment += 25_000) {
      wakeWithAnOldAnswer(moment);
    }
  }

  private static void wakeWithAnOldAnswer(long moment) {
    SimulatedCluster cluster = founded(225, 5, 2);
    cluster.operator.change(() -> {});
    cluster.world.run(SECOND_MICROS + moment);
    SimulatedNode n = cluster.node("n3:1");
    cluster.workload.tenants.admit(n);
    int before = cluster.checker.accessKeyUses;
    assertTrue(before > 0);
    n.freeze();
    cluster.world.run(SECOND_MICROS);
    for (int i = 0; i < 2; i++) {
      cluster.operator.change(() -> {});
      cluster.world.run(SECOND_MICROS);
    }
    cluster.world.run(7 * SECOND_MICROS);
    n.perform(() -> cluster.workload.tenants.admit(n));
    n.resume();
    assertEquals(
        before, cluster.checker.accessKeyUses, "it has heard nothing since before it was frozen");
    assertEquals(List.of(), cluster.checker.violations, cluster::recentEvents);
  }

  /** A cut-off node must not serve keys for long, nor refuse them too soon. */
  @Test
  void nodeCutOffTrustsItsKeysForAWhileOnly() {
    SimulatedCluster cluster = founded(212, 5, 2);
    cluster.operator.change(() -> {});
    cluster.world.run(SECOND_MICROS);
    SimulatedNode n = cluster.node("n3:1");
    cluster.world.network.isolate(n.address);
    cluster.world.run(3 * SECOND_MICROS);
    assertTrue(cluster.world.now() - n.agent.freshAt() < TenantClients.REVOCATION_DELAY_MICROS);
    cluster.world.run(3 * SECOND_MICROS);
    assertTrue(cluster.world.now() - n.agent.freshAt() > TenantClients.REVOCATION_DELAY_MICROS);
    cluster.world.network.heal();
    cluster.world.run(3 * SECOND_MICROS);
    assertTrue(cluster.world.now() - n.agent.freshAt() < 2 * SECOND_MICROS);
  }

  private static void randomFaults(SimulatedCluster cluster, int atOnce) {
    cluster.workload.start();
    for (int round = 0; round < 8; round++) {
      List<SimulatedNode> victims = new ArrayList<>(cluster.coreNodes);
      Collections.shuffle(victims, cluster.world.random);
      SimulatedNode leader = cluster.primary();
      if (leader != null && cluster.world.random.nextBoolean()) {
        victims.remove(leader);
        victims.add(0, leader);
      }
      victims = victims.subList(0, atOnce);
      for (SimulatedNode victim : victims) {
        int what = cluster.world.random.nextInt(9);
        cluster.world.logEvent(
            "test", "round=" + round + " victim=" + victim.address + " what=" + what);
        strike(cluster, victim, what);
      }
      cluster.world.run(SECOND_MICROS + cluster.world.random.nextInt(4_000_000));
      cluster.world.network.heal();
      cluster.world.network.lossProbability = 0;
      victims.forEach(
          v -> {
            v.resume();
            v.disk.stalled = false;
            v.disk.failsWrites = false;
          });
      cluster.nodes.forEach(SimulatedNode::start);
      cluster.world.run(6 * SECOND_MICROS);
    }
    assertTrue(cluster.checker.keyGrants > 200, "too few keys ran for the test to mean anything");
    settles(cluster, 5 * SECOND_MICROS);
  }

  private static void strike(SimulatedCluster cluster, SimulatedNode victim, int what) {
    switch (what) {
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
      case 7 ->
          cluster.nodes.forEach(
              n -> {
                if (cluster.world.random.nextInt(4) > 0) {
                  n.losePower();
                }
              });
      default -> cluster.world.network.lossProbability = 0.05;
    }
  }

  /**
   * The worst that must be borne: right after an acknowledgement two disks are gone and all others
   * lose power.
   */
  @Test
  void acknowledgedChangeOutlivesTwoWipesWhileAllOthersLosePower() {
    for (long seed = 131; seed <= 146; seed++) {
      SimulatedCluster cluster = founded(seed, seed % 2 == 0 ? 5 : 8, 2);
      cluster.workload.start();
      cluster.world.run(2 * SECOND_MICROS + cluster.world.random.nextInt(1_000_000));
      List<SimulatedNode> group =
          new ArrayList<>(
              cluster.coreNodes.stream()
                  .filter(d -> cluster.primary().agent.known().inGroup(d.disk.id))
                  .toList());
      assertEquals(3, group.size());
      Collections.shuffle(group, cluster.world.random);
      cluster.nodes.forEach(SimulatedNode::losePower);
      group.subList(0, 2).forEach(d -> d.disk.wipe());
      cluster.world.run(SECOND_MICROS);
      settles(cluster, 8 * SECOND_MICROS);
    }
  }

  @Test
  void acknowledgedChangeOutlivesTheWipeOfWhoeverAcknowledgedIt() {
    for (long seed = 31; seed <= 40; seed++) {
      SimulatedCluster cluster = founded(seed);
      cluster.operator.change(() -> {});
      cluster.world.run(SECOND_MICROS);
      long newest = cluster.checker.newestAcknowledged();
      assertTrue(newest > 0);
      SimulatedNode leader = cluster.primary();
      leader.losePower();
      leader.disk.wipe();
      cluster.world.run(2 * SECOND_MICROS);
      leader.start();
      settles(cluster, 5 * SECOND_MICROS);
    }
  }

  @Test
  void nodesServeAgainWithinASecondOfTheLastStartAfterAllProcessesWereKilled() {
    for (long seed = 81; seed <= 90; seed++) {
      SimulatedCluster cluster = founded(seed);
      cluster
          .nodes
          .get(4)
          .agent
          .beat(SimulatedCluster.worker("w1", WorkerState.IN_SERVICE, 1), ok -> {});
      cluster.operator.change(() -> {});
      cluster.world.run(2 * SECOND_MICROS);
      cluster.nodes.forEach(SimulatedNode::kill);
      cluster.world.run(800_000);
      // Those without a disk are up first, and poll a primary that does not listen yet.
      cluster.nodes.forEach(
          n ->
              cluster.world.schedule(
                  n.disk == null
                      ? cluster.world.random.nextInt(50_000)
                      : 100_000 + cluster.world.random.nextInt(100_000),
                  n::start));
      cluster.world.run(900_000);
      for (SimulatedNode n : cluster.nodes) {
        assertTrue(
            n.agent.revision() > 0,
            () -> n.address + " has no configuration\n" + cluster.recentEvents());
        assertTrue(
            cluster.world.now() - n.agent.freshAt() < SECOND_MICROS,
            () ->
                n.address
                    + " trusts no keys "
                    + (cluster.world.now() - n.agent.freshAt())
                    + "\n"
                    + cluster.recentEvents());
        assertEquals(WorkerState.IN_SERVICE, n.workers.get("w1").state(), n.address);
      }
      settles(cluster, 3 * SECOND_MICROS);
    }
  }

  @Test
  void stalledDiskOfEitherOfThePairIsReplacedWhileItsProcessStillAnswers() {
    for (boolean ofPrimary : new boolean[] {true, false}) {
      SimulatedCluster cluster = founded(ofPrimary ? 91 : 92);
      cluster.workload.start();
      cluster.world.run(2 * SECOND_MICROS);
      SimulatedNode leader = cluster.primary();
      String backup = leader.agent.known().backups().get(0).address();
      SimulatedNode stalled = ofPrimary ? leader : cluster.node(backup);
      stalled.disk.stalled = true;
      cluster.world.run(2 * SECOND_MICROS);
      int before = cluster.checker.keyGrants;
      cluster.world.run(SECOND_MICROS);
      assertTrue(
          cluster.checker.keyGrants > before + 10,
          () -> "claims wait for a stalled disk\n" + cluster.recentEvents());
      assertFalse(cluster.primary().agent.known().inGroup(stalled.disk.id));
      stalled.disk.stalled = false;
      settles(cluster, 5 * SECOND_MICROS);
    }
  }

  @Test
  void coreComesBackWhenAllPowerIsLost() {
    for (long seed = 41; seed <= 48; seed++) {
      SimulatedCluster cluster = founded(seed);
      cluster.workload.start();
      cluster.world.run(4 * SECOND_MICROS);
      cluster.nodes.forEach(SimulatedNode::losePower);
      cluster.world.run(SECOND_MICROS);
      settles(cluster, 6 * SECOND_MICROS);
    }
  }

  @Test
  void replacedCoreMachineIsTakenInAndTheOldOnePutOut() {
    SimulatedCluster cluster = founded(51);
    cluster.workload.start();
    cluster.world.run(2 * SECOND_MICROS);
    SimulatedNode gone = cluster.primary();
    gone.losePower();
    cluster.nodes.remove(gone);
    cluster.coreNodes.remove(gone);
    cluster.world.network.detach(gone.address);
    cluster.world.run(2_400_000);
    SimulatedNode fresh = cluster.add("d9:1", true);
    fresh.startWithoutBootstrap();
    cluster.world.run(6 * SECOND_MICROS);
    assertTrue(cluster.primary().agent.known().hasMember(fresh.disk.id), cluster::recentEvents);
    assertFalse(cluster.primary().agent.known().hasMember(gone.disk.id), cluster::recentEvents);
    settles(cluster, 2 * SECOND_MICROS);
  }

  @Test
  void drainingIsAcknowledgedOnlyOnceEveryNodeHasIt() {
    SimulatedCluster cluster = founded(61);
    SimulatedNode teller = cluster.node("n3:1");
    teller.agent.beat(SimulatedCluster.worker("w1", WorkerState.IN_SERVICE, 1), ok -> {});
    cluster.world.run(SECOND_MICROS);
    cluster.nodes.forEach(n -> assertEquals(WorkerState.IN_SERVICE, n.workers.get("w1").state()));
    boolean[] told = {false};
    teller.agent.beat(
        SimulatedCluster.worker("w1", WorkerState.DRAINING, 2),
        ok -> {
          told[0] = ok;
          cluster.nodes.forEach(
              n -> assertEquals(WorkerState.DRAINING, n.workers.get("w1").state(), n.address));
        });
    cluster.world.run(SECOND_MICROS);
    assertTrue(told[0]);
  }

  @Test
  void newPrimaryLearnsTheWorkersFromThoseWhoWereToldFirst() {
    SimulatedCluster cluster = founded(62);
    for (int i = 0; i < 5; i++) {
      cluster
          .node("n" + (1 + i % 4) + ":1")
          .agent
          .beat(SimulatedCluster.worker("w" + i, WorkerState.IN_SERVICE, 1), ok -> {});
    }
    cluster.world.run(SECOND_MICROS);
    cluster.primary().kill();
    cluster.world.run(2_500_000);
    assertNotNull(cluster.primary());
    for (SimulatedNode n : cluster.nodes) {
      if (n.isRunning()) {
        assertEquals(
            5,
            n.workers.values().stream().filter(w -> w.state() == WorkerState.IN_SERVICE).count(),
            n.address);
      }
    }
  }

  @Test
  void checkerNoticesADiskThatAnswersBeforeItHasSynced() {
    int noticed = 0;
    for (long seed = 71; seed <= 76; seed++) {
      SimulatedCluster cluster = founded(seed);
      cluster.coreNodes.forEach(d -> d.disk.acknowledgesBeforeSync = true);
      cluster.workload.start();
      cluster.world.run(4 * SECOND_MICROS);
      cluster.nodes.forEach(SimulatedNode::losePower);
      cluster.coreNodes.forEach(d -> d.disk.acknowledgesBeforeSync = false);
      cluster.world.run(SECOND_MICROS);
      cluster.nodes.forEach(SimulatedNode::start);
      cluster.world.run(8 * SECOND_MICROS);
      noticed += cluster.checker.violations.isEmpty() ? 0 : 1;
    }
    assertTrue(noticed >= 5, "only " + noticed + " of 6 losses were noticed");
  }
}
