package org.otterpond.control.primary;

/**
 * What the deployment allows of a tenant in a window beyond its limit, and for how long tokens are
 * lent.
 *
 * <p>Allowed in any window: (rate x window + burst) x (1 + excess) + slack. The bucket accounts for
 * the first factor without the excess; what may be out with the nodes unspent accounts for the
 * rest. At most three owners' tokens can be out at a time (two by the order of takeovers, a third
 * only after a restart forgot when the one before began), so each lends a third.
 */
public record QuotaSettings(
    long windowMicros,
    double excess,
    double slack,
    long lentMicros,
    long ceilingWindowMicros,
    double ceilingExcess) {
  private static final double OWNERS = 3;

  /** What a service may get beyond its ceiling in a window, whatever the ceiling. */
  private static final double CEILING_SLACK = 5;

  /** Where services have no ceilings. */
  public QuotaSettings(long windowMicros, double excess, double slack, long lentMicros) {
    this(windowMicros, excess, slack, lentMicros, 5_000_000, 0);
  }

  /**
   * Of a service's ceiling: rate x window x (1 + excess) + slack arrivals are allowed. A quarter of
   * what is beyond rate x window is the bucket, and a quarter may be out for each of three owners.
   */
  double ceilingPart(double ratePerSecond) {
    return Math.max(
        1,
        Math.floor(
            (ceilingExcess * ratePerSecond * ceilingWindowMicros / 1e6 + CEILING_SLACK - 1)
                / (OWNERS + 1)));
  }

  /**
   * The most tokens of a tenant that may be out with the nodes, neither reported spent nor expired.
   */
  int mostOut(double ratePerSecond, double burst) {
    double allowance = excess * (ratePerSecond * windowMicros / 1e6 + burst) + slack;
    // One is kept back: a bucket holds a whole token even where the burst is smaller.
    return (int) Math.max(1, Math.floor((allowance - 1) / OWNERS));
  }
}
