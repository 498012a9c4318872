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
  private static final long SECOND_MICROS = 1_000_000;
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
    SimulatedCluster cluster = new SimulatedCluster(seed, 4, 4, 1);
    cluster.world.run(9 * SECOND_MICROS);
    assertNotNull(cluster.primary(), cluster::recentEvents);
    cluster.nodes.forEach(n -> n.backgroundWorkMicros = readingMicros);
    return cluster;
  }

  private void give(
      SimulatedCluster cluster, SimulatedNode at, String kind, long base, String text) {
    at.agent.ask(
        new WireRecord("ask")
            .with("op", "write")
            .with("kind", kind)
            .with("base", base)
            .with("text", CompressedPayload.pack(text)),
        4 * SECOND_MICROS,
        500_000,
        r -> statuses.add(r == null ? 0 : (int) r.number("status")));
  }

  @Test
  void nobodyIsTakenForDeadWhileItReads() {
    SimulatedCluster cluster = founded(631, 3 * SECOND_MICROS);
    long epoch = cluster.primary().agent.known().epoch();
    cluster.checker.writeSent(1);
    give(cluster, cluster.node("n1:1"), "replace", 0, whole(1));
    cluster.world.run(2_900_000);
    assertEquals(List.of(), statuses, "the primary reads it before it takes it");
    cluster.world.run(300_000);
    assertEquals(List.of(200), statuses, cluster::recentEvents);
    cluster.world.run(4 * SECOND_MICROS);
    for (SimulatedNode n : cluster.nodes) {
      assertEquals(1, n.agent.revision(), () -> n.address + "\n" + cluster.recentEvents());
    }
    // Changes that come while each node still reads the one before.
    for (long rev = 2; rev <= 4; rev++) {
      cluster.checker.writeSent(rev);
      give(cluster, cluster.node("n2:1"), "modify", rev - 1, change(rev));
      cluster.world.run(3_200_000);
    }
    assertEquals(List.of(200, 200, 200, 200), statuses, cluster::recentEvents);
    cluster.world.run(12 * SECOND_MICROS);
    for (SimulatedNode n : cluster.nodes) {
      assertEquals(4, n.agent.revision(), () -> n.address + "\n" + cluster.recentEvents());
      assertEquals(1_004_000L, n.configuration.route("h1.example", "/p1/x").guardMicros());
    }
    assertEquals(
        epoch,
        cluster.primary().agent.known().epoch(),
        () -> "a new epoch began\n" + cluster.recentEvents());
    assertEquals(List.of(), cluster.checker.violations, cluster::recentEvents);
  }

  /** The primary goes while it reads; the order is given again and taken once, by whoever leads. */
  @Test
  void primaryThatGoesWhileItReadsTakesNothing() {
    for (long seed = 641; seed <= 644; seed++) {
      statuses.clear();
      SimulatedCluster cluster = founded(seed, 600_000);
      cluster.checker.writeSent(1);
      give(cluster, cluster.node("n1:1"), "replace", 0, whole(1));
      cluster.world.run(100_000 + cluster.world.random.nextInt(500_000));
      SimulatedNode first = cluster.primary();
      if (seed % 2 == 0) {
        first.kill();
      } else {
        first.freeze();
      }
      cluster.world.run(5 * SECOND_MICROS);
      first.resume();
      first.start();
      give(cluster, cluster.node("n2:1"), "replace", 0, whole(1));
      cluster.world.run(8 * SECOND_MICROS);
      assertTrue(
          statuses.size() == 2 && statuses.get(1) == 200,
          () -> statuses + "\n" + cluster.recentEvents());
      for (SimulatedNode n : cluster.nodes) {
        assertEquals(1, n.agent.revision(), () -> n.address + "\n" + cluster.recentEvents());
      }
      assertEquals(List.of(), cluster.checker.violations, cluster::recentEvents);
    }
  }
}
