package org.otterpond.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.otterpond.simulation.ClusterFixture.SECOND_MICROS;
import static org.otterpond.simulation.ClusterFixture.epochsBegun;
import static org.otterpond.simulation.CoreFixture.RECOVERY_MICROS;
import static org.otterpond.simulation.CoreFixture.assertRecovered;
import static org.otterpond.simulation.CoreFixture.backup;
import static org.otterpond.simulation.CoreFixture.currentEpoch;
import static org.otterpond.simulation.CoreFixture.join;
import static org.otterpond.simulation.CoreFixture.otherCoreNode;
import static org.otterpond.simulation.CoreFixture.remove;
import static org.otterpond.simulation.CoreFixture.startCore;

import org.junit.jupiter.api.Test;

/** Members of the core that join, are replaced, or drain. */
class CoreMembershipChangeTest {
  @Test
  void coreWithMoreThanNineDisksReplacesFailedMembers() {
    SimulatedCluster cluster = startCore(550, 12, 2);
    for (int i = 0; i < 6; i++) {
      assertEquals(9, currentEpoch(cluster).members().size(), cluster::recentEvents);

      remove(cluster, i % 2 == 0 ? cluster.primary() : backup(cluster));
      join(cluster, "e" + i + ":1");

      assertRecovered(cluster, RECOVERY_MICROS, 2);
    }
  }

  @Test
  void singleNodeCoreGrows() {
    SimulatedCluster cluster = startCore(555, 1, 1);

    join(cluster, "e1:1");
    join(cluster, "e2:1");
    cluster.world.run(RECOVERY_MICROS);

    assertEquals(3, currentEpoch(cluster).members().size(), cluster::recentEvents);
    assertRecovered(cluster, 0, 1);
  }

  /** The only notice of its draining is lost, and later the group loses another member. */
  @Test
  void drainingMemberIsNeededUntilReplacedAndDoesNotRejoin() {
    SimulatedCluster cluster = startCore(560, 5, 1);
    SimulatedNode draining = backup(cluster);
    cluster.world.network.partition(draining.address, cluster.primary().address);
    draining.perform(() -> draining.agent.retire());
    cluster.world.run(100_000);
    cluster.world.network.heal();
    assertTrue(draining.agent.needed());

    cluster.world.run(SECOND_MICROS);
    assertFalse(draining.agent.needed(), cluster::recentEvents);

    for (int i = 0; i < 2; i++) {
      SimulatedNode next = backup(cluster);
      next.kill();
      cluster.world.run(RECOVERY_MICROS);
      assertFalse(currentEpoch(cluster).isInGroup(draining.disk.id), cluster::recentEvents);
      next.start();
      cluster.world.run(RECOVERY_MICROS);
    }
  }

  /** It sends its resignation again before the backups time out. */
  @Test
  void drainingPrimaryIsReplacedAlthoughItsResignationIsLost() {
    SimulatedCluster cluster = startCore(562, 5, 2);
    SimulatedNode draining = cluster.primary();

    cluster.world.network.isolate(draining.address);
    draining.perform(() -> draining.agent.retire());
    cluster.world.run(20_000);
    cluster.world.network.heal();
    cluster.world.run(450_000);

    assertFalse(currentEpoch(cluster).isInGroup(draining.disk.id), cluster::recentEvents);
    assertFalse(draining.agent.needed());
  }

  /** Its successor loses its disk meanwhile, so that the draining primary has the only copy. */
  @Test
  void drainingPrimaryWhoseSuccessorFailsGetsAnother() {
    for (long seed = 565; seed < 575; seed++) {
      SimulatedCluster cluster = startCore(seed, 4, 1);
      SimulatedNode draining = cluster.primary();
      SimulatedNode successor = backup(cluster);

      draining.perform(() -> draining.agent.retire());
      cluster.world.run(cluster.world.random.nextInt(8_000));
      successor.losePower();
      successor.disk.wipe();
      cluster.world.run(4_500_000);
      assertFalse(draining.agent.needed(), cluster::recentEvents);

      successor.start();
      cluster.world.run(RECOVERY_MICROS);
      draining.kill();
      assertRecovered(cluster, 3 * SECOND_MICROS, 1);
    }
  }

  /** A new primary has not heard from all members when its epoch begins. */
  @Test
  void memberThatRespondsLateIsNotRemoved() {
    SimulatedCluster cluster = startCore(600, 4, 1);
    join(cluster, "e1:1");
    join(cluster, "e2:1");
    cluster.world.run(RECOVERY_MICROS);
    assertEquals(6, currentEpoch(cluster).members().size(), cluster::recentEvents);
    SimulatedNode late =
        cluster.coreNodes.stream()
            .filter(node -> !currentEpoch(cluster).isInGroup(node.disk.id))
            .findFirst()
            .orElseThrow();

    cluster.primary().kill();
    cluster.world.network.isolate(late.address);
    while (cluster.primary() == null) {
      cluster.world.run(1_000);
    }
    cluster.world.run(SECOND_MICROS);

    assertTrue(currentEpoch(cluster).hasMember(late.disk.id), cluster::recentEvents);
    cluster.world.network.heal();
    assertRecovered(cluster, RECOVERY_MICROS, 1);
  }

  @Test
  void joiningMemberThatFailsDelaysNobody() {
    SimulatedCluster cluster = startCore(580, 4, 1);
    SimulatedNode joining = join(cluster, "e1:1");
    while (cluster.world.eventLog.stream().noneMatch(line -> line.contains("event=core_change"))) {
      cluster.world.run(100);
    }

    joining.losePower();

    long failedMicros = cluster.world.now();
    while (cluster.primary() == null || epochsBegun(cluster) < 2) {
      cluster.world.run(10_000);
      assertTrue(
          cluster.world.now() - failedMicros < 600_000,
          () -> "no epoch begins\n" + cluster.recentEvents());
    }
  }

  /** If both were members at once, two of four would be no majority. */
  @Test
  void replacementTakesPlaceOfFailedMember() {
    for (long seed = 590; seed < 600; seed++) {
      SimulatedCluster cluster = startCore(seed, 3, 1);

      remove(cluster, otherCoreNode(cluster));
      join(cluster, "e1:1");
      cluster.world.run(RECOVERY_MICROS);
      cluster.primary().losePower();

      assertRecovered(cluster, 3 * SECOND_MICROS, 1);
    }
  }
}
