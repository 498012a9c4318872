package org.otterpond.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.otterpond.protocol.CompressedPayload;
import org.otterpond.protocol.WireRecord;

/**
 * Configurations that take seconds to read: nobody is taken for dead meanwhile, and their order is
 * kept.
 */
class LongConfigurationTest {
  private static final long S = 1_000_000;
  private static final int ROUTES = 1_500;

  private final List<Integer> statuses = new ArrayList<>();

  private static String route(int i, long timer) {
    return "{\"name\":\"r"
        + i
        + "\",\"host_name\":\"h"
        + i % 9
        + ".example\",\"path_prefix\":\"/p"
        + i
        + "/\",\"route_type\":\"idempotent\",\"guard_timer_ms\":"
        + timer
        + ",\"target_service\":\"s\"}";
  }

  private static String whole(long revision) {
    List<String> routes = new ArrayList<>();
    for (int i = 0; i < ROUTES; i++) {
      routes.add(route(i, 1_000));
    }
    return "{\"revision\":"
        + revision
        + ",\"route_table\":["
        + String.join(",", routes)
        + "],\"service_table\":[{\"name\":\"s\"}]}";
  }

  private static String change(long revision) {
    return "{\"revision\":"
        + revision
        + ",\"upsert_items\":{\"route_table\":["
        + route(1, 1_000 + revision)
        + "]}}";
  }

  private SimulatedCluster founded(long seed, long readingMicros) {
    SimulatedCluster f = new SimulatedCluster(seed, 4, 4, 1);
    f.world.run(9 * S);
    assertNotNull(f.leader(), f::tail);
    f.all.forEach(n -> n.readingMicros = readingMicros);
    return f;
  }

  private void give(SimulatedCluster f, SimulatedNode at, String kind, long base, String text) {
    at.node.ask(
        new WireRecord("ask")
            .with("op", "write")
            .with("kind", kind)
            .with("base", base)
            .with("text", CompressedPayload.pack(text)),
        4 * S,
        500_000,
        r -> statuses.add(r == null ? 0 : (int) r.number("status")));
  }

  @Test
  void nobodyIsTakenForDeadWhileItReads() {
    SimulatedCluster f = founded(631, 3 * S);
    long epoch = f.leader().node.known().epoch();
    f.checker.sent(1);
    give(f, f.world.nodes.get("n1:1"), "replace", 0, whole(1));
    f.world.run(2_900_000);
    assertEquals(List.of(), statuses, "the primary reads it before it takes it");
    f.world.run(300_000);
    assertEquals(List.of(200), statuses, f::tail);
    f.world.run(4 * S);
    for (SimulatedNode n : f.all) {
      assertEquals(1, n.node.revision(), () -> n.address + "\n" + f.tail());
    }
    // Changes that come while each node still reads the one before.
    for (long rev = 2; rev <= 4; rev++) {
      f.checker.sent(rev);
      give(f, f.world.nodes.get("n2:1"), "modify", rev - 1, change(rev));
      f.world.run(3_200_000);
    }
    assertEquals(List.of(200, 200, 200, 200), statuses, f::tail);
    f.world.run(12 * S);
    for (SimulatedNode n : f.all) {
      assertEquals(4, n.node.revision(), () -> n.address + "\n" + f.tail());
      assertEquals(1_004_000L, n.configuration.route("h1.example", "/p1/x").guardMicros());
    }
    assertEquals(epoch, f.leader().node.known().epoch(), () -> "a new epoch began\n" + f.tail());
    assertEquals(List.of(), f.checker.broken, f::tail);
  }

  /** The primary goes while it reads; the order is given again and taken once, by whoever leads. */
  @Test
  void primaryThatGoesWhileItReadsTakesNothing() {
    for (long seed = 641; seed <= 644; seed++) {
      statuses.clear();
      SimulatedCluster f = founded(seed, 600_000);
      f.checker.sent(1);
      give(f, f.world.nodes.get("n1:1"), "replace", 0, whole(1));
      f.world.run(100_000 + f.world.random.nextInt(500_000));
      SimulatedNode first = f.leader();
      if (seed % 2 == 0) {
        first.kill();
      } else {
        first.freeze();
      }
      f.world.run(5 * S);
      first.thaw();
      first.start();
      give(f, f.world.nodes.get("n2:1"), "replace", 0, whole(1));
      f.world.run(8 * S);
      assertTrue(statuses.size() == 2 && statuses.get(1) == 200, () -> statuses + "\n" + f.tail());
      for (SimulatedNode n : f.all) {
        assertEquals(1, n.node.revision(), () -> n.address + "\n" + f.tail());
      }
      assertEquals(List.of(), f.checker.broken, f::tail);
    }
  }
}
