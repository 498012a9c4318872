package org.otterpond.proxy;

/**
 * The moments of a graceful shutdown, in microseconds of the monotonic clock.
 *
 * @param lateAtMicros a request that arrives later may have been sent so late that it must not be
 *     broken off any more
 * @param lastRequestAtMicros after this time a request could hardly be completed
 * @param endAtMicros when what is still in progress is broken off
 */
public record ShutdownTimes(long lateAtMicros, long lastRequestAtMicros, long endAtMicros) {
  /** Requests that are sent within this time after the signal may be broken off at the end. */
  private static final long EXCUSED_MICROS = 3_000_000;

  /** Time from the signal, as its sender counts it, to its handling in this process. */
  private static final long SIGNAL_DELAY_MICROS = 200_000;

  /** What is at a worker may be broken off in the last sixth of the grace period, not earlier. */
  private static final int BREAK_OFF_DIVISOR = 6;

  /** Time to send the last responses and to end the process. */
  private static final long MARGIN_MICROS = 900_000;

  private static final long MIN_SERVICE_MICROS = 800_000;

  /**
   * Returns the times of a shutdown that begins now.
   *
   * @param graceMicros how long after the signal the process is killed
   */
  public static ShutdownTimes of(long nowMicros, long graceMicros) {
    long marginMicros = Math.min(MARGIN_MICROS, graceMicros / BREAK_OFF_DIVISOR);
    long endAtMicros = nowMicros + graceMicros - marginMicros;
    return new ShutdownTimes(
        nowMicros + EXCUSED_MICROS - SIGNAL_DELAY_MICROS,
        endAtMicros - MIN_SERVICE_MICROS,
        endAtMicros);
  }

  /** Returns whether a request is taken whose duration is not bounded. */
  boolean admits(long nowMicros) {
    return nowMicros <= lastRequestAtMicros;
  }

  /**
   * Returns whether a request is taken that a worker may execute. It is if it ends before the node
   * does, with a response or by its deadline, or if it has come so early that it may be broken off.
   *
   * @param timeLeftMicros the time until its deadline
   */
  boolean admits(long nowMicros, long timeLeftMicros) {
    return endsInTime(nowMicros, timeLeftMicros)
        || nowMicros <= Math.min(lateAtMicros, lastRequestAtMicros);
  }

  /** Returns whether a request ends before the node does. */
  boolean endsInTime(long nowMicros, long timeLeftMicros) {
    return nowMicros + timeLeftMicros <= endAtMicros;
  }
}
