package org.otterpond.simulation;

import java.util.List;

/**
 * The result of a simulated run.
 *
 * @param violations the guarantees that were broken
 * @param operations the length of the operators' history
 * @param confirmed how many attempts of writes were confirmed
 * @param rejected how many attempts of writes were rejected
 * @param keyGrants how many locks of idempotency keys were granted
 * @param drains how many drains of workers were acknowledged
 * @param faultsInjected how many faults were within the fault budget
 * @param eventLog the log lines of all nodes
 */
record ScheduleOutcome(
    List<Violation> violations,
    int operations,
    int confirmed,
    int rejected,
    int keyGrants,
    int drains,
    int faultsInjected,
    List<String> eventLog) {

  boolean passed() {
    return violations.isEmpty();
  }

  /** Whether a violation is of the same kind as the first of another, failed, run. */
  boolean failsAs(ScheduleOutcome other) {
    Violation.Kind kind = other.violations.get(0).kind();
    return violations.stream().anyMatch(violation -> violation.kind() == kind);
  }
}
