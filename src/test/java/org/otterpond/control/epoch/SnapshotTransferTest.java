package org.otterpond.control.epoch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.otterpond.control.epoch.message.FormerAuthority;
import org.otterpond.control.state.CoreMember;
import org.otterpond.control.state.FaultTolerance;
import org.otterpond.control.state.ReplicatedState;
import org.otterpond.protocol.WireRecord;

/**
 * A large state reaches the backups of a new epoch completely or not at all, also on slow links.
 */
class SnapshotTransferTest {
  private static final long SECOND_MICROS = 1_000_000;

  private static String tail(BandwidthLimitedCore core) {
    return String.join("\n", core.log.subList(Math.max(0, core.log.size() - 30), core.log.size()));
  }

  @ParameterizedTest
  @CsvSource({"100, 100000, 1", "100, 100000, 2", "10, 20000, 1", "2, 10000, 2", "1000, 100000, 2"})
  void givenSlowLinks_whenPrimaryIsLost_thenEpochBeginsWithWholeState(
      double megabits, int claims, int faults) {
    BandwidthLimitedCore core = new BandwidthLimitedCore(2 * faults + 1, faults, 1000);
    core.lockKeys(claims);
    core.setMegabitsPerSecond(megabits);
    BandwidthLimitedCore.Member former = core.leader();
    long epoch = former.replica.record().epoch();
    former.kill();
    long took = core.untilEpochAfter(epoch, 29 * SECOND_MICROS);
    System.out.println(
        "copied megabits="
            + megabits
            + " claims="
            + claims
            + " faults="
            + faults
            + " took_ms="
            + took / 1000
            + " pieces="
            + core.sentChunks);
    assertTrue(took > 0, () -> tail(core));
    for (CoreMember b : core.leader().replica.record().backups()) {
      assertEquals(claims, core.members.get(b.address()).lockedKeys());
    }
  }

  /**
   * Two members are all that is left of three: the one backup there can be gets a part of the copy
   * and dies.
   */
  @Test
  void givenPartOfSnapshot_whenItsSenderEnds_thenMemberKeepsItsStateAndIsNotPrimary() {
    BandwidthLimitedCore core = new BandwidthLimitedCore(3, 1, 1000);
    core.lockKeys(20_000);
    core.setMegabitsPerSecond(5);
    BandwidthLimitedCore.Member primary = core.leader();
    final BandwidthLimitedCore.Member other = core.members.get("m3");
    assertEquals(
        List.of("m2"),
        primary.replica.record().backups().stream().map(CoreMember::address).toList());
    final long epoch = primary.replica.record().epoch();
    core.members.get("m2").kill();
    core.run(1_200 * 1000);
    assertTrue(
        core.sentChunks > 10 && other.journal.stream().allMatch(b -> b.length < 1_000),
        () -> tail(core));
    primary.kill();
    other.kill();
    core.run(SECOND_MICROS);
    other.start();
    assertEquals(0, other.lockedKeys());
    core.members.get("m2").start();
    assertTrue(core.untilEpochAfter(epoch, 20 * SECOND_MICROS) > 0, () -> tail(core));
    assertEquals("m2", core.leader().member.address());
    assertEquals(20_000, core.members.get("m3").lockedKeys());
  }

  @Test
  void givenLostChunk_whenReceiverIsSilent_thenItIsSentAgain() {
    BandwidthLimitedCore core = new BandwidthLimitedCore(3, 1, 100);
    core.lockKeys(20_000);
    long epoch = core.leader().replica.record().epoch();
    int[] drops = {3};
    core.isLost =
        (to, message) ->
            message.kind().equals("snappiece") && message.number("piece") == 5 && drops[0]-- > 0;
    core.members.get("m2").kill();
    assertTrue(core.untilEpochAfter(epoch, 8 * SECOND_MICROS) > 0, () -> tail(core));
    assertEquals(20_000, core.members.get("m3").lockedKeys());
  }

