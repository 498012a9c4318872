package org.otterpond.harbour;

import org.otterpond.keys.HoldTerms;

/**
 * What the deployment demands of the control side.
 *
 * @param losses what may be lost at once
 */
public record HarbourTerms(
    long heartbeatMicros,
    long keyWindowMicros,
    LossTolerance losses,
    QuotaTerms quota,
    HoldTerms hold) {
  /** Where no service is divided by keys. */
  public HarbourTerms(
      long heartbeatMicros, long keyWindowMicros, LossTolerance losses, QuotaTerms quota) {
    this(heartbeatMicros, keyWindowMicros, losses, quota, HoldTerms.of(10_000_000, 300_000));
  }

  /** Where machines may be lost and no more of a zone than of any place. */
  public HarbourTerms(long heartbeatMicros, long keyWindowMicros, int machines, QuotaTerms quota) {
    this(heartbeatMicros, keyWindowMicros, LossTolerance.ofMachines(machines), quota);
  }

  /** Tokens are used for a little less long than the owner counts them as out. */
  static final long LENT_MARGIN = 50_000;
}
