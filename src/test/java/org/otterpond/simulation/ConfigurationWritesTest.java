package org.otterpond.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.otterpond.protocol.CompressedPayload;
import org.otterpond.protocol.WireRecord;

/**
 * Orders that come again, and orders that meet a primary which does not know yet that it is one no
 * more.
 */
class ConfigurationWritesTest {
  private static final long SECOND_MICROS = 1_000_000;

  /** An address at which nobody listens: what is sent there is only counted. */
  private static final String PROBE = "probe:1";

  private static SimulatedCluster founded(long seed, int disks, int faults) {
    SimulatedCluster cluster = new SimulatedCluster(seed, disks, 4, faults);
    cluster.world.run(9 * SECOND_MICROS);
    assertNotNull(cluster.primary(), cluster::recentEvents);
    return cluster;
  }

  private static WireRecord order(long base, long revision, String name) {
    return new WireRecord("ask")
        .with("op", "write")
        .with("kind", "replace")
        .with("base", base)
        .with(
            "text",
            CompressedPayload.pack(
                "{\"revision\":"
                    + revision
                    + ",\"route_table\":[],\"service_table\":[{\"name\":\""
                    + name
                    + "\"}]}"));
  }

  /** The answer to an order given at a node, or 0 if none is clear. */
  private int give(SimulatedCluster cluster, SimulatedNode at, WireRecord order) {
    int[] status = {0};
    at.agent.ask(
        order, 900_000, 250_000, r -> status[0] = r == null ? 0 : (int) r.number("status"));
    cluster.world.run(SECOND_MICROS);
    return status[0];
  }

  private static void sendMany(SimulatedCluster cluster, long from, int count) {
    SimulatedNode at = cluster.node("n1:1");
    for (long base = from; base < from + count; base++) {
      cluster.checker.writeSent(base + 1);
      int[] status = {0};
      at.agent.ask(
          order(base, base + 1, "s" + base),
          900_000,
          250_000,
          r -> status[0] = r == null ? 0 : (int) r.number("status"));
      for (int i = 0; i < 40 && status[0] == 0; i++) {
        cluster.world.run(25_000);
      }
      assertEquals(200, status[0], cluster::recentEvents);
    }
  }

  @Test
  void orderThatWasTakenIsConfirmedAgainAfterHundredsOfOthersAndALossOfAllPower() {
    SimulatedCluster cluster = founded(301, 4, 1);
    sendMany(cluster, 0, 600);
    SimulatedNode at = cluster.node("n2:1");
    for (int round = 0; round < 2; round++) {
      assertEquals(200, give(cluster, at, order(0, 1, "s0")));
      assertEquals(200, give(cluster, at, order(535, 536, "s535")));
      assertEquals(
          412, give(cluster, at, order(0, 1, "another")), "the same number, another change");
      assertEquals(412, give(cluster, at, order(1, 2, "s0")), "the same contents on another base");
      cluster.nodes.forEach(SimulatedNode::losePower);
      cluster.world.run(SECOND_MICROS);
      cluster.nodes.forEach(SimulatedNode::start);
      cluster.world.run(4 * SECOND_MICROS);
    }
    assertEquals(List.of(), cluster.checker.violations, cluster::recentEvents);
  }

  /**
   * A primary stands still while another leads and takes changes, and reads its sockets first when
   * it wakes: it gives no verdict by what it held. What it does not answer is asked again of
   * whoever leads, and taken.
   */
  @ParameterizedTest
  @ValueSource(longs = {311, 312, 313, 314, 315, 316})
  void primaryThatWakesAnswersNothingByOldState(long seed) {
    SimulatedCluster cluster = founded(seed, seed % 2 == 0 ? 4 : 5, seed % 2 == 0 ? 1 : 2);
    sendMany(cluster, 0, 3);
    SimulatedNode before = cluster.primary();
    before.agent.ask(
        new WireRecord("ask")
            .with("op", "claim")
            .with("key", "k")
            .with("token", "t")
            .with("holder", "h"),
        600_000,
        200_000,
        r -> {});
    cluster.world.run(cluster.world.random.nextInt(700_000));
    before.freeze();
    cluster.world.run(3 * SECOND_MICROS + cluster.world.random.nextInt(2_000_000));
    SimulatedNode after = cluster.primary();
    assertNotNull(after, cluster::recentEvents);
    assertNotSame(before, after);
    sendMany(cluster, 3, 2);
    assertTrue(before.agent.leading(), "it cannot know yet");
    for (WireRecord ask :
        List.of(
            order(5, 6, "next"),
            order(3, 5, "low"),
            order(3, 2, "lower"),
            order(0, 1, "s0"),
            new WireRecord("ask").with("op", "read"),
            new WireRecord("ask").with("op", "retire").with("node", "store"),
            new WireRecord("ask").with("op", "retired").with("node", "store"),
            new WireRecord("ask").with("op", "beats").withRecords("beats", List.of()),
            new WireRecord("ask")
                .with("op", "claim")
                .with("key", "k")
                .with("token", "t")
                .with("holder", "h"),
            new WireRecord("ask")
                .with("op", "claim")
                .with("key", "k")
                .with("token", "t2")
                .with("holder", "h2"),
            new WireRecord("ask").with("op", "free").with("key", "k3").with("token", "t3"))) {
      before.agent.onMessage(PROBE, ask.with("rid", 1));
    }
    before.resume();
    cluster.world.run(2 * SECOND_MICROS);
    assertFalse(before.agent.leading());
    assertNull(
        cluster.world.network.traffic.get(PROBE),
        () -> "it said something\n" + cluster.recentEvents());
    cluster.checker.writeSent(6);
    assertEquals(200, give(cluster, before, order(5, 6, "next")), cluster::recentEvents);
    assertEquals(List.of(), cluster.checker.violations, cluster::recentEvents);
  }

  /**
   * The proof costs one exchange at a time, however many wait for it, and a lost question is made
   * good.
   */
  @Test
  void manyWhoAskAtOnceShareTheProofs() {
    SimulatedCluster cluster = founded(321, 4, 1);
    sendMany(cluster, 0, 1);
    SimulatedNode leader = cluster.primary();
    cluster.world.run(SECOND_MICROS);
    long before = cluster.world.network.traffic.get(leader.address).messages();
    int[] read = {0};
    for (int i = 0; i < 200; i++) {
      leader.agent.ask(
          new WireRecord("ask").with("op", "read"),
          900_000,
          950_000,
          r -> read[0] += r == null ? 0 : 1);
    }
    cluster.world.run(SECOND_MICROS);
    assertEquals(200, read[0]);
    // Each ask and answer goes through the simulated network though it stays on the machine.
    long proofs = cluster.world.network.traffic.get(leader.address).messages() - before - 4 * 200;
    assertTrue(proofs < 100, () -> proofs + " messages beside the asks themselves in a second");
    cluster.world.network.lossProbability = 0.2;
    int[] clear = {0};
    for (int i = 0; i < 50; i++) {
      cluster
          .node("n" + (i % 4 + 1) + ":1")
          .agent
          .ask(
              new WireRecord("ask").with("op", "read"),
              900_000,
              100_000,
              r -> clear[0] += r == null ? 0 : 1);
      cluster.world.run(100_000);
    }
    cluster.world.run(SECOND_MICROS);
    assertTrue(
        clear[0] >= 40,
        () ->
            clear[0] + " of 50 reads with a fifth of all messages lost\n" + cluster.recentEvents());
  }
}
