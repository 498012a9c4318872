package org.otterpond.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.otterpond.simulation.ClusterFixture.SECOND_MICROS;

import org.junit.jupiter.api.Test;

/**
 * A node that lacks some revisions receives the changes in their order, and the whole configuration
 * only if it cannot use them.
 */
class ConfigurationDeliveryTest {
  private static final int SERVICES = 2_000;
  private static final long HASH_MULTIPLIER = 0x9e3779b97f4a7c15L;
  private static final long WRITE_INTERVAL_MICROS = 100_000;

  /** A cluster with 2,000 services under names that hardly compress. */
  private static SimulatedCluster configured() {
    SimulatedCluster cluster = new SimulatedCluster(601, 3, 3, 1);
    cluster.operator.services = services();
    cluster.world.run(9 * SECOND_MICROS);
    ClusterFixture.assertHasPrimary(cluster);
    cluster.operator.change(() -> {});
    cluster.world.run(2 * SECOND_MICROS);
    assertEquals(1, cluster.checker.acknowledgements);
    return cluster;
  }

  private static String services() {
    StringBuilder json = new StringBuilder("[");
    for (int i = 0; i < SERVICES; i++) {
      json.append(i == 0 ? "" : ",")
          .append("{\"name\":\"s")
          .append(Long.toHexString(i * HASH_MULTIPLIER))
          .append("\"}");
    }
    return json.append("]").toString();
  }

  /** Modifies the configuration so many times and returns the newest revision. */
  private static long modify(SimulatedCluster cluster, long base, int times) {
    for (int i = 0; i < times; i++) {
      long current = base + i;
      cluster.world.schedule(i * WRITE_INTERVAL_MICROS, () -> addService(cluster, current));
    }
    cluster.world.run(times * WRITE_INTERVAL_MICROS + SECOND_MICROS);
    return base + times;
  }

  private static void addService(SimulatedCluster cluster, long base) {
    String text =
        "{\"revision\":"
            + (base + 1)
            + ",\"upsert_items\":{\"service_table\":[{\"name\":\"added-"
            + base
            + "\"}]}}";
    cluster
        .primary()
        .agent
        .ask(
            ControlRequests.modifyConfiguration(base, text),
            900_000,
            250_000,
            reply -> assertEquals(200, reply.number("status"), () -> reply.text("cause")));
  }

  @Test
  void nodeThatMissedFewChangesReceivesThoseChanges() {
    SimulatedCluster cluster = configured();
    SimulatedNode node = cluster.node("n3:1");
    long base = node.agent.revision();
    cluster.world.network.isolate(node.address);
    final long newest = modify(cluster, base, 6);
    assertEquals(base, node.agent.revision());

    final long bytesBefore = cluster.world.network.traffic.get(node.address).bytes();
    cluster.world.network.heal();
    cluster.world.run(2 * SECOND_MICROS);

    assertEquals(newest, node.agent.revision());
    assertEquals(SERVICES + 6, node.configuration.services().size());
    long bytes = cluster.world.network.traffic.get(node.address).bytes() - bytesBefore;
    assertTrue(bytes < 15_000, () -> bytes + " bytes for six small changes");
  }

  @Test
  void nodeThatMissedMoreThanLogHoldsReceivesWholeConfiguration() {
    SimulatedCluster cluster = configured();
    SimulatedNode node = cluster.node("n3:1");
    long base = node.agent.revision();
    cluster.world.network.isolate(node.address);
    final long newest = modify(cluster, base, 40);

    cluster.world.network.heal();
    cluster.world.run(2 * SECOND_MICROS);
    assertEquals(newest, node.agent.revision());
    assertEquals(SERVICES + 40, node.configuration.services().size());

    node.kill();
    node.start();
    cluster.world.run(SECOND_MICROS);
    assertEquals(newest, node.agent.revision(), "a node without any revision");
  }
}
