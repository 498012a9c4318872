package org.otterpond.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.otterpond.simulation.ClusterFixture.SECOND_MICROS;
import static org.otterpond.simulation.CoreFixture.RECOVERY_MICROS;
import static org.otterpond.simulation.CoreFixture.assertRecovered;
import static org.otterpond.simulation.CoreFixture.backup;
import static org.otterpond.simulation.CoreFixture.join;
import static org.otterpond.simulation.CoreFixture.otherCoreNode;
import static org.otterpond.simulation.CoreFixture.remove;
import static org.otterpond.simulation.CoreFixture.startCore;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A change of the core's members during which the primary and one other member are partitioned from
 * the rest, at any moment near the prepare and accept phases of the new epoch.
 */
class EpochQuorumTest {
  private static final int STEP_MICROS = 500;
  private static final int LAST_OFFSET_MICROS = 12_000;

  /** Two of the members do not begin an epoch. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void noEpochBeginsWithoutMajoritiesOfOldAndNewMembers(boolean grows) {
    for (long offset = 0; offset < LAST_OFFSET_MICROS; offset += STEP_MICROS) {
      SimulatedCluster cluster = startCore(620, grows ? 3 : 5, 1);
      final SimulatedNode primary = cluster.primary();
      final SimulatedNode backup = backup(cluster);
      final MembershipChecker membership = new MembershipChecker(cluster);
      int logged = cluster.world.eventLog.size();

      if (grows) {
        join(cluster, "e1:1");
      } else {
        backup.kill();
      }
      awaitCandidacy(cluster, logged);
      cluster.world.run(offset);

      SimulatedNode ally = grows ? backup : thirdCoreNode(cluster, primary, backup);
      assertNoEpochBegins(cluster, primary, ally, membership);
    }
  }

  /**
   * One member replaces another: the primary and the replacement are a majority of the three new
   * members but only one of the three old ones. A record that they alone have accepted has never
   * begun, and what builds on it needs the old majority too.
   */
  @Test
  void noEpochBeginsOnMemberReplacementThatOldMajorityHasNotAccepted() {
    for (long offset = 0; offset < LAST_OFFSET_MICROS; offset += STEP_MICROS) {
      SimulatedCluster cluster = startCore(620, 3, 1);
      final SimulatedNode primary = cluster.primary();
      final SimulatedNode backup = backup(cluster);
      remove(cluster, otherCoreNode(cluster));
      cluster.world.run(2 * SECOND_MICROS);
      final MembershipChecker membership = new MembershipChecker(cluster);
      int logged = cluster.world.eventLog.size();

      join(cluster, "e1:1");
      awaitCandidacy(cluster, logged);
      cluster.world.run(offset);

      SimulatedNode ally = thirdCoreNode(cluster, primary, backup);
      assertNoEpochBegins(cluster, primary, ally, membership);
    }
  }

  private static void awaitCandidacy(SimulatedCluster cluster, int logged) {
    List<String> eventLog = cluster.world.eventLog;
    while (eventLog.subList(logged, eventLog.size()).stream()
        .noneMatch(line -> line.contains("=candidacy "))) {
      cluster.world.run(100);
    }
  }

  private static SimulatedNode thirdCoreNode(
      SimulatedCluster cluster, SimulatedNode primary, SimulatedNode backup) {
    return cluster.coreNodes.stream()
        .filter(node -> node != primary && node != backup)
        .findFirst()
        .orElseThrow();
  }

  /** Partitions the primary and its ally from all others, and asserts that the core recovers. */
  private static void assertNoEpochBegins(
      SimulatedCluster cluster,
      SimulatedNode primary,
      SimulatedNode ally,
      final MembershipChecker membership) {
    for (SimulatedNode node : cluster.coreNodes) {
      if (node != primary && node != ally) {
        cluster.world.network.partition(primary.address, node.address);
        cluster.world.network.partition(ally.address, node.address);
      }
    }
    cluster.world.run(2 * SECOND_MICROS);
    assertEquals(List.of(), membership.violations, cluster::recentEvents);

    cluster.world.network.heal();
    assertRecovered(cluster, RECOVERY_MICROS, 1);
  }
}
