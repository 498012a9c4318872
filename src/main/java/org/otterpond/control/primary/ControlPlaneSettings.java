package org.otterpond.control.primary;

import org.otterpond.control.state.FaultTolerance;
import org.otterpond.keyrange.KeyRangeLeaseSettings;

/**
 * Settings of the control plane.
 *
 * @param heartbeatMicros time between the heartbeats of a worker
 * @param keyWindowMicros how long the lock of an idempotency key lasts
 * @param faultTolerance which faults at once the core must survive
 * @param quota settings of the quotas
 * @param hold settings of the leases of key ranges
 */
public record ControlPlaneSettings(
    long heartbeatMicros,
    long keyWindowMicros,
    FaultTolerance faultTolerance,
    QuotaSettings quota,
    KeyRangeLeaseSettings hold) {
  /** The lease of a node ends this long after its last poll. */
  public static final long NODE_LEASE_MICROS = 2_500_000;

  /** Nodes use tokens for this much less than the owner counts them as outstanding. */
  public static final long LENT_MARGIN = 50_000;

  private static final long DEFAULT_KEY_RANGE_LEASE_MICROS = 10_000_000;
  private static final long DEFAULT_KEY_RANGE_THAW_MICROS = 300_000;

  /** Creates settings of a deployment in which no service is partitioned by key. */
  public ControlPlaneSettings(
      long heartbeatMicros,
      long keyWindowMicros,
      FaultTolerance faultTolerance,
      QuotaSettings quota) {
    this(
        heartbeatMicros,
        keyWindowMicros,
        faultTolerance,
        quota,
        KeyRangeLeaseSettings.of(DEFAULT_KEY_RANGE_LEASE_MICROS, DEFAULT_KEY_RANGE_THAW_MICROS));
  }

  /** Creates settings of a deployment that is to survive the loss of some machines. */
  public ControlPlaneSettings(
      long heartbeatMicros, long keyWindowMicros, int machines, QuotaSettings quota) {
    this(heartbeatMicros, keyWindowMicros, FaultTolerance.ofMachines(machines), quota);
  }
}
