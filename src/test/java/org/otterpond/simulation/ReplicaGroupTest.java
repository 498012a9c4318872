package org.otterpond.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.otterpond.protocol.WireRecord;
import org.otterpond.replication.GroupConfiguration;
import org.otterpond.replication.ReplicaGroupTimeouts;

/**
 * One replica group under faults: one history, at most one serving primary, no acknowledged update
 * lost. Deliberate defects show that the checker detects violations.
 */
class ReplicaGroupTest {
  private static final long SECOND_MICROS = 1_000_000;

  private static void injectFaultsAndSettle(SimulatedReplicaGroup group) {
    List<SimulatedReplica> members = new ArrayList<>(group.members.values());
    for (int i = 0; i < 8; i++) {
      SimulatedReplica member = members.get(group.world.random.nextInt(members.size()));
      switch (group.world.random.nextInt(6)) {
        case 0 -> member.kill(false);
        case 1 -> member.kill(true);
        case 2 -> member.frozen = member.isRunning();
        case 3 -> group.partition(member.name, false);
        case 4 -> group.partition(member.name, true);
        default -> member.slowDisk = true;
      }
      group.world.network.lossProbability = group.world.random.nextInt(3) == 0 ? 0.05 : 0;
      group.world.run(300_000 + group.world.random.nextInt(2_500_000));
      group.heal();
      members.forEach(
          other -> {
            other.slowDisk = false;
            other.thaw();
            other.start();
          });
      group.world.run(group.world.random.nextInt(2_000_000));
    }
    group.settle();
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
  void givenRandomFaults_whenGroupSettles_thenAllReplicasHaveOneHistory(long seed) {
    SimulatedReplicaGroup group = new SimulatedReplicaGroup(seed, seed % 2 == 0 ? 3 : 4);
    group.world.run(2 * SECOND_MICROS);
    injectFaultsAndSettle(group);
    assertEquals(
        List.of(), group.checker.violations, () -> String.join("\n", group.world.eventLog));
    assertTrue(
        group.checker.acknowledgedUpdates() > 500 && group.checker.queries() > 500,
        group.checker.acknowledgedUpdates() + " updates, " + group.checker.queries() + " queries");
  }

  @Test
  void givenNoFaults_whenUpdatesRun_thenAllAreAcknowledgedAfterOneReconciliation() {
    SimulatedReplicaGroup group = new SimulatedReplicaGroup(101, 3);
    group.world.run(4 * SECOND_MICROS);
    group.settle();
    assertEquals(List.of(), group.checker.violations);
    assertTrue(
        group.checker.acknowledgedUpdates() > 1_000,
        group.checker.acknowledgedUpdates() + " updates");
    assertTrue(
        group.world.eventLog.stream().filter(l -> l.contains("group_reconciled")).count() <= 2);
  }

  private interface Defect {
    void introduceInto(SimulatedReplicaGroup group);
  }

  private static int seedsWithViolation(Defect defect) {
    int violations = 0;
    for (long seed = 201; seed <= 216; seed++) {
      SimulatedReplicaGroup group = new SimulatedReplicaGroup(seed, 3);
      defect.introduceInto(group);
      group.world.run(2 * SECOND_MICROS);
      injectFaultsAndSettle(group);
      violations += group.checker.violations.isEmpty() ? 0 : 1;
    }
    return violations;
  }

  @Test
  void givenManagerThatInstallsAnyVersion_whenFaultsAreInjected_thenViolationIsDetected() {
    assertTrue(seedsWithViolation(group -> group.managerTakesAnyVersion = true) > 0);
  }

  /** A primary that resumes after a pause must not take old acknowledgements for new ones. */
  @Test
  void givenLeaseCountedFromTheAnswer_whenPrimaryResumes_thenTwoPrimariesServe() {
    assertEquals(0, resumedPrimariesServingBesideAnother(false));
    assertTrue(resumedPrimariesServingBesideAnother(true) > 0);
  }

  private static int resumedPrimariesServingBesideAnother(boolean leaseFromTheAnswer) {
    int violations = 0;
    for (long seed = 401; seed <= 520; seed++) {
      SimulatedReplicaGroup group = new SimulatedReplicaGroup(seed, 3);
      group.leaseFromTheAnswer = leaseFromTheAnswer;
      group.world.run(SECOND_MICROS + group.world.random.nextInt(50_000));
      SimulatedReplica first = group.members.values().iterator().next();
      first.frozen = true;
      group.world.run(900_000 + group.world.random.nextInt(200_000));
      first.thaw();
      group.world.run(100_000);
      violations += group.checker.violations.isEmpty() ? 0 : 1;
    }
    return violations;
  }

  @Test
  void givenDisksThatAnswerBeforeWriting_whenAllLosePower_thenLossIsDetected() {
    SimulatedReplicaGroup group = new SimulatedReplicaGroup(301, 3);
    group.disksLie = true;
    group.world.run(2 * SECOND_MICROS);
    group.members.values().forEach(m -> m.kill(true));
    group.settle();
    assertTrue(
        group.checker.violations.stream()
            .anyMatch(b -> b.contains("lacks") || b.contains("serve in the end")));
  }

  @ParameterizedTest
  @ValueSource(longs = {31, 32, 33, 34})
  void givenRunningGroup_whenAllLosePower_thenNoAcknowledgedUpdateIsLost(long seed) {
    SimulatedReplicaGroup group = new SimulatedReplicaGroup(seed, 3);
    group.world.run(2 * SECOND_MICROS + group.world.random.nextInt(100_000));
    group.members.values().forEach(m -> m.kill(true));
    group.world.run(SECOND_MICROS);
    group.settle();
    assertEquals(
        List.of(), group.checker.violations, () -> String.join("\n", group.world.eventLog));
  }

  /**
   * The manager's update of the wanted members is newer than what an answer or another member
   * reports of the same version.
   */
  @Test
  void givenNewerWantedMembers_whenOldReportOfSameVersionArrives_thenWantedMembersStay() {
    SimulatedReplicaGroup group = new SimulatedReplicaGroup(35, 3);
    group.world.run(2 * SECOND_MICROS);
    for (SimulatedReplica member : group.members.values()) {
      GroupConfiguration reported = member.group().view();
      List<String> wanted = List.of(reported.primary(), "newcomer@x:1");
      member.group().learn(reported.withWantedMembers(wanted));
      member
          .group()
          .onMessage(
              reported.primary(),
              new WireRecord("group.view")
                  .with("group", reported.group())
                  .with("view", reported.toWireRecord("view")));
      assertEquals(wanted, member.group().view().wanted());
    }
  }

  @Test
  void givenTimesThatBreakTheLease_whenCreated_thenTheyAreRejected() {
    assertThrows(
        IllegalArgumentException.class,
        () -> new ReplicaGroupTimeouts(100_000, 500_000, 505_000, 1, 1));
    assertThrows(
        IllegalArgumentException.class,
        () -> new ReplicaGroupTimeouts(200_000, 500_000, 600_000, 1, 1));
  }
}
