package org.otterpond.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.otterpond.protocol.WireRecord;

/**
 * Members that were away: how soon they hold what all hold, and that they never go on from what
 * they held before.
 */
class CatchUpTest {
  private static final long S = 1_000_000;

  private static SimulatedCluster founded(long seed, int disks, int faults) {
    SimulatedCluster f = new SimulatedCluster(seed, disks, 2, faults);
    f.world.run(9 * S);
    assertNotNull(f.leader(), () -> "no leader\n" + f.tail());
    return f;
  }

  private static SimulatedNode backup(SimulatedCluster f) {
    return f.world.nodes.get(f.leader().node.known().backups().get(0).address());
  }

  /** It has forgotten how far it had come, and says so at once: nobody waits for a time-out. */
  @Test
  void backupThatStartsAgainIsABackupAgainAtOnce() {
    for (long seed = 501; seed <= 510; seed++) {
      SimulatedCluster f = founded(seed, 4, 1);
      f.callers();
      f.world.run(2 * S);
      SimulatedNode b = backup(f);
      long epoch = f.leader().node.known().epoch();
      b.kill();
      f.world.run(1_000);
      b.start();
      f.world.run(250_000);
      assertTrue(f.leader() != null && f.leader().node.known().epoch() > epoch, () -> f.tail());
      int before = f.checker.grants;
      f.world.run(S);
      assertTrue(f.checker.grants > before + 20, () -> f.tail());
      assertEquals(List.of(), f.checker.broken, () -> f.tail());
    }
  }

  /**
   * A batch of the epoch that an earlier life may have had already is neither taken nor
   * acknowledged.
   */
  @Test
  void backupThatStartedAgainAcknowledgesNothingOfTheEpochThatItFollowed() {
    SimulatedCluster f = founded(521, 4, 1);
    f.change(() -> {});
    f.world.run(S);
    SimulatedNode b = backup(f);
    String leader = f.leader().address;
    long epoch = f.leader().node.known().epoch();
    b.kill();
    b.start();
    int records = b.disk.read().size();
    f.world.cut(leader, b.address);
    b.deliver(
        leader,
        new WireRecord("rep")
            .with("epoch", epoch)
            .with("seq", 1)
            .withRecords(
                "entries",
                List.of(
                    new WireRecord("claim")
                        .with("key", "old")
                        .with("token", "old")
                        .with("holder", "n1:1"))));
    f.world.run(100_000);
    assertEquals(records, b.disk.read().size());
  }

  /**
   * Six hundred changes and more, and all the while members are killed, lose power, are wiped,
   * replaced or cut off, up to two at a time. Whoever was away holds the newest version within the
   * time that is given for it.
   */
  @Test
  void memberThatWasAwayCatchesUpThroughHundredsOfChanges() {
    SimulatedCluster f = founded(531, 6, 2);
    f.callers();
    int fresh = 0;
    for (int turn = 0; f.checker.acknowledgements < 600; turn++) {
      assertTrue(turn < 200, () -> f.checker.acknowledgements + " changes\n" + f.tail());
      List<SimulatedNode> away = new ArrayList<>();
      for (int i = 0; i < 1 + turn % 2; i++) {
        SimulatedNode n =
            turn % 3 == 0 && i == 0 && f.leader() != null
                ? f.leader()
                : f.disks.get(f.world.random.nextInt(f.disks.size()));
        switch (f.world.random.nextInt(5)) {
          case 0 -> n.kill();
          case 1 -> n.losePower();
          case 2 -> {
            n.losePower();
            n.disk.wipe();
          }
          case 3 -> f.world.cutOff(n.address);
          default -> {
            n.losePower();
            f.all.remove(n);
            f.disks.remove(n);
            n = f.add("r" + ++fresh + ":1", true);
            f.disks.add(n);
          }
        }
        away.add(n);
      }
      f.world.run(f.world.random.nextInt(4) * S);
      f.world.heal();
      away.forEach(SimulatedNode::joinLate);
      // A change may be taken at any moment: what was newest a second ago is to be held by now.
      f.world.run(3 * S);
      long newest = f.checker.newestAcknowledged();
      f.world.run(S);
      for (SimulatedNode n : away) {
        assertTrue(
            n.node.revision() >= newest,
            () -> n.address + " holds " + n.node.revision() + " of " + newest + "\n" + f.tail());
      }
      assertEquals(List.of(), f.checker.broken, () -> f.tail());
      f.world.run(2 * S);
    }
  }
}
