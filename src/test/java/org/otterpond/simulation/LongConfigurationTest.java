package org.otterpond.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.otterpond.simulation.ClusterFixture.SECOND_MICROS;
import static org.otterpond.simulation.ClusterFixture.assertNoViolations;
import static org.otterpond.simulation.ClusterFixture.bootstrap;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Configurations that take seconds to parse: meanwhile nobody is taken for failed, and the order of
 * the writes is kept.
 */
class LongConfigurationTest {
  private static final int ROUTES = 1_500;
  private static final int GUARD_TIMER_MILLIS = 1_000;

  /** The statuses of all writes in the order of their answers, 0 for one without answer. */
  private final List<Integer> statuses = new ArrayList<>();

  private static String route(int number, long guardTimerMillis) {
    return "{\"name\":\"r"
        + number
        + "\",\"host_name\":\"h"
        + number % 9
        + ".example\",\"path_prefix\":\"/p"
        + number
        + "/\",\"route_type\":\"idempotent\",\"guard_timer_ms\":"
        + guardTimerMillis
        + ",\"target_service\":\"s\"}";
  }

  private static String wholeConfiguration(long revision) {
    List<String> routes = new ArrayList<>();
    for (int i = 0; i < ROUTES; i++) {
      routes.add(route(i, GUARD_TIMER_MILLIS));
    }
    return "{\"revision\":"
        + revision
        + ",\"route_table\":["
        + String.join(",", routes)
        + "],\"service_table\":[{\"name\":\"s\"}]}";
  }

  private static String modification(long revision) {
    return "{\"revision\":"
        + revision
        + ",\"upsert_items\":{\"route_table\":["
        + route(1, GUARD_TIMER_MILLIS + revision)
        + "]}}";
  }

  private static SimulatedCluster bootstrapWithSlowParsing(long seed, long parsingMicros) {
    SimulatedCluster cluster = bootstrap(seed, 4, 4, 1);
    cluster.nodes.forEach(node -> node.backgroundWorkMicros = parsingMicros);
    return cluster;
  }

  private void send(SimulatedNode node, String kind, long base, String text) {
    node.agent.ask(
        ControlRequests.writeConfiguration(kind, base, text),
        4 * SECOND_MICROS,
        500_000,
        reply -> statuses.add(reply == null ? 0 : (int) reply.number("status")));
  }

  private static void assertAllActive(SimulatedCluster cluster, long revision) {
    for (SimulatedNode node : cluster.nodes) {
      assertEquals(
          revision, node.agent.revision(), () -> node.address + "\n" + cluster.recentEvents());
    }
  }

  @Test
  void nodesStayAliveWhileParsingLongConfiguration() {
    SimulatedCluster cluster = bootstrapWithSlowParsing(631, 3 * SECOND_MICROS);
    final long epoch = cluster.primary().agent.known().epoch();

    cluster.checker.writeSent(1);
    send(cluster.node("n1:1"), "replace", 0, wholeConfiguration(1));
    cluster.world.run(2_900_000);
    assertEquals(List.of(), statuses, "the primary parses a write before it accepts it");
    cluster.world.run(300_000);
    assertEquals(List.of(200), statuses, cluster::recentEvents);
    cluster.world.run(4 * SECOND_MICROS);
    assertAllActive(cluster, 1);

    // Writes that arrive while each node still parses the one before.
    for (long revision = 2; revision <= 4; revision++) {
      cluster.checker.writeSent(revision);
      send(cluster.node("n2:1"), "modify", revision - 1, modification(revision));
      cluster.world.run(3_200_000);
    }
    assertEquals(List.of(200, 200, 200, 200), statuses, cluster::recentEvents);
    cluster.world.run(12 * SECOND_MICROS);
    assertAllActive(cluster, 4);
    for (SimulatedNode node : cluster.nodes) {
      assertEquals(1_004_000L, node.configuration.route("h1.example", "/p1/x").timeoutMicros());
    }

    assertEquals(
        epoch,
        cluster.primary().agent.known().epoch(),
        () -> "a new epoch has begun\n" + cluster.recentEvents());
    assertNoViolations(cluster);
  }

  /** The write is sent again and takes effect once, at the new primary. */
  @Test
  void primaryThatFailsWhileParsingAcceptsNothing() {
    for (long seed = 641; seed <= 644; seed++) {
      statuses.clear();
      SimulatedCluster cluster = bootstrapWithSlowParsing(seed, 600_000);
      cluster.checker.writeSent(1);
      send(cluster.node("n1:1"), "replace", 0, wholeConfiguration(1));
      cluster.world.run(100_000 + cluster.world.random.nextInt(500_000));

      SimulatedNode formerPrimary = cluster.primary();
      if (seed % 2 == 0) {
        formerPrimary.kill();
      } else {
        formerPrimary.freeze();
      }
      cluster.world.run(5 * SECOND_MICROS);
      formerPrimary.resume();
      formerPrimary.start();
      send(cluster.node("n2:1"), "replace", 0, wholeConfiguration(1));
      cluster.world.run(8 * SECOND_MICROS);

      assertTrue(
          statuses.size() == 2 && statuses.get(1) == 200,
          () -> statuses + "\n" + cluster.recentEvents());
      assertAllActive(cluster, 1);
      assertNoViolations(cluster);
    }
  }
}
