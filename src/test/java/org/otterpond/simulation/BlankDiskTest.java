package org.otterpond.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** A core machine comes back with an empty disk while its seeds are out of reach. */
class BlankDiskTest {
  private static final long S = 1_000_000;

  @Test
  void isTakenInThoughItsSeedsAreCutOff() {
    SimulatedCluster f = new SimulatedCluster(611, 4, 4, 1);
    f.world.run(9 * S);
    assertNotNull(f.leader(), f::tail);
    // Of the seeds d1, n1 and n2 the latter two are left to one that knows nobody else.
    SimulatedNode wiped = f.world.nodes.get("d1:1");
    wiped.losePower();
    wiped.disk.wipe();
    f.world.run(2 * S);
    for (String seed : List.of("n1:1", "n2:1")) {
      f.world.cutOneWay(seed, wiped.address);
    }
    wiped.start();
    f.world.run(4 * S);
    assertTrue(f.leader().node.known().hasMember(wiped.disk.id), () -> "not taken in\n" + f.tail());
    // So the next loss is borne.
    SimulatedNode leader = f.leader();
    leader.losePower();
    leader.disk.wipe();
    f.world.run(3 * S);
    int before = f.checker.acknowledgements;
    f.change(() -> {});
    f.world.run(2 * S);
    assertTrue(f.checker.acknowledgements > before, () -> "nobody leads\n" + f.tail());
    assertEquals(List.of(), f.checker.broken, f::tail);
  }
}
