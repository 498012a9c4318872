package org.otterpond.control.epoch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.otterpond.control.state.CoreMember;
import org.otterpond.protocol.WireRecord;

/**
 * A large state reaches the backups of a new epoch, whole or not at all, however narrow the link
 * is.
 */
class SnapshotTransferTest {
  private static final long S = 1_000_000;

  private static String tail(BandwidthLimitedCore c) {
    return String.join("\n", c.log.subList(Math.max(0, c.log.size() - 30), c.log.size()));
  }

  @ParameterizedTest
  @CsvSource({"100, 100000, 1", "100, 100000, 2", "10, 20000, 1", "2, 10000, 2", "1000, 100000, 2"})
  void epochBeginsHoweverLongTheCopyTakes(double megabits, int claims, int faults) {
    BandwidthLimitedCore c = new BandwidthLimitedCore(2 * faults + 1, faults, 1000);
    c.claims(claims);
    c.megabits(megabits);
    BandwidthLimitedCore.Member former = c.leader();
    long epoch = former.watch.record().epoch();
    former.kill();
    long took = c.untilEpochAfter(epoch, 29 * S);
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
            + c.pieces);
    assertTrue(took > 0, () -> tail(c));
    for (CoreMember b : c.leader().watch.record().backups()) {
      assertEquals(claims, c.members.get(b.address()).claims());
    }
  }

  /**
   * Two members are all that is left of three: the one backup there can be gets a part of the copy
   * and dies.
   */
  @Test
  void memberWithPartOfSnapshotKeepsItsStateAndNeverLeads() {
    BandwidthLimitedCore c = new BandwidthLimitedCore(3, 1, 1000);
    c.claims(20_000);
    c.megabits(5);
    BandwidthLimitedCore.Member primary = c.leader();
    BandwidthLimitedCore.Member other = c.members.get("m3");
    assertEquals(
        List.of("m2"), primary.watch.record().backups().stream().map(CoreMember::address).toList());
    long epoch = primary.watch.record().epoch();
    c.members.get("m2").kill();
    c.run(1_200 * 1000);
    assertTrue(
        c.pieces > 10 && other.journal.stream().allMatch(b -> b.length < 1_000), () -> tail(c));
    primary.kill();
    other.kill();
    c.run(S);
    other.start();
    assertEquals(0, other.claims());
    c.members.get("m2").start();
    assertTrue(c.untilEpochAfter(epoch, 20 * S) > 0, () -> tail(c));
    assertEquals("m2", c.leader().member.address());
    assertEquals(20_000, c.members.get("m3").claims());
  }

  @Test
  void missingPieceIsSentAgainAndNothingAfterItIsTaken() {
    BandwidthLimitedCore c = new BandwidthLimitedCore(3, 1, 100);
    c.claims(20_000);
    long epoch = c.leader().watch.record().epoch();
    int[] drops = {3};
    c.lost = (to, f) -> f.kind().equals("snappiece") && f.number("piece") == 5 && drops[0]-- > 0;
    c.members.get("m2").kill();
    assertTrue(c.untilEpochAfter(epoch, 8 * S) > 0, () -> tail(c));
    assertEquals(20_000, c.members.get("m3").claims());
  }

  /** The word that the state is held is lost: it is said again, and the state is taken once. */
  @Test
  void lostWordOfAnInstalledSnapshotIsSaidAgain() {
    BandwidthLimitedCore c = new BandwidthLimitedCore(3, 1, 100);
    c.claims(2_000);
    long epoch = c.leader().watch.record().epoch();
    int[] drops = {1};
    c.lost = (to, f) -> f.kind().equals("snapok") && drops[0]-- > 0;
    c.members.get("m2").kill();
    assertTrue(c.untilEpochAfter(epoch, 3 * S) > 0, () -> tail(c));
    assertEquals(1, c.members.get("m3").journal.stream().filter(b -> b.length > 10_000).count());
    assertEquals(
        1,
        c.log.stream()
            .filter(l -> l.contains("event=candidacy ") && l.contains("base=" + epoch))
            .count(),
        () -> tail(c));
  }

  @Test
  void piecesOfTwoSnapshotsAreNeverPutTogether() {
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

  /**
   * What is open or on its way when a member of the group is lost is part of the state that is
   * copied.
   */
  @Test
  void snapshotHasItsTail() {
    BandwidthLimitedCore c = new BandwidthLimitedCore(3, 1, 1000);
    c.claims(100);
    BandwidthLimitedCore.Member primary = c.leader();
    long epoch = primary.watch.record().epoch();
    c.members.get("m2").kill();
    int[] committed = {0};
    for (int i = 0; i < 7; i++) {
      // The first goes to the lost backup in vain, the others wait for it in the open batch.
      primary.watch.propose(
          new WireRecord("claim").with("key", "tail" + i).with("token", "t").with("holder", "m1"),
          () -> committed[0]++);
      c.run(10_000);
    }
    assertTrue(c.untilEpochAfter(epoch, 3 * S) > 0, () -> tail(c));
    assertEquals(7, committed[0]);
    assertEquals("m1", c.leader().member.address());
    long second = c.leader().watch.record().epoch();
    primary.kill();
    c.members.get("m2").start();
    assertTrue(c.untilEpochAfter(second, 5 * S) > 0, () -> tail(c));
    assertEquals("m3", c.leader().member.address());
    assertEquals(107, c.leader().claims());
  }
}
