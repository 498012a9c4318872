package org.otterpond.simulation;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits how many machines are impaired at once. A machine counts from the beginning of its fault
 * until it has had time to recover after the end.
 */
final class FaultBudget {
  private static final long RECOVERY_MICROS = 4_000_000;

  private final int maxImpaired;
  private final Map<String, Long> impairedUntilMicros = new HashMap<>();

  FaultBudget(int maxImpaired) {
    this.maxImpaired = maxImpaired;
  }

  /**
   * Reserves a fault of a machine if that is within the budget.
   *
   * @return whether the fault may be injected
   */
  boolean tryReserve(String address, long nowMicros, long durationMicros) {
    impairedUntilMicros.values().removeIf(untilMicros -> untilMicros <= nowMicros);
    if (!impairedUntilMicros.containsKey(address) && impairedUntilMicros.size() >= maxImpaired) {
      return false;
    }
    impairedUntilMicros.merge(address, nowMicros + durationMicros + RECOVERY_MICROS, Math::max);
    return true;
  }

  /** Restarts the recovery of the impaired machines after all machines were without power. */
  void allLostPower(long restoredMicros) {
    impairedUntilMicros.replaceAll(
        (address, untilMicros) -> Math.max(untilMicros, restoredMicros + RECOVERY_MICROS));
  }
}
