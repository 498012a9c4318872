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
  private static final long S = 1_000_000;

  private static SimulatedCluster founded(long seed) {
    return founded(seed, 4, 1);
  }

  private static SimulatedCluster founded(long seed, int disks, int faults) {
    SimulatedCluster f = new SimulatedCluster(seed, disks, 4, faults);
    f.world.run(9 * S);
    assertNotNull(f.leader(), () -> "no leader\n" + f.tail());
    return f;
  }

  /**
   * After all is well again: order, a change that is taken, and every node with the newest version.
   */
  private static void settles(SimulatedCluster f, long within) {
    f.world.heal();
    f.world.loss = 0;
    f.all.forEach(
        n -> {
          n.thaw();
          if (n.disk != null) {
            n.disk.stalled = false;
            n.disk.refusing = false;
          }
          n.start();
        });
    f.world.run(within);
    assertNotNull(f.leader(), () -> "no leader at the end\n" + f.tail());
    f.quietCallers();
    f.world.run(3 * S);
    int before = f.checker.acknowledgements;
    f.change(() -> {});
    f.world.run(3 * S);
    assertTrue(f.checker.acknowledgements > before, () -> "no change is taken\n" + f.tail());
    assertEquals(List.of(), f.checker.broken, () -> f.tail());
    long newest = f.checker.newestAcknowledged();
    for (SimulatedNode n : f.all) {
      if (n.up()) {
        assertEquals(newest, n.node.revision(), () -> n.address + " lags\n" + f.tail());
      }
    }
  }

  @Test
  void oneCoreIsFoundedThoughASeedDiesMeanwhile() {
    for (long seed = 1; seed <= 12; seed++) {
      SimulatedCluster f = new SimulatedCluster(seed, 4, 4, 1);
      SimulatedNode seedNode = f.world.nodes.get(seed % 2 == 0 ? "d1:1" : "n1:1");
      f.world.run(1_600_000 + f.world.random.nextInt(2_000_000));
      seedNode.kill();
      f.world.run(2 * S);
      seedNode.start();
      f.callers();
      f.world.run(12 * S);
      settles(f, 4 * S);
      long fleets = f.all.stream().map(n -> n.node.known().fleet()).distinct().count();
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
    SimulatedCluster f = founded(seed, seed % 2 == 0 ? 5 : 8, 2);
    f.tenants();
    randomFaults(f, 2);
    assertTrue(f.checker.countedRuns() > 500, "only " + f.checker.countedRuns() + " counted runs");
    assertTrue(f.checker.keyRuns > 1000, "only " + f.checker.keyRuns + " runs under keys");
    f.checker.checkQuota(
        SimulatedCluster.RATE,
        SimulatedCluster.BURST,
        SimulatedCluster.QUOTA.windowMicros(),
        SimulatedCluster.QUOTA.excess(),
        SimulatedCluster.QUOTA.slack());
    assertEquals(List.of(), f.checker.broken, () -> f.tail());
  }

  @Test
  void tenantWithinItsQuotaIsServedThroughATakeover() {
    SimulatedCluster f = founded(211, 5, 2);
    f.change(() -> {});
    f.world.run(4 * S);
    f.tenants();
    f.world.run(5 * S);
    int before = f.checker.countedRuns();
    assertTrue(before > 5 * SimulatedCluster.RATE, "the whole quota is to be had: " + before);
    f.leader().kill();
    f.world.run(4 * S);
    int through = f.checker.countedRuns() - before;
    assertTrue(
        through > 2 * SimulatedCluster.RATE,
        "only " + through + " runs in four seconds around a takeover");
  }

  /** Owners follow each other faster than what the ones before lent expires. */
  @Test
  void quotaHoldsThroughOneTakeoverAfterAnother() {
    for (long seed = 221; seed <= 224; seed++) {
      SimulatedCluster f = founded(seed, 5, 2);
      f.change(() -> {});
      f.world.run(4 * S);
      f.tenants();
      f.world.run(2 * S);
      for (int i = 0; i < 4; i++) {
        SimulatedNode leader = f.leader();
        if (leader != null) {
          leader.kill();
          f.world.run(300_000);
          leader.start();
        }
        f.world.run(3_700_000);
      }
      f.world.run(3 * S);
      assertTrue(f.checker.countedRuns() > 200, "only " + f.checker.countedRuns());
      f.checker.checkQuota(
          SimulatedCluster.RATE,
          SimulatedCluster.BURST,
          SimulatedCluster.QUOTA.windowMicros(),
          SimulatedCluster.QUOTA.excess(),
          SimulatedCluster.QUOTA.slack());
      assertEquals(List.of(), f.checker.broken, () -> f.tail());
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
    SimulatedCluster f = founded(225, 5, 2);
    f.change(() -> {});
    f.world.run(S + moment);
    SimulatedNode n = f.world.nodes.get("n3:1");
    f.admit(n);
    int before = f.checker.keyRuns;
    assertTrue(before > 0);
    n.freeze();
    f.world.run(S);
    for (int i = 0; i < 2; i++) {
      f.change(() -> {});
      f.world.run(S);
    }
    f.world.run(7 * S);
    n.perform(() -> f.admit(n));
    n.thaw();
    assertEquals(before, f.checker.keyRuns, "it has heard nothing since before it was frozen");
    assertEquals(List.of(), f.checker.broken, () -> f.tail());
  }

  /** A cut-off node must not serve keys for long, nor refuse them too soon. */
  @Test
  void nodeCutOffTrustsItsKeysForAWhileOnly() {
    SimulatedCluster f = founded(212, 5, 2);
    f.change(() -> {});
    f.world.run(S);
    SimulatedNode n = f.world.nodes.get("n3:1");
    f.world.cutOff(n.address);
    f.world.run(3 * S);
    assertTrue(f.world.now() - n.node.freshAt() < SimulatedCluster.REVOKE);
    f.world.run(3 * S);
    assertTrue(f.world.now() - n.node.freshAt() > SimulatedCluster.REVOKE);
    f.world.heal();
    f.world.run(3 * S);
    assertTrue(f.world.now() - n.node.freshAt() < 2 * S);
  }

  private static void randomFaults(SimulatedCluster f, int atOnce) {
    f.callers();
    for (int round = 0; round < 8; round++) {
      List<SimulatedNode> victims = new ArrayList<>(f.disks);
      Collections.shuffle(victims, f.world.random);
      SimulatedNode leader = f.leader();
      if (leader != null && f.world.random.nextBoolean()) {
        victims.remove(leader);
        victims.add(0, leader);
      }
      victims = victims.subList(0, atOnce);
      for (SimulatedNode victim : victims) {
        int what = f.world.random.nextInt(9);
        f.world.event("test", "round=" + round + " victim=" + victim.address + " what=" + what);
        strike(f, victim, what);
      }
      f.world.run(S + f.world.random.nextInt(4_000_000));
      f.world.heal();
      f.world.loss = 0;
      victims.forEach(
          v -> {
            v.thaw();
            v.disk.stalled = false;
            v.disk.refusing = false;
          });
      f.all.forEach(SimulatedNode::start);
      f.world.run(6 * S);
    }
    assertTrue(f.checker.grants > 200, "too few keys ran for the test to mean anything");
    settles(f, 5 * S);
  }

  private static void strike(SimulatedCluster f, SimulatedNode victim, int what) {
    switch (what) {
      case 0 -> victim.kill();
      case 1 -> victim.losePower();
      case 2 -> {
        victim.losePower();
        victim.disk.wipe();
      }
      case 3 -> victim.freeze();
      case 4 -> f.world.cutOff(victim.address);
      case 5 -> victim.disk.stalled = true;
      case 6 -> victim.disk.refusing = true;
      case 7 ->
          f.all.forEach(
              n -> {
                if (f.world.random.nextInt(4) > 0) {
                  n.losePower();
                }
              });
      default -> f.world.loss = 0.05;
    }
  }

  /**
   * The worst that must be borne: right after an acknowledgement two disks are gone and all others
   * lose power.
   */
  @Test
  void acknowledgedChangeOutlivesTwoWipesWhileAllOthersLosePower() {
    for (long seed = 131; seed <= 146; seed++) {
      SimulatedCluster f = founded(seed, seed % 2 == 0 ? 5 : 8, 2);
      f.callers();
      f.world.run(2 * S + f.world.random.nextInt(1_000_000));
      List<SimulatedNode> group =
          new ArrayList<>(
              f.disks.stream().filter(d -> f.leader().node.known().inGroup(d.disk.id)).toList());
      assertEquals(3, group.size());
      Collections.shuffle(group, f.world.random);
      f.all.forEach(SimulatedNode::losePower);
      group.subList(0, 2).forEach(d -> d.disk.wipe());
      f.world.run(S);
      settles(f, 8 * S);
    }
  }

  @Test
  void acknowledgedChangeOutlivesTheWipeOfWhoeverAcknowledgedIt() {
    for (long seed = 31; seed <= 40; seed++) {
      SimulatedCluster f = founded(seed);
      f.change(() -> {});
      f.world.run(S);
      long newest = f.checker.newestAcknowledged();
      assertTrue(newest > 0);
      SimulatedNode leader = f.leader();
      leader.losePower();
      leader.disk.wipe();
      f.world.run(2 * S);
      leader.start();
      settles(f, 5 * S);
    }
  }

  @Test
  void nodesServeAgainWithinASecondOfTheLastStartAfterAllProcessesWereKilled() {
    for (long seed = 81; seed <= 90; seed++) {
      SimulatedCluster f = founded(seed);
      f.all.get(4).node.beat(f.worker("w1", WorkerState.IN_SERVICE, 1), ok -> {});
      f.change(() -> {});
      f.world.run(2 * S);
      f.all.forEach(SimulatedNode::kill);
      f.world.run(800_000);
      // Those without a disk are up first, and poll a primary that does not listen yet.
      f.all.forEach(
          n ->
              f.world.at(
                  n.disk == null
                      ? f.world.random.nextInt(50_000)
                      : 100_000 + f.world.random.nextInt(100_000),
                  n::start));
      f.world.run(900_000);
      for (SimulatedNode n : f.all) {
        assertTrue(n.node.revision() > 0, () -> n.address + " has no configuration\n" + f.tail());
        assertTrue(
            f.world.now() - n.node.freshAt() < S,
            () ->
                n.address
                    + " trusts no keys "
                    + (f.world.now() - n.node.freshAt())
                    + "\n"
                    + f.tail());
        assertEquals(WorkerState.IN_SERVICE, n.workers.get("w1").state(), n.address);
      }
      settles(f, 3 * S);
    }
  }

  @Test
  void stalledDiskOfEitherOfThePairIsReplacedWhileItsProcessStillAnswers() {
    for (boolean ofPrimary : new boolean[] {true, false}) {
      SimulatedCluster f = founded(ofPrimary ? 91 : 92);
      f.callers();
      f.world.run(2 * S);
      SimulatedNode leader = f.leader();
      String backup = leader.node.known().backups().get(0).address();
      SimulatedNode stalled = ofPrimary ? leader : f.world.nodes.get(backup);
      stalled.disk.stalled = true;
      f.world.run(2 * S);
      int before = f.checker.grants;
      f.world.run(S);
      assertTrue(
          f.checker.grants > before + 10, () -> "claims wait for a stalled disk\n" + f.tail());
      assertFalse(f.leader().node.known().inGroup(stalled.disk.id));
      stalled.disk.stalled = false;
      settles(f, 5 * S);
    }
  }

  @Test
  void coreComesBackWhenAllPowerIsLost() {
    for (long seed = 41; seed <= 48; seed++) {
      SimulatedCluster f = founded(seed);
      f.callers();
      f.world.run(4 * S);
      f.all.forEach(SimulatedNode::losePower);
      f.world.run(S);
      settles(f, 6 * S);
    }
  }

  @Test
  void replacedCoreMachineIsTakenInAndTheOldOnePutOut() {
    SimulatedCluster f = founded(51);
    f.callers();
    f.world.run(2 * S);
    SimulatedNode gone = f.leader();
    gone.losePower();
    f.all.remove(gone);
    f.disks.remove(gone);
    f.world.nodes.remove(gone.address);
    f.world.run(2_400_000);
    SimulatedNode fresh = f.add("d9:1", true);
    fresh.joinLate();
    f.world.run(6 * S);
    assertTrue(f.leader().node.known().hasMember(fresh.disk.id), () -> f.tail());
    assertFalse(f.leader().node.known().hasMember(gone.disk.id), () -> f.tail());
    settles(f, 2 * S);
  }

  @Test
  void drainingIsAcknowledgedOnlyOnceEveryNodeHasIt() {
    SimulatedCluster f = founded(61);
    SimulatedNode teller = f.world.nodes.get("n3:1");
    teller.node.beat(f.worker("w1", WorkerState.IN_SERVICE, 1), ok -> {});
    f.world.run(S);
    f.all.forEach(n -> assertEquals(WorkerState.IN_SERVICE, n.workers.get("w1").state()));
    boolean[] told = {false};
    teller.node.beat(
        f.worker("w1", WorkerState.DRAINING, 2),
        ok -> {
          told[0] = ok;
          f.all.forEach(
              n -> assertEquals(WorkerState.DRAINING, n.workers.get("w1").state(), n.address));
        });
    f.world.run(S);
    assertTrue(told[0]);
  }

  @Test
  void newPrimaryLearnsTheWorkersFromThoseWhoWereToldFirst() {
    SimulatedCluster f = founded(62);
    for (int i = 0; i < 5; i++) {
      f.world
          .nodes
          .get("n" + (1 + i % 4) + ":1")
          .node
          .beat(f.worker("w" + i, WorkerState.IN_SERVICE, 1), ok -> {});
    }
    f.world.run(S);
    f.leader().kill();
    f.world.run(2_500_000);
    assertNotNull(f.leader());
    for (SimulatedNode n : f.all) {
      if (n.up()) {
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
      SimulatedCluster f = founded(seed);
      f.disks.forEach(d -> d.disk.lying = true);
      f.callers();
      f.world.run(4 * S);
      f.all.forEach(SimulatedNode::losePower);
      f.disks.forEach(d -> d.disk.lying = false);
      f.world.run(S);
      f.all.forEach(SimulatedNode::start);
      f.world.run(8 * S);
      noticed += f.checker.broken.isEmpty() ? 0 : 1;
    }
    assertTrue(noticed >= 5, "only " + noticed + " of 6 losses were noticed");
  }
}
