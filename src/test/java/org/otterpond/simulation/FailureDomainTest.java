package org.otterpond.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.otterpond.simulation.ClusterFixture.SECOND_MICROS;
import static org.otterpond.simulation.ClusterFixture.epochsBegun;
import static org.otterpond.simulation.CoreFixture.RECOVERY_MICROS;
import static org.otterpond.simulation.CoreFixture.assertRecovered;
import static org.otterpond.simulation.CoreFixture.backup;
import static org.otterpond.simulation.CoreFixture.currentEpoch;
import static org.otterpond.simulation.CoreFixture.join;
import static org.otterpond.simulation.CoreFixture.startCore;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.otterpond.control.state.FaultTolerance;

/** Placement of the core's members and of the primary's group over zones and regions. */
class FailureDomainTest {
  private static final Map<String, String> REGION_BY_ZONE =
      Map.of("a", "r", "b", "r", "c", "s", "d", "t");

  private static final FaultTolerance ONE_ZONE = new FaultTolerance(1, 1, 0, REGION_BY_ZONE);

  /** Two disks in each of four zones; the zone or region of the primary is lost again and again. */
  @ParameterizedTest
  @CsvSource({"1,0", "0,1"})
  void groupAndMajoritySurviveLossOfZoneOrRegion(int zones, int regions) {
    FaultTolerance tolerance = new FaultTolerance(1, zones, regions, REGION_BY_ZONE);
    for (long seed = 520; seed < 530; seed++) {
      SimulatedCluster cluster =
          startCore(seed, 8, tolerance, i -> "aabbccdd".substring(i % 8, i % 8 + 1));

      for (int round = 0; round < 3; round++) {
        List<SimulatedNode> lost = domainOfPrimary(cluster, regions > 0);
        lost.forEach(SimulatedNode::losePower);
        lost.forEach(node -> node.disk.wipe());
        assertRecovered(cluster, 3 * SECOND_MICROS, 1);
        lost.forEach(SimulatedNode::start);
        cluster.world.run(RECOVERY_MICROS);
      }

      assertNoFurtherEpoch(cluster, 20 * SECOND_MICROS);
    }
  }

  private static List<SimulatedNode> domainOfPrimary(SimulatedCluster cluster, boolean region) {
    String zone = cluster.primary().zone;
    return cluster.coreNodes.stream()
        .filter(
            node ->
                region
                    ? REGION_BY_ZONE.get(node.zone).equals(REGION_BY_ZONE.get(zone))
                    : node.zone.equals(zone))
        .toList();
  }

  private static void assertNoFurtherEpoch(SimulatedCluster cluster, long durationMicros) {
    long before = epochsBegun(cluster);
    cluster.world.run(durationMicros);
    assertEquals(
        before, epochsBegun(cluster), () -> "an epoch without need\n" + cluster.recentEvents());
  }

  @Test
  void membersAreSpreadOverZonesAndLackOfSpreadIsLogged() {
    SimulatedCluster crowded = startCore(540, 5, ONE_ZONE, i -> i < 3 ? "a" : i == 3 ? "b" : "c");
    assertEquals(3, currentEpoch(crowded).members().size());
    assertFalse(crowded.world.eventLog.stream().anyMatch(line -> line.contains("core_not_spread")));

    SimulatedCluster cluster = startCore(541, 4, ONE_ZONE, i -> "a");
    assertNoFurtherEpoch(cluster, 60 * SECOND_MICROS);
    assertEquals(
        epochsBegun(cluster),
        cluster.world.eventLog.stream()
            .filter(line -> line.contains("event=core_not_spread"))
            .count());

    // With machines in other zones no zone of three holds a majority, and the group spans two.
    join(cluster, "e1:1", "b");
    join(cluster, "e2:1", "c");
    cluster.world.run(20 * SECOND_MICROS);
    assertNotEquals(cluster.primary().zone, backup(cluster).zone, cluster::recentEvents);
    assertEquals(
        1,
        currentEpoch(cluster).members().stream()
            .filter(member -> member.zone().equals("a"))
            .count(),
        cluster::recentEvents);
  }

  @Test
  void groupIsReformedOnceItCanSpanZones() {
    SimulatedCluster cluster = startCore(545, 3, ONE_ZONE, i -> i == 2 ? "b" : "a");
    SimulatedNode inOtherZone =
        cluster.primary().zone.equals("b") ? cluster.primary() : backup(cluster);
    assertEquals("b", inOtherZone.zone, cluster::recentEvents);

    inOtherZone.kill();
    cluster.world.run(2 * SECOND_MICROS);
    assertEquals("aa", cluster.primary().zone + backup(cluster).zone);

    inOtherZone.start();
    cluster.world.run(RECOVERY_MICROS);
    assertTrue(currentEpoch(cluster).isInGroup(inOtherZone.disk.id), cluster::recentEvents);
    assertNoFurtherEpoch(cluster, 20 * SECOND_MICROS);
  }
}
