package org.otterpond.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.otterpond.protocol.CompressedPayload;
import org.otterpond.protocol.WireRecord;

/**
 * A node some versions behind is sent the changes in their order, and the whole text only if it
 * cannot use them.
 */
class ConfigurationDeliveryTest {
  private static final long SECOND_MICROS = 1_000_000;
  private static final int SERVICES = 2_000;

  /** Some 2,000 services under names that do not pack into nothing. */
  private static SimulatedCluster configured() {
    SimulatedCluster cluster = new SimulatedCluster(601, 3, 3, 1);
    StringBuilder s = new StringBuilder("[");
    for (int i = 0; i < SERVICES; i++) {
      s.append(i == 0 ? "" : ",")
          .append("{\"name\":\"s")
          .append(Long.toHexString(i * 0x9e3779b97f4a7c15L))
          .append("\"}");
    }
    cluster.operator.services = s.append("]").toString();
    cluster.world.run(9 * SECOND_MICROS);
    assertNotNull(cluster.primary(), cluster::recentEvents);
    cluster.operator.change(() -> {});
    cluster.world.run(2 * SECOND_MICROS);
    assertEquals(1, cluster.checker.acknowledgements);
    return cluster;
  }

  private static long modified(SimulatedCluster cluster, long base, int times) {
    for (int i = 0; i < times; i++) {
      long from = base + i;
      cluster.world.schedule(
          i * 100_000L,
          () ->
              cluster
                  .primary()
                  .agent
                  .ask(
                      new WireRecord("ask")
                          .with("op", "write")
                          .with("kind", "modify")
                          .with("base", from)
                          .with(
                              "text",
                              CompressedPayload.pack(
                                  "{\"revision\":"
                                      + (from + 1)
                                      + ",\"upsert_items\":{\"service_table\":[{\"name\":\"added-"
                                      + from
                                      + "\"}]}}")),
                      900_000,
                      250_000,
                      r -> assertEquals(200, r.number("status"), () -> r.text("cause"))));
    }
    cluster.world.run(times * 100_000L + SECOND_MICROS);
    return base + times;
  }

  @Test
  void nodeThatMissedAFewChangesIsSentThese() {
    SimulatedCluster cluster = configured();
    SimulatedNode away = cluster.node("n3:1");
    long base = away.agent.revision();
    cluster.world.network.isolate(away.address);
    long newest = modified(cluster, base, 6);
    assertEquals(base, away.agent.revision());
    cluster.world.network.heal();
    long before = cluster.world.network.traffic.get(away.address).bytes();
    cluster.world.run(2 * SECOND_MICROS);
    assertEquals(newest, away.agent.revision());
    assertEquals(SERVICES + 6, away.configuration.services().size());
    long bytes = cluster.world.network.traffic.get(away.address).bytes() - before;
    assertTrue(bytes < 15_000, () -> bytes + " bytes for six small changes");
  }

  @Test
  void nodeThatMissedMoreThanTheLogHoldsIsSentTheWhole() {
    SimulatedCluster cluster = configured();
    SimulatedNode away = cluster.node("n3:1");
    long base = away.agent.revision();
    cluster.world.network.isolate(away.address);
    long newest = modified(cluster, base, 40);
    cluster.world.network.heal();
    cluster.world.run(2 * SECOND_MICROS);
    assertEquals(newest, away.agent.revision());
    assertEquals(SERVICES + 40, away.configuration.services().size());
    away.kill();
    away.start();
    cluster.world.run(SECOND_MICROS);
    assertEquals(newest, away.agent.revision(), "a node that holds nothing");
  }
}
