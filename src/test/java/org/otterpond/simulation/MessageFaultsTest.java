package org.otterpond.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.otterpond.simulation.ClusterFixture.SECOND_MICROS;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Messages under faults of the storage nodes, other ones for each seed. */
class MessageFaultsTest {
  @Test
  void withoutFaultsEveryMessageIsExecutedOnce() {
    MessageFixture messages = new MessageFixture(1, 5, 2);
    messages.checker.requiresSingleExecution = true;

    messages.world.run(6 * SECOND_MICROS);

    messages.assertNothingLost();
    messages.assertFullyReplicated();
    long open =
        messages.checker.accepted.values().stream().filter(message -> !message.hasEnded()).count();
    assertEquals(0, open);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14})
  void nothingAcceptedIsLostWhileTwoFailAtOnce(long seed) {
    MessageFixture messages = new MessageFixture(seed, 6, 2);
    SimulatedWorld world = messages.world;

    for (int i = 0; i < 5; i++) {
      List<SimulatedNode> nodes = messages.cluster.storageNodes;
      SimulatedNode first = nodes.get(world.random.nextInt(nodes.size()));
      SimulatedNode second = nodes.get(world.random.nextInt(nodes.size()));
      injectRandomFault(messages.cluster, first);
      world.run(world.random.nextInt(900_000));
      if (first != second) {
        injectRandomFault(messages.cluster, second);
      }
      world.run(SECOND_MICROS + world.random.nextInt(2_000_000));
      world.network.heal();
      ClusterFixture.resumeAndStart(nodes);
      world.run(6 * SECOND_MICROS);
    }

    messages.assertNothingLost();
    messages.assertFullyReplicated();
  }

  /** Pauses about as long as the lease of a primary, in series: it ends and is renewed at once. */
  @ParameterizedTest
  @ValueSource(longs = {31, 32, 33, 34})
  void nothingIsStrandedWhenStoreIsPausedShortlyAndOften(long seed) {
    MessageFixture messages = new MessageFixture(seed, 5, 2);
    SimulatedWorld world = messages.world;

    for (int i = 0; i < 12; i++) {
      List<SimulatedNode> nodes = messages.cluster.storageNodes;
      nodes.get(world.random.nextInt(2)).freeze();
      world.run(300_000 + world.random.nextInt(400_000));
      ClusterFixture.resumeAndStart(nodes);
      world.run(world.random.nextInt(1_200_000));
    }

    messages.assertNothingLost();
  }

  private static void injectRandomFault(SimulatedCluster cluster, SimulatedNode node) {
    Random random = cluster.world.random;
    switch (random.nextInt(5)) {
      case 0 -> node.kill();
      case 1 -> node.losePower();
      case 2 -> {
        node.losePower();
        node.segmentStore.wipe();
      }
      case 3 -> node.freeze();
      default ->
          cluster.storageNodes.stream()
              .filter(other -> other != node)
              .forEach(other -> cluster.world.network.partition(node.address, other.address));
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {21, 22, 23, 24})
  void nothingAcceptedIsLostWhenAllLosePower(long seed) {
    MessageFixture messages = new MessageFixture(seed, 5, 2);
    messages.world.run(2 * SECOND_MICROS);

    messages.cluster.nodes.forEach(SimulatedNode::losePower);
    messages.world.run(SECOND_MICROS);

    messages.assertNothingLost();
  }

  @Test
  void checkerDetectsDisksThatAcknowledgeBeforeSync() {
    int detected = 0;
    for (long seed = 61; seed <= 64; seed++) {
      MessageFixture messages = new MessageFixture(seed, 4, 2);
      messages.cluster.storageNodes.forEach(
          node -> node.segmentStore.acknowledgesBeforeSync = true);
      messages.world.run(2 * SECOND_MICROS);

      messages.cluster.nodes.forEach(SimulatedNode::losePower);
      messages.world.run(SECOND_MICROS);

      try {
        messages.assertNothingLost();
      } catch (AssertionError e) {
        detected++;
      }
    }
    assertTrue(detected >= 3, "detected " + detected + " of 4");
  }
}
