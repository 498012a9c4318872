package org.otterpond.replication;

/** Whether a primary may serve in the version in force, apart from its leases. */
final class PrimaryStatus {
  /** Whether all secondaries' prepared lists are reconciled with this one. */
  boolean reconciled;

  /** Serial number up to which all entries must be committed before the group serves. */
  long reconcileSerial;

  /**
   * Whether this process read the version from its log. It must not continue under it, as prepares
   * of the process before may still arrive.
   */
  boolean restarted;

  /** Whether a planned handover to a secondary is in progress. */
  boolean handingOver;

  /**
   * Whether it has proposed another primary. The answer may arrive late or never, so it does not
   * serve until the version has changed.
   */
  boolean steppedAside;

  /** Begins a version in which nothing is reconciled yet. */
  void onNewVersion(long lastSerial) {
    reconciled = false;
    reconcileSerial = lastSerial;
    restarted = false;
    handingOver = false;
    steppedAside = false;
  }

  @Override
  public String toString() {
    return "reconciled="
        + reconciled
        + " restarted="
        + restarted
        + " handingOver="
        + handingOver
        + " steppedAside="
        + steppedAside;
  }
}
