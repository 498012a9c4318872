package org.otterpond.replication;

/**
 * Times of a replica group, in microseconds (PacificA, section "Leases and Failure Detection").
 *
 * <p>The lease runs on the primary from the sending of a beacon that was acknowledged; the grace
 * period runs on a secondary from the arrival of the beacon, which is later. The lease therefore
 * ends first as long as the grace period is at least the lease period times the bound on the drift
 * between two clocks.
 *
 * @param beacon interval between two beacons of the primary
 * @param leaseMicros how long an acknowledged beacon entitles the primary to serve
 * @param gracePeriodMicros how long a secondary waits for a beacon before it proposes itself
 * @param stallMicros how long a replica may make no progress before it is proposed out
 * @param resendMicros how long the primary waits for an acknowledgement before it sends again
 */
public record ReplicaGroupTimeouts(
    long beacon, long leaseMicros, long gracePeriodMicros, long stallMicros, long resendMicros) {
  /** The largest difference in speed between two clocks, as a fraction. */
  static final double CLOCK_DRIFT = 0.02;

  private static final int BEACONS_PER_LEASE = 3;

  /**
   * Checks the relations between the times.
   *
   * @throws IllegalArgumentException if the grace period does not cover the lease and the drift of
   *     the clocks, or if there are fewer than three beacons in a lease
   */
  public ReplicaGroupTimeouts {
    if (gracePeriodMicros < leaseMicros * (1 + CLOCK_DRIFT)) {
      throw new IllegalArgumentException(
          "gracePeriodMicros: " + gracePeriodMicros + " is below the lease plus the clock drift");
    }
    if (beacon * BEACONS_PER_LEASE > leaseMicros) {
      throw new IllegalArgumentException(
          "beacon: " + beacon + " leaves fewer than three beacons in a lease");
    }
  }

  /** Returns the times that the production server uses. */
  public static ReplicaGroupTimeouts standard() {
    return new ReplicaGroupTimeouts(150_000, 500_000, 620_000, 800_000, 250_000);
  }
}
