package org.otterpond.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.otterpond.simulation.ClusterFixture.SECOND_MICROS;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.otterpond.protocol.WireRecord;
import org.otterpond.replication.GroupConfiguration;

/** Storage nodes that are added, retired or drained while messages are sent. */
class StorageNodeChangeTest {
  private static final long RETRY_MICROS = 250_000;

  @ParameterizedTest
  @ValueSource(longs = {31, 32, 33})
  void retiredStorageNodeIsEmptiedAndNothingRunsTwice(long seed) {
    MessageFixture messages = new MessageFixture(seed, 6, 2);
    messages.checker.requiresSingleExecution = true;
    SimulatedCluster cluster = messages.cluster;
    String address = "s" + (seed % 3 + 1) + ":1";
    SimulatedNode edge = cluster.coreNodes.get(0);

    long[] status = {0};
    edge.agent.ask(
        ControlRequests.drainStorageNode(address),
        SECOND_MICROS,
        RETRY_MICROS,
        reply -> status[0] = reply == null ? 0 : reply.number("status"));
    boolean[] emptied = {false};
    for (int i = 0; i < 40 && !emptied[0]; i++) {
      cluster.world.run(250_000);
      edge.agent.ask(
          ControlRequests.storageNodeDrained(address),
          SECOND_MICROS,
          RETRY_MICROS,
          reply -> emptied[0] |= reply != null && reply.truth("done"));
    }
    assertEquals(200, status[0]);
    assertTrue(emptied[0], () -> "not emptied\n" + cluster.recentEvents());

    SimulatedNode retired = cluster.node(address);
    retired.losePower();
    cluster.storageNodes.remove(retired);
    cluster.nodes.remove(retired);
    messages.assertNothingLost();
    messages.assertFullyReplicated();
  }

  /** The partitions that it leads are handed over first, and its executions in flight end. */
  @ParameterizedTest
  @ValueSource(longs = {35, 36})
  void drainingStorageNodeHandsOverAndNothingRunsTwice(long seed) {
    MessageFixture messages = new MessageFixture(seed, 6, 2);
    messages.checker.requiresSingleExecution = true;
    SimulatedNode draining = messages.cluster.storageNodes.get((int) (seed % 6));

    for (int i = 0; i < 30 && !draining.messageStore.isDrained(); i++) {
      draining.perform(draining.messageStore::retire);
      messages.world.run(100_000);
    }
    assertTrue(draining.messageStore.isDrained(), messages.cluster::recentEvents);

    messages.world.run(200_000);
    draining.kill();
    messages.world.run(2 * SECOND_MICROS);
    messages.assertNothingLost();
    messages.assertFullyReplicated();
  }

  @Test
  void retirementOfNeededOrUnknownNodeIsRejected() {
    MessageFixture messages = new MessageFixture(41, 3, 2);
    SimulatedNode edge = messages.cluster.coreNodes.get(0);
    List<WireRecord> requests =
        List.of(
            ControlRequests.drainStorageNode("s1:1"),
            ControlRequests.drainStorageNode("nobody"),
            ControlRequests.storageNodeDrained("s2:1"));

    long[] statuses = new long[requests.size()];
    for (int i = 0; i < statuses.length; i++) {
      int index = i;
      edge.agent.ask(
          requests.get(index),
          SECOND_MICROS,
          RETRY_MICROS,
          reply -> statuses[index] = reply.number("status"));
    }
    messages.world.run(2 * SECOND_MICROS);

    assertEquals(List.of(409L, 404L, 404L), List.of(statuses[0], statuses[1], statuses[2]));
  }

  @Test
  void addedStorageNodesTakeTheirShareOfPartitions() {
    MessageFixture messages = new MessageFixture(51, 4, 2);
    messages.checker.requiresSingleExecution = true;

    for (int i = 5; i <= 6; i++) {
      messages.cluster.addStorageNode("s" + i + ":1", messages.checker).startWithoutBootstrap();
    }
    messages.world.run(14 * SECOND_MICROS);

    messages.assertNothingLost();
    long held =
        messages.cluster.coreNodes.get(0).partitions.values().stream()
            .filter(group -> isMember(group, "s6:1"))
            .count();
    assertTrue(held >= 8, () -> held + " partitions\n" + messages.cluster.recentEvents());
    messages.assertFullyReplicated();
  }

  private static boolean isMember(GroupConfiguration group, String address) {
    return group.members().stream()
        .anyMatch(member -> GroupConfiguration.addressOf(member).equals(address));
  }
}
