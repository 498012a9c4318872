package org.otterpond.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.otterpond.simulation.ClusterFixture.SECOND_MICROS;

import java.util.List;
import org.otterpond.replication.GroupConfiguration;

/** A cluster with storage nodes to which producers send messages. */
final class MessageFixture {
  private static final int PARTITIONS = 32;
  private static final int REPLICAS = 3;

  final SimulatedCluster cluster;
  final SimulatedWorld world;
  final MessageInvariantChecker checker;
  private final SimulatedProducers producers;

  /** Starts a cluster in which producers already have their first messages accepted. */
  MessageFixture(long seed, int storageSize, int maxFailures) {
    cluster = new SimulatedCluster(seed, 4, 3, maxFailures);
    world = cluster.world;
    checker = new MessageInvariantChecker(world);
    producers = new SimulatedProducers(cluster, checker);
    for (int i = 1; i <= storageSize; i++) {
      SimulatedNode node = cluster.addStorageNode("s" + i + ":1", checker);
      world.schedule(world.random.nextInt(1_500_000), node::start);
    }
    world.run(10 * SECOND_MICROS);
    cluster.operator.change(() -> {});
    world.run(2 * SECOND_MICROS);
    producers.start();
    world.run(SECOND_MICROS);
    assertFalse(
        checker.accepted.isEmpty(), () -> "no message is accepted\n" + cluster.recentEvents());
  }

  /** Ends the traffic; what is in flight is accepted or rejected afterwards. */
  void stopTraffic() {
    producers.stop();
    world.run(2 * SECOND_MICROS);
  }

  /** Sends messages that are not to run before a delay is over; they are accepted soon after. */
  void sendDelayed(int count, long delayMicros) {
    int before = checker.accepted.size();
    producers.sendDelayed(count, delayMicros);
    world.run(SECOND_MICROS);
    assertEquals(before + count, checker.accepted.size(), cluster::recentEvents);
  }

  /**
   * Ends all faults and asserts that every accepted message has ended and its end is stored, and
   * that no node found one that nothing would move on.
   */
  void assertNothingLost() {
    ClusterFixture.healNetwork(cluster);
    ClusterFixture.resumeAndStart(cluster.nodes);
    world.run(5 * SECOND_MICROS);
    producers.stop();
    world.run(8 * SECOND_MICROS);
    checker.checkAllEnded();
    producers.queryAll();
    world.run(6 * SECOND_MICROS);
    assertEquals(List.of(), checker.violations, this::describeUnservedPartitions);
    for (SimulatedNode node : cluster.storageNodes) {
      assertEquals(0, node.messageStore.figures().get("stranded"), node.address);
    }
  }

  /** What the storage nodes know of the partitions that none of them serves. */
  private String describeUnservedPartitions() {
    StringBuilder text = new StringBuilder(cluster.recentEvents()).append("\n");
    List<SimulatedNode> running =
        cluster.storageNodes.stream().filter(SimulatedNode::isRunning).toList();
    for (int partition = 0; partition < PARTITIONS; partition++) {
      int id = partition;
      if (running.stream().noneMatch(node -> serves(node, id))) {
        for (SimulatedNode node : running) {
          text.append(node.address).append(" ").append(node.messageStore.describe(id)).append("\n");
        }
      }
    }
    return text.toString();
  }

  private static boolean serves(SimulatedNode node, int partition) {
    return node.messageStore.describe(partition) != null && node.messageStore.serves(partition);
  }

  /** Asserts that every partition has all its replicas. */
  void assertFullyReplicated() {
    for (GroupConfiguration group : cluster.coreNodes.get(0).partitions.values()) {
      assertTrue(
          group.members().containsAll(group.wanted()) && group.wanted().size() == REPLICAS,
          () -> group + "\n" + cluster.recentEvents());
    }
  }
}
