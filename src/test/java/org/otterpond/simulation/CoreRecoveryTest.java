package org.otterpond.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.otterpond.simulation.ClusterFixture.SECOND_MICROS;
import static org.otterpond.simulation.ClusterFixture.assertRecovers;
import static org.otterpond.simulation.ClusterFixture.bootstrap;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.otterpond.control.state.WorkerState;

/** Bootstrap of the core, and its recovery from losses of power, disks and machines. */
class CoreRecoveryTest {
  @Test
  void oneCoreIsBootstrappedWhileOneSeedFails() {
    for (long seed = 1; seed <= 12; seed++) {
      SimulatedCluster cluster = new SimulatedCluster(seed, 4, 4, 1);
      SimulatedNode failingSeed = cluster.node(seed % 2 == 0 ? "d1:1" : "n1:1");

      cluster.world.run(1_600_000 + cluster.world.random.nextInt(2_000_000));
      failingSeed.kill();
      cluster.world.run(2 * SECOND_MICROS);
      failingSeed.start();
      cluster.workload.start();
      cluster.world.run(12 * SECOND_MICROS);

      assertRecovers(cluster, 4 * SECOND_MICROS);
      long clusterIds =
          cluster.nodes.stream().map(node -> node.agent.known().fleet()).distinct().count();
      assertEquals(1, clusterIds);
    }
  }

  /** The most that must be tolerated: two disks are lost and all other machines lose power. */
  @Test
  void acknowledgedChangeSurvivesTwoWipedDisksAndPowerLossOfAllOthers() {
    for (long seed = 131; seed <= 146; seed++) {
      SimulatedCluster cluster = bootstrap(seed, seed % 2 == 0 ? 5 : 8, 4, 2);
      cluster.workload.start();
      cluster.world.run(2 * SECOND_MICROS + cluster.world.random.nextInt(1_000_000));
      List<SimulatedNode> group =
          new ArrayList<>(
              cluster.coreNodes.stream()
                  .filter(node -> cluster.primary().agent.known().isInGroup(node.disk.id))
                  .toList());
      assertEquals(3, group.size());

      Collections.shuffle(group, cluster.world.random);
      cluster.nodes.forEach(SimulatedNode::losePower);
      group.subList(0, 2).forEach(node -> node.disk.wipe());
      cluster.world.run(SECOND_MICROS);

      assertRecovers(cluster, 8 * SECOND_MICROS);
    }
  }

  @Test
  void acknowledgedChangeSurvivesWipeOfPrimary() {
    for (long seed = 31; seed <= 40; seed++) {
      SimulatedCluster cluster = bootstrap(seed, 4, 4, 1);
      cluster.operator.change(() -> {});
      cluster.world.run(SECOND_MICROS);
      assertTrue(cluster.checker.newestAcknowledged() > 0);

      SimulatedNode primary = cluster.primary();
      primary.losePower();
      primary.disk.wipe();
      cluster.world.run(2 * SECOND_MICROS);
      primary.start();

      assertRecovers(cluster, 5 * SECOND_MICROS);
    }
  }

  @Test
  void nodesServeWithinOneSecondOfRestartAfterAllProcessesWereKilled() {
    for (long seed = 81; seed <= 90; seed++) {
      SimulatedCluster cluster = bootstrap(seed, 4, 4, 1);
      cluster
          .nodes
          .get(4)
          .agent
          .beat(SimulatedCluster.worker("w1", WorkerState.IN_SERVICE, 1), accepted -> {});
      cluster.operator.change(() -> {});
      cluster.world.run(2 * SECOND_MICROS);

      cluster.nodes.forEach(SimulatedNode::kill);
      cluster.world.run(800_000);
      cluster.nodes.forEach(node -> startSoon(cluster, node));
      cluster.world.run(900_000);

      cluster.nodes.forEach(node -> assertServes(cluster, node));
      assertRecovers(cluster, 3 * SECOND_MICROS);
    }
  }

  /** Nodes without a disk are up first and poll a primary that does not listen yet. */
  private static void startSoon(SimulatedCluster cluster, SimulatedNode node) {
    Random random = cluster.world.random;
    cluster.world.schedule(
        node.disk == null ? random.nextInt(50_000) : 100_000 + random.nextInt(100_000),
        node::start);
  }

