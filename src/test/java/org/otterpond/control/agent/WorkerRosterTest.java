package org.otterpond.control.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.otterpond.control.agent.RecordingRuntime.SECONDS;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.otterpond.control.state.WorkerInstance;
import org.otterpond.control.state.WorkerState;

class WorkerRosterTest {
  private final RecordingRuntime runtime = new RecordingRuntime();
  private final List<WorkerInstance> changes = new ArrayList<>();
  private final WorkerRoster roster = new WorkerRoster(runtime, changes::add);

  static WorkerInstance worker(String id, WorkerState state, long sequence) {
    return new WorkerInstance(id, "s", "10.0.0.1:80", "z", "v1", 4, state, sequence, 0);
  }

  @Test
  void heartbeatWithoutChangeIsKeptButNotPassedOn() {
    roster.merge(worker("w1", WorkerState.IN_SERVICE, 1));

    roster.merge(worker("w1", WorkerState.IN_SERVICE, 2));

    assertEquals(2, roster.get("w1").sequence());
    assertEquals(1, changes.size());
  }

  @Test
  void lateHeartbeatDoesNotBringAnEndedInstanceBack() {
    roster.merge(worker("w1", WorkerState.IN_SERVICE, 1));
    roster.merge(worker("w1", WorkerState.GONE, 3));

    roster.merge(worker("w1", WorkerState.IN_SERVICE, 2));

    assertEquals(WorkerState.GONE, roster.get("w1").state());
  }

  @Test
  void endedInstanceIsForgottenAfterItsTombstoneTime() {
    roster.merge(worker("w1", WorkerState.GONE, 1));

    runtime.run(30 * SECONDS);
    roster.removeTombstones(runtime.now());
    assertNotNull(roster.get("w1"));
    runtime.run(1);
    roster.removeTombstones(runtime.now());

    assertNull(roster.get("w1"));
  }

  @Test
  void onlyWhatThePrimaryDoesNotKnowIsReported() {
    WorkerInstance same = worker("w1", WorkerState.IN_SERVICE, 1);
    WorkerInstance draining = worker("w2", WorkerState.DRAINING, 2);
    WorkerInstance missing = worker("w3", WorkerState.IN_SERVICE, 1);
    WorkerInstance ended = worker("w4", WorkerState.GONE, 1);
    List.of(same, draining, missing, ended).forEach(roster::merge);

    roster.compareWith(Map.of("w1", same, "w2", worker("w2", WorkerState.IN_SERVICE, 1)));

    assertEquals(List.of(draining, missing), roster.takeUnreported());
    assertTrue(roster.takeUnreported().isEmpty());
  }

  @Test
  void checksumDoesNotCountEndedInstances() {
    roster.merge(worker("w1", WorkerState.IN_SERVICE, 1));
    final long withOneWorker = roster.checksum();

    roster.merge(worker("w2", WorkerState.GONE, 1));

    assertEquals(withOneWorker, roster.checksum());
  }

  @Test
  void nodesForSlowStartComeFromThePrimaryAndNotFromHeartbeats() {
    WorkerInstance cold =
        worker("w1", WorkerState.IN_SERVICE, 1).withSlowStartEnd(runtime.now() + 3 * SECONDS);
    roster.merge(cold);
    roster.mergeFromPrimary(cold.withSlowStartNodes(List.of("n1", "n2")));
    assertEquals(List.of("n1", "n2"), roster.get("w1").slowStartNodes());

    roster.merge(
        worker("w1", WorkerState.IN_SERVICE, 2).withSlowStartEnd(runtime.now() + 3 * SECONDS));
    assertEquals(List.of("n1", "n2"), roster.get("w1").slowStartNodes());

    roster.mergeFromPrimary(cold.withSlowStartNodes(List.of("n1", "n3")));
    assertEquals(List.of("n1", "n3"), roster.get("w1").slowStartNodes());
    assertEquals(2, roster.get("w1").sequence());
    assertEquals(3, changes.size());
  }

  // Guards against nodes that report every worker that once was in slow start after each takeover.
  @Test
  void slowStartThatIsOverIsNoNewsForThePrimary() {
    WorkerInstance cold =
        worker("w1", WorkerState.IN_SERVICE, 1).withSlowStartEnd(runtime.now() + 3 * SECONDS);
    roster.merge(cold);
    runtime.run(2 * SECONDS);
    roster.compareWith(Map.of("w1", cold.withSlowStartEnd(0)));
    assertEquals(1, roster.takeUnreported().size());

    runtime.run(2 * SECONDS);
    roster.compareWith(Map.of("w1", cold.withSlowStartEnd(0)));
    assertTrue(roster.takeUnreported().isEmpty());
  }
}
