package org.otterpond.control.primary;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.otterpond.control.epoch.ManualRuntime;

class DrainAcknowledgementsTest {
  private final ManualRuntime runtime = new ManualRuntime();
  private long knownVersion;
  private int acknowledged;
  private final DrainAcknowledgements drains =
      new DrainAcknowledgements(runtime, () -> knownVersion);

  private Runnable awaitVersion(long version) {
    return drains.await(version, () -> acknowledged++);
  }

  @Test
  void givenCommittedDrain_whenAllNodesKnowIt_thenItIsAcknowledgedOnce() {
    // given
    drains.began();
    runtime.run(500_000);
    Runnable committed = awaitVersion(7);
    committed.run();
    assertEquals(0, acknowledged, "not known everywhere");

    // when
    knownVersion = 7;
    drains.sendDue();
    drains.sendDue();

    // then
    assertEquals(1, acknowledged);
  }

  @Test
  void givenUncommittedDrain_whenAllNodesKnowItAndTimePasses_thenItIsNotAcknowledged() {
    drains.began();
    awaitVersion(7);
    knownVersion = 7;
    runtime.run(5_000_000);
    drains.sendDue();
    assertEquals(0, acknowledged);
  }

  @Test
  void givenCommittedDrain_whenNodeStaysSilent_thenItIsAcknowledgedAfterTimeout() {
    // given
    drains.began();
    awaitVersion(7).run();

    // when, then
    runtime.run(800_000);
    drains.sendDue();
    assertEquals(0, acknowledged);
    runtime.run(1);
    drains.sendDue();
    assertEquals(1, acknowledged);
  }

  @Test
  void givenNewEpoch_whenNodesHaveNotAllPolled_thenDrainIsNotAcknowledgedYet() {
    drains.began();
    knownVersion = Long.MAX_VALUE;
    awaitVersion(7).run();
    assertEquals(0, acknowledged);
  }
}