  /** The answer that the snapshot is installed is lost: it is sent again. */
  @Test
  void givenLostAnswer_whenSnapshotIsInstalled_thenItIsAnsweredAgainAndInstalledOnce() {
    BandwidthLimitedCore core = new BandwidthLimitedCore(3, 1, 100);
    core.lockKeys(2_000);
    long epoch = core.leader().replica.record().epoch();
    int[] drops = {1};
    core.isLost = (to, message) -> message.kind().equals("snapok") && drops[0]-- > 0;
    core.members.get("m2").kill();
    assertTrue(core.untilEpochAfter(epoch, 3 * SECOND_MICROS) > 0, () -> tail(core));
    assertEquals(1, core.members.get("m3").journal.stream().filter(b -> b.length > 10_000).count());
    assertEquals(
        1,
        core.log.stream()
            .filter(l -> l.contains("event=candidacy ") && l.contains("base=" + epoch))
            .count(),
        () -> tail(core));
  }

  @Test
  void givenChunks_whenReceived_thenEachIsTakenOnceAndInOrder() {
    WireRecord state = new WireRecord("state").with("text", "x".repeat(10));
    SnapshotSender a = new SnapshotSender(1, state);
    SnapshotReceiver r = new SnapshotReceiver(1);
    assertEquals(1, r.receive(a.nextChunks("d", 0).get(0)));
    assertTrue(r.isComplete());
    assertFalse(r.isFor(2));
    assertEquals(
        1, r.receive(a.chunksToResend("d", 10, 5).get(0)), "a chunk that came twice is taken once");
    assertFalse(a.acknowledged("d", 2, 1, 20));
    assertTrue(a.acknowledged("d", 1, 1, 20));
    assertFalse(new SnapshotReceiver(1).isComplete(), "nothing is not a complete snapshot");
  }

  @Test
  void givenTwoBackups_whenOneHasInstalled_thenTransferIsNotComplete() {
    CoreMember self = new CoreMember("disk1", "m1", "m1", "z");
    CoreMember second = new CoreMember("disk2", "m2", "m2", "z");
    CoreMember third = new CoreMember("disk3", "m3", "m3", "z");
    EpochContext context =
        new EpochContext(
            new ManualRuntime(),
            EpochTimeouts.standard(),
            self,
            new ReplicatedState(60 * SECOND_MICROS),
            FaultTolerance.ofMachines(2));
    SnapshotTransfer transfer =
        new SnapshotTransfer(context, 64, List.of(second, third), new FormerAuthority(0, 0));
    transfer.installed(second.diskId());
    assertFalse(transfer.isComplete());
    transfer.installed(third.diskId());
    assertTrue(transfer.isComplete());
  }

  /** Entries that are open or in flight when a backup is lost are part of the snapshot. */
  @Test
  void givenOpenBatch_whenBackupIsLost_thenSnapshotContainsIt() {
    BandwidthLimitedCore core = new BandwidthLimitedCore(3, 1, 1000);
    core.lockKeys(100);
    BandwidthLimitedCore.Member primary = core.leader();
    long epoch = primary.replica.record().epoch();
    core.members.get("m2").kill();
    int[] committed = {0};
    for (int i = 0; i < 7; i++) {
      // The first goes to the lost backup in vain, the others wait for it in the open batch.
      primary.replica.propose(
          new WireRecord("claim").with("key", "tail" + i).with("token", "t").with("holder", "m1"),
          () -> committed[0]++);
      core.run(10_000);
    }
    assertTrue(core.untilEpochAfter(epoch, 3 * SECOND_MICROS) > 0, () -> tail(core));
    assertEquals(7, committed[0]);
    assertEquals("m1", core.leader().member.address());
    long second = core.leader().replica.record().epoch();
    primary.kill();
    core.members.get("m2").start();
    assertTrue(core.untilEpochAfter(second, 5 * SECOND_MICROS) > 0, () -> tail(core));
    assertEquals("m3", core.leader().member.address());
    assertEquals(107, core.leader().lockedKeys());
  }
}
