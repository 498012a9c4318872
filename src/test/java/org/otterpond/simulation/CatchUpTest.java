package org.otterpond.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.otterpond.simulation.ClusterFixture.SECOND_MICROS;
import static org.otterpond.simulation.ClusterFixture.assertNoViolations;
import static org.otterpond.simulation.ClusterFixture.bootstrap;
import static org.otterpond.simulation.ClusterFixture.firstBackup;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.otterpond.protocol.WireRecord;

/** Members that were away: how soon they are up to date, and that they never act on old state. */
class CatchUpTest {
  /** It has lost its position and reports that at once, so that nobody waits for a time-out. */
  @Test
  void restartedBackupIsBackupAgainAtOnce() {
    for (long seed = 501; seed <= 510; seed++) {
      SimulatedCluster cluster = bootstrap(seed, 4, 2, 1);
      cluster.workload.start();
      cluster.world.run(2 * SECOND_MICROS);
      SimulatedNode backup = firstBackup(cluster);
      final long epoch = cluster.primary().agent.known().epoch();

      backup.kill();
      cluster.world.run(1_000);
      backup.start();
      cluster.world.run(250_000);

      assertTrue(
          cluster.primary() != null && cluster.primary().agent.known().epoch() > epoch,
          cluster::recentEvents);
      int before = cluster.checker.keyGrants;
      cluster.world.run(SECOND_MICROS);
      assertTrue(cluster.checker.keyGrants > before + 20, cluster::recentEvents);
      assertNoViolations(cluster);
    }
  }

  /** It neither stores nor acknowledges a batch that its former process may have had already. */
  @Test
  void restartedBackupAcknowledgesNothingOfItsFormerEpoch() {
    SimulatedCluster cluster = bootstrap(521, 4, 2, 1);
    cluster.operator.change(() -> {});
    cluster.world.run(SECOND_MICROS);
    final long epoch = cluster.primary().agent.known().epoch();
    String primary = cluster.primary().address;
    SimulatedNode backup = firstBackup(cluster);
    backup.kill();
    backup.start();
    final int recordsBefore = backup.disk.read().size();
    cluster.world.network.partition(primary, backup.address);

    WireRecord entry =
        new WireRecord("claim").with("key", "old").with("token", "old").with("holder", "n1:1");
    backup.deliver(
        primary,
        new WireRecord("rep")
            .with("epoch", epoch)
            .with("seq", 1)
            .withRecords("entries", List.of(entry)));
    cluster.world.run(100_000);

    assertEquals(recordsBefore, backup.disk.read().size());
  }

  /**
   * More than six hundred changes, and meanwhile up to two members at a time are killed, lose
   * power, are wiped, replaced or isolated. Each is up to date within the time that is given for
   * it.
   */
  @Test
  void returningMemberCatchesUpThroughHundredsOfChanges() {
    SimulatedCluster cluster = bootstrap(531, 6, 2, 2);
    Random random = cluster.world.random;
    cluster.workload.start();
    int replacements = 0;
    for (int turn = 0; cluster.checker.acknowledgements < 600; turn++) {
      assertTrue(
          turn < 200,
          () -> cluster.checker.acknowledgements + " changes\n" + cluster.recentEvents());
      List<SimulatedNode> away = new ArrayList<>();
      for (int i = 0; i < 1 + turn % 2; i++) {
        SimulatedNode node =
            turn % 3 == 0 && i == 0 && cluster.primary() != null
                ? cluster.primary()
                : cluster.coreNodes.get(random.nextInt(cluster.coreNodes.size()));
        int kind = random.nextInt(5);
        away.add(
            kind == 4
                ? replace(cluster, node, "r" + ++replacements + ":1")
                : injectFault(cluster, node, kind));
      }

      cluster.world.run(random.nextInt(4) * SECOND_MICROS);
      cluster.world.network.heal();
      away.forEach(SimulatedNode::startWithoutBootstrap);

      assertCatchUp(cluster, away);
      cluster.world.run(2 * SECOND_MICROS);
    }
  }

  private static SimulatedNode injectFault(SimulatedCluster cluster, SimulatedNode node, int kind) {
    switch (kind) {
      case 0 -> node.kill();
      case 1 -> node.losePower();
      case 2 -> {
        node.losePower();
        node.disk.wipe();
      }
      default -> cluster.world.network.isolate(node.address);
    }
    return node;
  }

  private static SimulatedNode replace(
      SimulatedCluster cluster, SimulatedNode lost, String address) {
    lost.losePower();
    cluster.nodes.remove(lost);
    cluster.coreNodes.remove(lost);
    SimulatedNode replacement = cluster.add(address, true);
    cluster.coreNodes.add(replacement);
    return replacement;
  }

  private static void assertCatchUp(SimulatedCluster cluster, List<SimulatedNode> returning) {
    cluster.world.run(3 * SECOND_MICROS);
    // A change may be accepted at any moment: what was newest a second ago must be there by now.
    long newest = cluster.checker.newestAcknowledged();
    cluster.world.run(SECOND_MICROS);
    for (SimulatedNode node : returning) {
      assertTrue(
          node.agent.revision() >= newest,
          () ->
              node.address
                  + " has "
                  + node.agent.revision()
                  + " of "
                  + newest
                  + "\n"
                  + cluster.recentEvents());
    }
    assertNoViolations(cluster);
  }
}
