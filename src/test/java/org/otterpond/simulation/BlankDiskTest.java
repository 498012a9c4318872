package org.otterpond.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** A core machine comes back with an empty disk while its seeds are out of reach. */
class BlankDiskTest {
  private static final long SECOND_MICROS = 1_000_000;

  @Test
  void isTakenInThoughItsSeedsAreCutOff() {
    SimulatedCluster cluster = new SimulatedCluster(611, 4, 4, 1);
    cluster.world.run(9 * SECOND_MICROS);
    assertNotNull(cluster.primary(), cluster::recentEvents);
    // Of the seeds d1, n1 and n2 the latter two are left to one that knows nobody else.
    SimulatedNode wiped = cluster.node("d1:1");
    wiped.losePower();
    wiped.disk.wipe();
    cluster.world.run(2 * SECOND_MICROS);
    for (String seed : List.of("n1:1", "n2:1")) {
      cluster.world.network.partitionOneWay(seed, wiped.address);
    }
    wiped.start();
    cluster.world.run(4 * SECOND_MICROS);
    assertTrue(
        cluster.primary().agent.known().hasMember(wiped.disk.id),
        () -> "not taken in\n" + cluster.recentEvents());
    // So the next loss is borne.
    SimulatedNode leader = cluster.primary();
    leader.losePower();
    leader.disk.wipe();
    cluster.world.run(3 * SECOND_MICROS);
    int before = cluster.checker.acknowledgements;
    cluster.operator.change(() -> {});
    cluster.world.run(2 * SECOND_MICROS);
    assertTrue(
        cluster.checker.acknowledgements > before, () -> "nobody leads\n" + cluster.recentEvents());
    assertEquals(List.of(), cluster.checker.violations, cluster::recentEvents);
  }
}
