package org.otterpond.simulation;

import java.util.HashMap;
import java.util.Map;

/** Which core machines count as lost: from a fault's beginning until a while after its end. */
final class FaultBudget {
  /** So long after its return a machine still counts as lost. */
  private static final long SYNC = 4_000_000;

  private final int most;
  private final Map<String, Long> until = new HashMap<>();

  FaultBudget(int most) {
    this.most = most;
  }

  /** Whether one more fault on that machine is within the bound; if it is, it is taken down. */
  boolean take(String machine, long now, long length) {
    until.values().removeIf(t -> t <= now);
    if (!until.containsKey(machine) && until.size() >= most) {
      return false;
    }
    until.merge(machine, now + length + SYNC, Math::max);
    return true;
  }

  /** All machines were without power: those that count as lost have to be made up for anew. */
  void allLostPower(long backAt) {
    until.replaceAll((machine, t) -> Math.max(t, backAt + SYNC));
  }
}
