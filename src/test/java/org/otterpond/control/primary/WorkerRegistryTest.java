package org.otterpond.control.primary;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.otterpond.control.state.WorkerInstance;
import org.otterpond.control.state.WorkerState;

class WorkerRegistryTest {
  private static final long HEARTBEAT = 1_000_000;
  private static final long TIMEOUT = 3_500_000;

  private final WorkerRegistry registry =
      new WorkerRegistry(HEARTBEAT, (worker, replaceMissing) -> worker.slowStartNodes());

  private static WorkerInstance worker(String id, String address, long sequence) {
    return new WorkerInstance(
        id, "svc", address, "z1", "v1", 4, WorkerState.IN_SERVICE, sequence, 0);
  }

  @Test
  void givenWorker_whenHeartbeatIsRepeated_thenTableDoesNotChange() {
    registry.reset(0);
    assertTrue(registry.update(worker("w1", "a1", 1), 0));
    long version = registry.version();
    assertFalse(registry.update(worker("w1", "a1", 2), 10));
    assertEquals(version, registry.version());
    assertEquals(List.of(), registry.newerThan(version));
  }

  @Test
  void givenOneSilentWorkerOfThree_whenTimeoutPasses_thenItIsLost() {
    // given
    registry.reset(0);
    for (String id : List.of("w1", "w2", "w3")) {
      registry.update(worker(id, id, 1), 0);
    }

    // when
    registry.update(worker("w2", "w2", 2), TIMEOUT);
    registry.update(worker("w3", "w3", 2), TIMEOUT);

    // then
    assertEquals(List.of(), registry.expire(TIMEOUT));
    List<WorkerInstance> lost = registry.expire(TIMEOUT + 1);
    assertEquals(List.of("w1"), lost.stream().map(WorkerInstance::id).toList());
    assertEquals(WorkerState.LOST, registry.get("w1").state());
  }

  @Test
  void givenMostWorkersSilent_whenTimeoutPasses_thenTheyAreLostLaterOnly() {
    registry.reset(0);
    registry.update(worker("w1", "a1", 1), 0);
    registry.update(worker("w2", "a2", 1), 0);
    assertEquals(List.of(), registry.expire(4 * TIMEOUT));
    assertEquals(2, registry.expire(4 * TIMEOUT + 1).size());
  }

  @Test
  void givenSilentWorker_whenAnotherAppearsAtItsAddress_thenItIsReplaced() {
    registry.reset(0);
    registry.update(worker("w1", "a1", 1), 0);
    registry.update(worker("w2", "a1", 1), TIMEOUT);
    assertEquals(WorkerState.LOST, registry.get("w1").state());
    assertTrue(registry.isReplaced(registry.get("w1")));
  }

  @Test
  void givenSlowStart_whenItsTimeHasPassed_thenItsEndIsReportedOnceAndNodesNeedNotKnow() {
    registry.reset(0);
    registry.update(worker("w1", "a1", 1).withSlowStartEnd(3_000_000), 0);
    assertEquals(List.of(), registry.refreshSlowStarts(2_999_999));
    long version = registry.version();

    List<WorkerInstance> ended = registry.refreshSlowStarts(3_000_000);

    assertEquals(List.of(registry.get("w1")), ended);
    assertEquals(0, ended.get(0).slowStartEndMicros());
    assertEquals(version, registry.version());
    assertEquals(List.of(), registry.refreshSlowStarts(3_100_000));
  }

  // Guards against the choice of an earlier primary that a node still holds and reports.
  @Test
  void givenNodesForSlowStart_whenOthersAreReported_thenTheTableKeepsItsOwn() {
    registry.reset(0);
    WorkerInstance cold = worker("w1", "a1", 1).withSlowStartEnd(3_000_000);
    registry.update(cold.withSlowStartNodes(List.of("n1")), 0);
    registry.update(worker("w1", "a1", 2).withSlowStartNodes(List.of("n2")), 10);
    assertEquals(List.of("n1"), registry.get("w1").slowStartNodes());
  }
}
