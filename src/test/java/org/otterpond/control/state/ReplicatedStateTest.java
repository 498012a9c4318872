package org.otterpond.control.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.otterpond.protocol.WireRecord;

class ReplicatedStateTest {
  private static final long WINDOW_MICROS = 10_000_000;

  private final ReplicatedState state = new ReplicatedState(WINDOW_MICROS);

  @Test
  void givenLockedKey_whenReleasedWithAnotherToken_thenItStaysLocked() {
    state.apply(new KeyLockEntry("key", "token", "holder"), 0);

    state.apply(new KeyReleaseEntry("key", "other"), 0);

    assertEquals("token", state.keyLock("key").token());
    state.apply(new KeyReleaseEntry("key", "token"), 0);
    assertNull(state.keyLock("key"));
  }

  @Test
  void givenLocksOfDifferentAge_whenExpired_thenOnlyThoseBeyondTheWindowAreForgotten() {
    state.apply(new KeyLockEntry("old", "t", "h"), 0);
    state.apply(new KeyLockEntry("young", "t", null), 1);

    state.expire(WINDOW_MICROS + 1);

    assertNull(state.keyLock("old"));
    assertEquals("", state.keyLock("young").holder());
  }

  @Test
  void givenEndedAndActiveWorkers_whenRetentionHasPassed_thenOnlyTheEndedOneIsForgotten() {
    state.apply(worker("active", WorkerState.IN_SERVICE), 0);
    state.apply(worker("ended", WorkerState.LOST), 0);

    state.expire(60_000_000);
    assertEquals(2, state.workerEntries().size());
    state.expire(60_000_001);

    assertEquals(List.of(worker("active", WorkerState.IN_SERVICE)), state.workerEntries());
  }

  @Test
  void givenAssignments_whenOneChanges_thenItIsTheOnlyNewerOne() {
    state.apply(assignment("a:1"), 0);
    state.apply(assignment("a:2"), 0);

    state.apply(assignment("a:1").with("gone", true), 0);

    Assignments assignments = state.assignments();
    assertEquals(3, assignments.number());
    assertEquals("a:1", assignments.newerThan(2).get(0).text("key"));
    assertEquals(1, assignments.withPrefix("a:").size());
    assertNotNull(assignments.get("a:1"));
  }

  @Test
  void givenUnknownKind_whenApplied_thenItIsRejected() {
    assertThrows(IllegalArgumentException.class, () -> state.apply(new WireRecord("ping"), 0));
  }

  @Test
  void givenSlowStart_whenRecorded_thenTheRemainingTimeIsKept() {
    WorkerInstance worker = worker("w", WorkerState.IN_SERVICE).worker().withSlowStartEnd(1_500);

    assertEquals(500, WorkerEntry.of(worker, 1_000).worker().slowStartEndMicros());
    assertEquals(0, WorkerEntry.of(worker, 2_000).worker().slowStartEndMicros());
  }

  private static WorkerEntry worker(String id, WorkerState workerState) {
    return new WorkerEntry(
        new WorkerInstance(id, "service", "address", "zone", "r", 1, workerState, 1, 0));
  }

  private static WireRecord assignment(String key) {
    return new WireRecord(AssignmentEntry.KIND).with("key", key);
  }
}