  private static void assertServes(SimulatedCluster cluster, SimulatedNode node) {
    assertTrue(
        node.agent.revision() > 0,
        () -> node.address + " has no configuration\n" + cluster.recentEvents());
    long staleMicros = cluster.world.now() - node.agent.configurationConfirmedAt();
    assertTrue(
        staleMicros < SECOND_MICROS,
        () ->
            node.address
                + " accepts no access keys "
                + staleMicros
                + "\n"
                + cluster.recentEvents());
    assertEquals(WorkerState.IN_SERVICE, node.workers.get("w1").state(), node.address);
  }

  @Test
  void stalledDiskOfPrimaryOrBackupIsReplacedWhileItsProcessStillResponds() {
    for (boolean ofPrimary : new boolean[] {true, false}) {
      SimulatedCluster cluster = bootstrap(ofPrimary ? 91 : 92, 4, 4, 1);
      cluster.workload.start();
      cluster.world.run(2 * SECOND_MICROS);
      SimulatedNode stalled = ofPrimary ? cluster.primary() : ClusterFixture.firstBackup(cluster);

      stalled.disk.stalled = true;
      cluster.world.run(2 * SECOND_MICROS);
      int before = cluster.checker.keyGrants;
      cluster.world.run(SECOND_MICROS);

      assertTrue(
          cluster.checker.keyGrants > before + 10,
          () -> "key locks wait for a stalled disk\n" + cluster.recentEvents());
      assertFalse(cluster.primary().agent.known().isInGroup(stalled.disk.id));
      stalled.disk.stalled = false;
      assertRecovers(cluster, 5 * SECOND_MICROS);
    }
  }

  @Test
  void coreRecoversFromPowerLossOfAllMachines() {
    for (long seed = 41; seed <= 48; seed++) {
      SimulatedCluster cluster = bootstrap(seed, 4, 4, 1);
      cluster.workload.start();
      cluster.world.run(4 * SECOND_MICROS);

      cluster.nodes.forEach(SimulatedNode::losePower);
      cluster.world.run(SECOND_MICROS);

      assertRecovers(cluster, 6 * SECOND_MICROS);
    }
  }

  @Test
  void replacementOfCoreNodeJoinsAndLostNodeIsRemoved() {
    SimulatedCluster cluster = bootstrap(51, 4, 4, 1);
    cluster.workload.start();
    cluster.world.run(2 * SECOND_MICROS);

    SimulatedNode lost = cluster.primary();
    lost.losePower();
    cluster.nodes.remove(lost);
    cluster.coreNodes.remove(lost);
    cluster.world.network.detach(lost.address);
    cluster.world.run(2_400_000);
    SimulatedNode replacement = cluster.add("d9:1", true);
    replacement.startWithoutBootstrap();
    cluster.world.run(6 * SECOND_MICROS);

    assertTrue(
        cluster.primary().agent.known().hasMember(replacement.disk.id), cluster::recentEvents);
    assertFalse(cluster.primary().agent.known().hasMember(lost.disk.id), cluster::recentEvents);
    assertRecovers(cluster, 2 * SECOND_MICROS);
  }

  @Test
  void checkerDetectsDisksThatAcknowledgeBeforeSync() {
    int detected = 0;
    for (long seed = 71; seed <= 76; seed++) {
      SimulatedCluster cluster = bootstrap(seed, 4, 4, 1);
      cluster.coreNodes.forEach(node -> node.disk.acknowledgesBeforeSync = true);
      cluster.workload.start();
      cluster.world.run(4 * SECOND_MICROS);

      cluster.nodes.forEach(SimulatedNode::losePower);
      cluster.coreNodes.forEach(node -> node.disk.acknowledgesBeforeSync = false);
      cluster.world.run(SECOND_MICROS);
      cluster.nodes.forEach(SimulatedNode::start);
      cluster.world.run(8 * SECOND_MICROS);

      detected += cluster.checker.violations.isEmpty() ? 0 : 1;
    }
    assertTrue(detected >= 5, "only " + detected + " of 6 losses were detected");
  }
}
