package org.otterpond.control.primary;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.otterpond.control.epoch.ManualRuntime;
import org.otterpond.control.state.CoreMember;
import org.otterpond.control.state.EpochRecord;
import org.otterpond.control.state.FaultTolerance;

class CoreMembershipTest implements CoreMembership.Core {
  private final ManualRuntime runtime = new ManualRuntime();
  private final List<CoreMember> members = new ArrayList<>();
  private final Set<CoreMember> silent = new HashSet<>();
  private final List<CoreMembership.JoinCandidate> candidates = new ArrayList<>();
  private final CoreMembership membership =
      new CoreMembership(runtime, this, FaultTolerance.ofMachines(1));
  private boolean changesSucceed = true;
  private int changes;

  private static CoreMember member(int number) {
    return new CoreMember("disk" + number, "m" + number + ":1", "m" + number, "z" + number);
  }

  @BeforeEach
  void createCore() {
    for (int i = 1; i <= 3; i++) {
      members.add(member(i));
    }
  }

  @Override
  public EpochRecord record() {
    return new EpochRecord(
        "fleet", 1, members.get(0), List.of(members.get(1)), List.copyOf(members), 3);
  }

  @Override
  public boolean isSilent(CoreMember member, long micros) {
    return silent.contains(member);
  }

  @Override
  public boolean isLeaving(CoreMember member) {
    return false;
  }

  @Override
  public void changeMembers(List<CoreMember> changed) {
    changes++;
    if (changesSucceed) {
      members.clear();
      members.addAll(changed);
    }
  }

  private void join(CoreMember candidate) {
    candidates.add(new CoreMembership.JoinCandidate(candidate, runtime.now()));
  }

  private void run(int seconds) {
    for (int i = 0; i < 10 * seconds; i++) {
      runtime.run(100_000);
      membership.tick(candidates);
    }
  }

  @Test
  void givenDeadMember_whenNodeWithDiskIsThere_thenItReplacesTheMember() {
    silent.add(member(2));
    join(member(4));
    run(2);
    assertEquals(List.of(member(1), member(3), member(4)), members);
  }

  @Test
  void givenDeadMember_whenThereIsNoReplacement_thenItStays() {
    silent.add(member(2));
    run(5);
    assertEquals(3, members.size());
  }

  @Test
  void givenMemberWithAnotherDisk_whenItPolls_thenItsFormerDiskIsReplacedAtOnce() {
    CoreMember wiped = new CoreMember("disk9", "m3:1", "m3", "z3");
    join(wiped);
    membership.tick(candidates);
    assertEquals(List.of(member(1), member(2), wiped), members);
  }

  @Test
  void givenCandidateThatDoesNotBecomeMember_whenTimePasses_thenAttemptsGrowRare() {
    silent.add(member(2));
    join(member(4));
    changesSucceed = false;
    run(16);
    assertEquals(5, changes, "after 0.6 s, and 1, 2, 4 and 8 s after one another");
  }
}
