package org.otterpond.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.otterpond.simulation.ClusterFixture.SECOND_MICROS;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A delay goes on while processes restart, partitions are taken over and copied, and clocks jump: a
 * message starts neither before its time nor long after.
 */
class DelaysOverRestartTest {
  private static final int MESSAGES = 60;
  private static final long DELAY_MICROS = 20 * SECOND_MICROS;
  private static final long LATENESS_MICROS = 4 * SECOND_MICROS;
  private static final long MAX_CLOCK_ERROR_MICROS = 3 * SECOND_MICROS;

  /** What happens to the stores within the delay. */
  private enum Disturbance {
    ALL_PROCESSES_END,
    ALL_LOSE_POWER,
    ONE_PROCESS_ENDS,
    ONE_DISK_IS_LOST,
    ONE_IS_SUSPENDED,
    ALL_ARE_SUSPENDED
  }

  private static void disturb(List<SimulatedNode> stores, Disturbance disturbance) {
    SimulatedNode one = stores.get(0);
    switch (disturbance) {
      case ALL_PROCESSES_END -> stores.forEach(SimulatedNode::kill);
      case ALL_LOSE_POWER -> stores.forEach(SimulatedNode::losePower);
      case ONE_PROCESS_ENDS -> one.kill();
      case ONE_DISK_IS_LOST -> {
        one.losePower();
        one.segmentStore.wipe();
      }
      case ONE_IS_SUSPENDED -> one.freeze();
      case ALL_ARE_SUSPENDED -> stores.forEach(SimulatedNode::freeze);
      default -> throw new IllegalArgumentException(disturbance.name());
    }
  }

  private static MessageFixture withDelayedMessages(long seed) {
    MessageFixture messages = new MessageFixture(seed, 3, 1);
    messages.stopTraffic();
    jumpClocks(messages);
    messages.sendDelayed(MESSAGES, DELAY_MICROS);
    return messages;
  }

  /** Clocks differ from machine to machine, and jump in both directions. */
  private static void jumpClocks(MessageFixture messages) {
    for (SimulatedNode node : messages.cluster.storageNodes) {
      node.clockErrorMicros =
          messages.world.random.nextLong(-MAX_CLOCK_ERROR_MICROS, MAX_CLOCK_ERROR_MICROS);
    }
  }

  private static void assertStartedInTime(MessageFixture messages) {
    messages.checker.checkStartedWithin(LATENESS_MICROS);
    assertEquals(List.of(), messages.checker.violations, messages.cluster::recentEvents);
  }

  @ParameterizedTest
  @EnumSource(Disturbance.class)
  void givenDelayedMessages_whenDisturbedLateInTheDelay_thenTheyStartInTime(
      Disturbance disturbance) {
    MessageFixture messages = withDelayedMessages(71);

    messages.world.run(16 * SECOND_MICROS);
    disturb(messages.cluster.storageNodes, disturbance);
    jumpClocks(messages);
    messages.world.run(SECOND_MICROS);
    ClusterFixture.resumeAndStart(messages.cluster.storageNodes);
    messages.world.run(2 * SECOND_MICROS + LATENESS_MICROS + SECOND_MICROS);

    assertStartedInTime(messages);
  }

  @ParameterizedTest
  @ValueSource(longs = {81, 82})
  void givenDelayedMessages_whenAllRestartAgainAndAgain_thenTheyStartInTime(long seed) {
    MessageFixture messages = withDelayedMessages(seed);

    for (int i = 0; i < 5; i++) {
      messages.world.run(2 * SECOND_MICROS);
      messages.cluster.storageNodes.forEach(SimulatedNode::kill);
      jumpClocks(messages);
      messages.world.run(SECOND_MICROS + messages.world.random.nextInt(400_000));
      ClusterFixture.resumeAndStart(messages.cluster.storageNodes);
    }
    messages.world.run(4 * SECOND_MICROS + LATENESS_MICROS + SECOND_MICROS);

    assertStartedInTime(messages);
  }

  /** After a restart the newest entries are reconciled anew, then other replicas take over. */
  @ParameterizedTest
  @ValueSource(longs = {85, 86, 87})
  void givenDelayedMessages_whenAllRestartAndThenOthersLead_thenTheyStartInTime(long seed) {
    MessageFixture messages = withDelayedMessages(seed);
    List<SimulatedNode> stores = messages.cluster.storageNodes;

    messages.world.run(12 * SECOND_MICROS);
    stores.forEach(SimulatedNode::kill);
    messages.world.run(SECOND_MICROS);
    ClusterFixture.resumeAndStart(stores);
    messages.world.run(2 * SECOND_MICROS);
    for (SimulatedNode store : stores) {
      store.kill();
      messages.world.run(SECOND_MICROS);
      store.start();
      messages.world.run(SECOND_MICROS / 2);
    }
    messages.world.run(2 * SECOND_MICROS + LATENESS_MICROS);

    assertStartedInTime(messages);
  }

  @Test
  void givenDelayedMessages_whenAllAreDownForLongerThanTheDelay_thenTheyStartAtOnce() {
    MessageFixture messages = withDelayedMessages(91);

    messages.cluster.storageNodes.forEach(SimulatedNode::losePower);
    messages.world.run(3 * DELAY_MICROS);
    ClusterFixture.resumeAndStart(messages.cluster.storageNodes);
    messages.world.run(LATENESS_MICROS);

    assertStartedInTime(messages);
  }
}
