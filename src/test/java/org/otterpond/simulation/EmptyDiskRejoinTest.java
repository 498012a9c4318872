package org.otterpond.simulation;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.otterpond.simulation.ClusterFixture.SECOND_MICROS;
import static org.otterpond.simulation.ClusterFixture.assertAcceptsChange;
import static org.otterpond.simulation.ClusterFixture.assertNoViolations;
import static org.otterpond.simulation.ClusterFixture.bootstrap;

import java.util.List;
import org.junit.jupiter.api.Test;

/** A core node that comes back with an empty disk while it does not reach its seeds. */
class EmptyDiskRejoinTest {
  @Test
  void emptyDiskRejoinsAlthoughItsSeedsAreUnreachable() {
    // given: of its seeds d1, n1 and n2 the node itself is one, and the others do not reach it
    SimulatedCluster cluster = bootstrap(611, 4, 4, 1);
    SimulatedNode wiped = cluster.node("d1:1");
    wiped.losePower();
    wiped.disk.wipe();
    cluster.world.run(2 * SECOND_MICROS);
    for (String seed : List.of("n1:1", "n2:1")) {
      cluster.world.network.partitionOneWay(seed, wiped.address);
    }

    // when
    wiped.start();
    cluster.world.run(4 * SECOND_MICROS);

    // then
    assertTrue(
        cluster.primary().agent.known().hasMember(wiped.disk.id),
        () -> "not a member\n" + cluster.recentEvents());

    // and the next loss is tolerated
    SimulatedNode primary = cluster.primary();
    primary.losePower();
    primary.disk.wipe();
    cluster.world.run(3 * SECOND_MICROS);
    assertAcceptsChange(cluster, 2 * SECOND_MICROS);
    assertNoViolations(cluster);
  }
}
