package org.otterpond.keyrange;

/**
 * How long a worker is granted its keys, and when another may be sure that it holds them no more.
 *
 * @param holdMicros the time of one grant, counted by the worker from its arrival
 * @param thawMicros how long after a thaw or a heal a late grant does not count
 */
public record KeyRangeLeaseSettings(long holdMicros, long thawMicros) {
  /** A worker's clock may run slow by this part. */
  private static final double SLOW = 1.02;

  private static final long MARGIN = 300_000;

  /** A call that was given up may still arrive within this. */
  static final long ON_ITS_WAY = 400_000;

  /** How long a grant is waited for. */
  static final long GRANT_CALL = 700_000;

  /**
   * The part of the longest hold that is used: the rest is what a worker may miss of its keeper.
   */
  public static KeyRangeLeaseSettings of(long maxHoldMicros, long thawMicros) {
    return new KeyRangeLeaseSettings(
        Math.min(maxHoldMicros, Math.max(maxHoldMicros * 7 / 10, 1_000_000)), thawMicros);
  }

  /** How long after a grant arrived its keys may be held, on a clock that is slow. */
  long longest() {
    return (long) (holdMicros * SLOW) + MARGIN;
  }

  /** After a grant was given up unanswered: it may have arrived a moment later. */
  long longestUnanswered() {
    return longest() + ON_ITS_WAY;
  }

  /** For a successor, which knows nothing of what the one before sent until its authority ended. */
  long longestOfAnother() {
    return longestUnanswered() + GRANT_CALL;
  }

  long renewal() {
    return holdMicros * 2 / 7;
  }
}
