package org.otterpond.keyrange;

/**
 * How long a worker may own its keys after a grant, and when another worker may be sure of the end
 * of a lease. All times are in microseconds.
 *
 * @param holdMicros lease period of one grant, counted by the worker from its arrival
 * @param thawMicros how long after a pause or a network partition a late grant does not count
 */
public record KeyRangeLeaseSettings(long holdMicros, long thawMicros) {
  /** A call that was given up may still arrive within this time. */
  static final long IN_FLIGHT_MICROS = 400_000;

  /** How long the answer to a grant is waited for. */
  static final long GRANT_TIMEOUT_MICROS = 700_000;

  /** A worker's clock may run slow by this factor. */
  private static final double SLOWEST_CLOCK = 1.02;

  private static final long MARGIN_MICROS = 300_000;
  private static final long SHORTEST_HOLD_MICROS = 1_000_000;

  /**
   * Returns settings that use seven tenths of the longest allowed lease period; the rest is how
   * long a worker may be without its manager.
   */
  public static KeyRangeLeaseSettings of(long maxHoldMicros, long thawMicros) {
    long usedMicros = Math.max(maxHoldMicros * 7 / 10, SHORTEST_HOLD_MICROS);
    return new KeyRangeLeaseSettings(Math.min(maxHoldMicros, usedMicros), thawMicros);
  }

  /** Returns how long after its answer a grant may be in force, on the slowest clock. */
  long longestAnsweredMicros() {
    return (long) (holdMicros * SLOWEST_CLOCK) + MARGIN_MICROS;
  }

  /** Returns how long a grant that was given up may be in force: it may have arrived later. */
  long longestUnansweredMicros() {
    return longestAnsweredMicros() + IN_FLIGHT_MICROS;
  }

  /**
   * Returns how long a grant of an earlier primary may be in force after the end of that primary's
   * authority: nothing is known of the calls it made.
   */
  long longestOfPredecessorMicros() {
    return longestUnansweredMicros() + GRANT_TIMEOUT_MICROS;
  }

  /** Returns the mean time between two renewals. */
  long renewalMicros() {
    return holdMicros * 2 / 7;
  }
}
