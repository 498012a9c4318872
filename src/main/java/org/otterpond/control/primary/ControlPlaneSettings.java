package org.otterpond.control.primary;

import org.otterpond.control.state.FaultTolerance;
import org.otterpond.keyrange.KeyRangeLeaseSettings;

/**
 * What the deployment demands of the control side.
 *
 * @param losses what may be lost at once
 */
public record ControlPlaneSettings(
    long heartbeatMicros,
    long keyWindowMicros,
    FaultTolerance losses,
    QuotaSettings quota,
    KeyRangeLeaseSettings hold) {
  /** Where no service is divided by keys. */
  public ControlPlaneSettings(
      long heartbeatMicros, long keyWindowMicros, FaultTolerance losses, QuotaSettings quota) {
    this(
        heartbeatMicros,
        keyWindowMicros,
        losses,
        quota,
        KeyRangeLeaseSettings.of(10_000_000, 300_000));
  }

  /** Where machines may be lost and no more of a zone than of any place. */
  public ControlPlaneSettings(
      long heartbeatMicros, long keyWindowMicros, int machines, QuotaSettings quota) {
    this(heartbeatMicros, keyWindowMicros, FaultTolerance.ofMachines(machines), quota);
  }

  /** Tokens are used for a little less long than the owner counts them as out. */
  public static final long LENT_MARGIN = 50_000;
}
