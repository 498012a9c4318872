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
  private static final long S = 1_000_000;
  private static final int SERVICES = 2_000;

  /** Some 2,000 services under names that do not pack into nothing. */
  private static SimulatedCluster configured() {
    SimulatedCluster f = new SimulatedCluster(601, 3, 3, 1);
    StringBuilder s = new StringBuilder("[");
    for (int i = 0; i < SERVICES; i++) {
      s.append(i == 0 ? "" : ",")
          .append("{\"name\":\"s")
          .append(Long.toHexString(i * 0x9e3779b97f4a7c15L))
          .append("\"}");
    }
    f.services = s.append("]").toString();
    f.world.run(9 * S);
    assertNotNull(f.leader(), () -> f.tail());
    f.change(() -> {});
    f.world.run(2 * S);
    assertEquals(1, f.checker.acknowledgements);
    return f;
  }

  private static long modified(SimulatedCluster f, long base, int times) {
    for (int i = 0; i < times; i++) {
      long from = base + i;
      f.world.at(
          i * 100_000L,
          () ->
              f.leader()
                  .node
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
    f.world.run(times * 100_000L + S);
    return base + times;
  }

  @Test
  void nodeThatMissedAFewChangesIsSentThese() {
    SimulatedCluster f = configured();
    SimulatedNode away = f.world.nodes.get("n3:1");
    long base = away.node.revision();
    f.world.cutOff(away.address);
    long newest = modified(f, base, 6);
    assertEquals(base, away.node.revision());
    f.world.heal();
    long before = f.world.traffic.get(away.address)[1];
    f.world.run(2 * S);
    assertEquals(newest, away.node.revision());
    assertEquals(SERVICES + 6, away.configuration.services().size());
    long bytes = f.world.traffic.get(away.address)[1] - before;
    assertTrue(bytes < 15_000, () -> bytes + " bytes for six small changes");
  }

  @Test
  void nodeThatMissedMoreThanTheLogHoldsIsSentTheWhole() {
    SimulatedCluster f = configured();
    SimulatedNode away = f.world.nodes.get("n3:1");
    long base = away.node.revision();
    f.world.cutOff(away.address);
    long newest = modified(f, base, 40);
    f.world.heal();
    f.world.run(2 * S);
    assertEquals(newest, away.node.revision());
    assertEquals(SERVICES + 40, away.configuration.services().size());
    away.kill();
    away.start();
    f.world.run(S);
    assertEquals(newest, away.node.revision(), "a node that holds nothing");
  }
}
