package org.otterpond.tools;

/**
 * Running totals of the load that hollow nodes put on the core.
 *
 * @param messages messages sent and received
 * @param bytes their encoded size
 * @param locksGranted idempotency-key locks that were granted
 * @param lockMicros the time that these took, summed up
 * @param locksHeld requests for a key whose lock was held already
 * @param heldMicros the time that these took, summed up
 * @param workerRequests requests that workers answered: key-range grants and renewals
 */
record LoadTotals(
    long messages,
    long bytes,
    long locksGranted,
    long lockMicros,
    long locksHeld,
    long heldMicros,
    long workerRequests) {
  static final LoadTotals ZERO = new LoadTotals(0, 0, 0, 0, 0, 0, 0);

  private static final double MICROS_PER_MILLI = 1_000;

  LoadTotals plus(LoadTotals other) {
    return new LoadTotals(
        messages + other.messages,
        bytes + other.bytes,
        locksGranted + other.locksGranted,
        lockMicros + other.lockMicros,
        locksHeld + other.locksHeld,
        heldMicros + other.heldMicros,
        workerRequests + other.workerRequests);
  }

  LoadTotals minus(LoadTotals other) {
    return new LoadTotals(
        messages - other.messages,
        bytes - other.bytes,
        locksGranted - other.locksGranted,
        lockMicros - other.lockMicros,
        locksHeld - other.locksHeld,
        heldMicros - other.heldMicros,
        workerRequests - other.workerRequests);
  }

  /** The mean time to a granted lock in milliseconds, 0 if there was none. */
  double meanLockMillis() {
    return lockMicros / MICROS_PER_MILLI / Math.max(1, locksGranted);
  }

  /** The mean time to the answer that a lock is held in milliseconds, 0 if there was none. */
  double meanHeldMillis() {
    return heldMicros / MICROS_PER_MILLI / Math.max(1, locksHeld);
  }
}
