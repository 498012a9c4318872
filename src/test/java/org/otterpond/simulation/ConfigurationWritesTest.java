package org.otterpond.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.otterpond.simulation.ClusterFixture.SECOND_MICROS;
import static org.otterpond.simulation.ClusterFixture.assertNoViolations;
import static org.otterpond.simulation.ClusterFixture.bootstrap;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.otterpond.protocol.WireRecord;

/** Writes that are repeated, and writes that reach a primary whose epoch has ended unnoticed. */
class ConfigurationWritesTest {
  private static final long REQUEST_TIMEOUT_MICROS = 900_000;
  private static final long RETRY_MICROS = 250_000;

  /** An address without a node: what is sent there is only counted. */
  private static final String PROBE = "probe:1";

  private static WireRecord write(long base, long revision, String service) {
    return ControlRequests.replaceConfiguration(
        base,
        "{\"revision\":"
            + revision
            + ",\"route_table\":[],\"service_table\":[{\"name\":\""
            + service
            + "\"}]}");
  }

  /** Sends a write to a node and returns its status, or 0 if it has no definite answer. */
  private static int send(SimulatedCluster cluster, SimulatedNode node, WireRecord write) {
    int[] status = {0};
    node.agent.ask(
        write,
        REQUEST_TIMEOUT_MICROS,
        RETRY_MICROS,
        reply -> status[0] = reply == null ? 0 : (int) reply.number("status"));
    cluster.world.run(SECOND_MICROS);
    return status[0];
  }

  /** Sends writes one after another and asserts that all are confirmed. */
  private static void sendMany(SimulatedCluster cluster, long firstBase, int count) {
    SimulatedNode node = cluster.node("n1:1");
    for (long base = firstBase; base < firstBase + count; base++) {
      cluster.checker.writeSent(base + 1);
      int[] status = {0};
      node.agent.ask(
          write(base, base + 1, "s" + base),
          REQUEST_TIMEOUT_MICROS,
          RETRY_MICROS,
          reply -> status[0] = reply == null ? 0 : (int) reply.number("status"));
      for (int i = 0; i < 40 && status[0] == 0; i++) {
        cluster.world.run(25_000);
      }
      assertEquals(200, status[0], cluster::recentEvents);
    }
  }

  @Test
  void repeatedWriteIsConfirmedAgainAfterHundredsOfOthersAndPowerLoss() {
    SimulatedCluster cluster = bootstrap(301, 4, 4, 1);
    sendMany(cluster, 0, 600);
    SimulatedNode node = cluster.node("n2:1");

    for (int round = 0; round < 2; round++) {
      assertEquals(200, send(cluster, node, write(0, 1, "s0")));
      assertEquals(200, send(cluster, node, write(535, 536, "s535")));
      assertEquals(
          412, send(cluster, node, write(0, 1, "another")), "the same revision, another content");
      assertEquals(412, send(cluster, node, write(1, 2, "s0")), "the same content on another base");

      cluster.nodes.forEach(SimulatedNode::losePower);
      cluster.world.run(SECOND_MICROS);
      cluster.nodes.forEach(SimulatedNode::start);
      cluster.world.run(4 * SECOND_MICROS);
    }

    assertNoViolations(cluster);
  }

  /**
   * A primary is frozen while another one leads and accepts writes, and reads its sockets first
   * when it resumes: it decides nothing by its stale state. A write that it does not answer is sent
   * again to the new primary and confirmed.
   */
  @ParameterizedTest
  @ValueSource(longs = {311, 312, 313, 314, 315, 316})
  void resumedPrimaryAnswersNothingFromStaleState(long seed) {
    // given
    SimulatedCluster cluster = bootstrap(seed, seed % 2 == 0 ? 4 : 5, 4, seed % 2 == 0 ? 1 : 2);
    sendMany(cluster, 0, 3);
    SimulatedNode formerPrimary = cluster.primary();
    formerPrimary.agent.ask(
        ControlRequests.acquireKeyLock("k", "t", "h"), 600_000, 200_000, reply -> {});
    cluster.world.run(cluster.world.random.nextInt(700_000));
    formerPrimary.freeze();
    cluster.world.run(3 * SECOND_MICROS + cluster.world.random.nextInt(2_000_000));
    assertNotNull(cluster.primary(), cluster::recentEvents);
    assertNotSame(formerPrimary, cluster.primary());
    sendMany(cluster, 3, 2);
    assertTrue(formerPrimary.agent.leading(), "it cannot know of the new epoch yet");

    // when
    for (WireRecord request : requestsOfEveryKind()) {
      formerPrimary.agent.onMessage(PROBE, request.with("rid", 1));
    }
    formerPrimary.resume();
    cluster.world.run(2 * SECOND_MICROS);

    // then
    assertFalse(formerPrimary.agent.leading());
    assertNull(
        cluster.world.network.traffic.get(PROBE),
        () -> "it has answered\n" + cluster.recentEvents());
    cluster.checker.writeSent(6);
    assertEquals(200, send(cluster, formerPrimary, write(5, 6, "next")), cluster::recentEvents);
    assertNoViolations(cluster);
  }

  private static List<WireRecord> requestsOfEveryKind() {
    return List.of(
        write(5, 6, "next"),
        write(3, 5, "low"),
        write(3, 2, "lower"),
        write(0, 1, "s0"),
        ControlRequests.readConfiguration(),
        ControlRequests.drainStorageNode("store"),
        ControlRequests.storageNodeDrained("store"),
        ControlRequests.forwardHeartbeats(List.of()),
        ControlRequests.acquireKeyLock("k", "t", "h"),
        ControlRequests.acquireKeyLock("k", "t2", "h2"),
        ControlRequests.releaseKeyLock("k3", "t3"));
  }

  /** Concurrent requests wait for one exchange, and a lost one is repeated. */
  @Test
  void concurrentRequestsShareLeadershipProofs() {
    SimulatedCluster cluster = bootstrap(321, 4, 4, 1);
    sendMany(cluster, 0, 1);
    SimulatedNode primary = cluster.primary();
    cluster.world.run(SECOND_MICROS);

    final long messagesBefore = cluster.world.network.traffic.get(primary.address).messages();
    int[] answered = {0};
    for (int i = 0; i < 200; i++) {
      primary.agent.ask(
          ControlRequests.readConfiguration(),
          REQUEST_TIMEOUT_MICROS,
          950_000,
          reply -> answered[0] += reply == null ? 0 : 1);
    }
    cluster.world.run(SECOND_MICROS);

    assertEquals(200, answered[0]);
    // Each request and each answer counts twice, as the node sends both to itself.
    long proofMessages =
        cluster.world.network.traffic.get(primary.address).messages() - messagesBefore - 4 * 200;
    assertTrue(
        proofMessages < 100,
        () -> proofMessages + " messages beside the requests themselves in a second");
    assertToleratesMessageLoss(cluster);
  }

  private static void assertToleratesMessageLoss(SimulatedCluster cluster) {
    cluster.world.network.lossProbability = 0.2;
    int[] answered = {0};
    for (int i = 0; i < 50; i++) {
      cluster
          .node("n" + (i % 4 + 1) + ":1")
          .agent
          .ask(
              ControlRequests.readConfiguration(),
              REQUEST_TIMEOUT_MICROS,
              100_000,
              reply -> answered[0] += reply == null ? 0 : 1);
      cluster.world.run(100_000);
    }
    cluster.world.run(SECOND_MICROS);
    assertTrue(
        answered[0] >= 40,
        () ->
            answered[0]
                + " of 50 reads with a fifth of all messages lost\n"
                + cluster.recentEvents());
  }
}
