package org.otterpond.replication;

/**
 * Times of a replica group, in microseconds. The lease runs on the primary from the sending of a
 * beacon that was acknowledged; the grace runs on a secondary from the beacon's arrival, which is
 * later. So the lease ends first as long as the grace is at least the lease times the bound on the
 * drift between two clocks.
 */
public record ReplicaGroupTimeouts(long beacon, long lease, long grace, long stall, long resend) {
  /** Two clocks of the machines differ in speed by this at most, in parts of one. */
  static final double DRIFT = 0.02;

  public ReplicaGroupTimeouts {
    if (grace < lease * (1 + DRIFT)) {
      throw new IllegalArgumentException("grace: below the lease and the drift of clocks");
    }
    if (beacon * 3 > lease) {
      throw new IllegalArgumentException("beacon: fewer than three in a lease");
    }
  }

  public static ReplicaGroupTimeouts standard() {
    return new ReplicaGroupTimeouts(150_000, 500_000, 620_000, 800_000, 250_000);
  }
}
