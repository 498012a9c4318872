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
  private static final long SECOND_MICROS = 1_000_000;

  private static SimulatedCluster founded(long seed, int disks, int faults) {
    SimulatedCluster cluster = new SimulatedCluster(seed, disks, 2, faults);
    cluster.world.run(9 * SECOND_MICROS);
    assertNotNull(cluster.primary(), () -> "no leader\n" + cluster.recentEvents());
    return cluster;
  }

  private static SimulatedNode backup(SimulatedCluster cluster) {
    return cluster.node(cluster.primary().agent.known().backups().get(0).address());
  }

  /** It has forgotten how far it had come, and says so at once: nobody waits for a time-out. */
  @Test
  void backupThatStartsAgainIsABackupAgainAtOnce() {
    for (long seed = 501; seed <= 510; seed++) {
      SimulatedCluster cluster = founded(seed, 4, 1);
      cluster.workload.start();
      cluster.world.run(2 * SECOND_MICROS);
      SimulatedNode b = backup(cluster);
      long epoch = cluster.primary().agent.known().epoch();
      b.kill();
      cluster.world.run(1_000);
      b.start();
      cluster.world.run(250_000);
      assertTrue(
          cluster.primary() != null && cluster.primary().agent.known().epoch() > epoch,
          cluster::recentEvents);
      int before = cluster.checker.keyGrants;
      cluster.world.run(SECOND_MICROS);
      assertTrue(cluster.checker.keyGrants > before + 20, cluster::recentEvents);
      assertEquals(List.of(), cluster.checker.violations, cluster::recentEvents);
    }
  }

  /**
   * A batch of the epoch that an earlier life may have had already is neither taken nor
   * acknowledged.
   */
  @Test
  void backupThatStartedAgainAcknowledgesNothingOfTheEpochThatItFollowed() {
    SimulatedCluster cluster = founded(521, 4, 1);
    cluster.operator.change(() -> {});
    cluster.world.run(SECOND_MICROS);
    SimulatedNode b = backup(cluster);
    String leader = cluster.primary().address;
    long epoch = cluster.primary().agent.known().epoch();
    b.kill();
    b.start();
    int records = b.disk.read().size();
    cluster.world.network.partition(leader, b.address);
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
    cluster.world.run(100_000);
    assertEquals(records, b.disk.read().size());
  }

  /**
   * Six hundred changes and more, and all the while members are killed, lose power, are wiped,
   * replaced or cut off, up to two at a time. Whoever was away holds the newest version within the
   * time that is given for it.
   */
  @Test
  void memberThatWasAwayCatchesUpThroughHundredsOfChanges() {
    SimulatedCluster cluster = founded(531, 6, 2);
    cluster.workload.start();
    int fresh = 0;
    for (int turn = 0; cluster.checker.acknowledgements < 600; turn++) {
      assertTrue(
          turn < 200,
          () -> cluster.checker.acknowledgements + " changes\n" + cluster.recentEvents());
      List<SimulatedNode> away = new ArrayList<>();
      for (int i = 0; i < 1 + turn % 2; i++) {
        SimulatedNode n =
            turn % 3 == 0 && i == 0 && cluster.primary() != null
                ? cluster.primary()
                : cluster.coreNodes.get(cluster.world.random.nextInt(cluster.coreNodes.size()));
        switch (cluster.world.random.nextInt(5)) {
          case 0 -> n.kill();
          case 1 -> n.losePower();
          case 2 -> {
            n.losePower();
            n.disk.wipe();
          }
          case 3 -> cluster.world.network.isolate(n.address);
          default -> {
            n.losePower();
            cluster.nodes.remove(n);
            cluster.coreNodes.remove(n);
            n = cluster.add("r" + ++fresh + ":1", true);
            cluster.coreNodes.add(n);
          }
        }
        away.add(n);
      }
      cluster.world.run(cluster.world.random.nextInt(4) * SECOND_MICROS);
      cluster.world.network.heal();
      away.forEach(SimulatedNode::startWithoutBootstrap);
      // A change may be taken at any moment: what was newest a second ago is to be held by now.
      cluster.world.run(3 * SECOND_MICROS);
      long newest = cluster.checker.newestAcknowledged();
      cluster.world.run(SECOND_MICROS);
      for (SimulatedNode n : away) {
        assertTrue(
            n.agent.revision() >= newest,
            () ->
                n.address
                    + " holds "
                    + n.agent.revision()
                    + " of "
                    + newest
                    + "\n"
                    + cluster.recentEvents());
      }
      assertEquals(List.of(), cluster.checker.violations, cluster::recentEvents);
      cluster.world.run(2 * SECOND_MICROS);
    }
  }
}
