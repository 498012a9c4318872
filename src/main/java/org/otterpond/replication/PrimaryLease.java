package org.otterpond.replication;

/**
 * The leases of a primary from its secondaries (PacificA, section "Leases and Failure Detection").
 *
 * <p>A lease runs from the sending of the last acknowledged beacon. The primary may serve only
 * while the leases of all secondaries are live.
 */
final class PrimaryLease {
  private final LocalReplica replica;
  private final Followers followers;
  private long versionBeganAtMicros;

  PrimaryLease(LocalReplica replica, Followers followers) {
    this.replica = replica;
    this.followers = followers;
  }

  /** Begins a version: a secondary has the time of one lease to acknowledge its first beacon. */
  void onNewVersion() {
    versionBeganAtMicros = replica.now();
  }

  /** Returns whether the lease of every secondary is live. */
  boolean isHeld() {
    long nowMicros = replica.now();
    for (String secondary : replica.configuration().secondaries()) {
      Follower follower = followers.get(secondary);
      if (follower == null
          || nowMicros - follower.beaconSentAt >= replica.timeouts().leaseMicros()) {
        return false;
      }
    }
    return true;
  }

  /** Extends a lease by an acknowledged beacon. */
  void onBeaconAcknowledged(Follower follower, long sentAtMicros) {
    follower.beaconSentAt = Math.max(follower.beaconSentAt, sentAtMicros);
  }

  /** Counts an acknowledged reconciliation, sent in this version, as a beacon. */
  void onReconciled(Follower follower) {
    onBeaconAcknowledged(follower, versionBeganAtMicros);
  }

  /**
   * Returns whether a secondary is taken for failed: its lease has expired, or its connection was
   * lost and no beacon was acknowledged soon after.
   */
  boolean isExpired(Follower follower, long nowMicros) {
    if (silenceMicros(follower, nowMicros) > replica.timeouts().leaseMicros()) {
      return true;
    }
    return follower.connectionLostAt > follower.beaconSentAt
        && nowMicros - follower.connectionLostAt > 2 * replica.timeouts().beacon();
  }

  /** Returns whether all secondaries have been silent for two grace periods beyond the lease. */
  boolean areAllLongExpired(long nowMicros) {
    ReplicaGroupTimeouts timeouts = replica.timeouts();
    long limitMicros = timeouts.leaseMicros() + 2 * timeouts.gracePeriodMicros();
    return replica.configuration().secondaries().stream()
        .allMatch(secondary -> silenceMicros(followers.get(secondary), nowMicros) >= limitMicros);
  }

  private long silenceMicros(Follower follower, long nowMicros) {
    return nowMicros - Math.max(follower.beaconSentAt, versionBeganAtMicros);
  }
}
