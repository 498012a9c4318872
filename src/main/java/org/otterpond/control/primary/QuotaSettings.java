package org.otterpond.control.primary;

/**
 * What the deployment allows a tenant, or the calls of a service, beyond the limit in a time
 * window, and how long tokens are lent.
 *
 * <p>Allowed to a tenant in any window: (rate x window + burst) x (1 + excess) + slack. The token
 * bucket accounts for rate x window + burst; the tokens outstanding at the start of the window
 * account for the rest. Tokens of at most three owners can be outstanding at a time (two by the
 * order of takeovers, a third only after a restart that forgot when the one before began), so each
 * owner lends at most a third of the rest.
 *
 * <p>Allowed to a service in any window: rate x window x (1 + excess) + slack. A quarter of what
 * exceeds rate x window is the size of the bucket, and a quarter may be outstanding for each of
 * three owners.
 *
 * @param windowMicros the window of the tenants' limits
 * @param excess the excess of the tenants' limits
 * @param slack the slack of the tenants' limits, in requests
 * @param tokenLeaseMicros how long lent tokens may be used
 * @param ceilingWindowMicros the window of the services' rate limits
 * @param ceilingExcess the excess of the services' rate limits
 */
public record QuotaSettings(
    long windowMicros,
    double excess,
    double slack,
    long tokenLeaseMicros,
    long ceilingWindowMicros,
    double ceilingExcess) {
  private static final double MICROS_PER_SECOND = 1e6;
  private static final double OWNERS = 3;

  /** The slack of the services' rate limits, in requests. */
  private static final double RATE_LIMIT_SLACK = 5;

  /** The bucket of a rate limit and the outstanding tokens of each owner have equal parts. */
  private static final double RATE_LIMIT_PARTS = OWNERS + 1;

  /** One token is kept back, as a bucket holds a whole one even where the burst is smaller. */
  private static final double KEPT_BACK = 1;

  private static final long DEFAULT_RATE_LIMIT_WINDOW_MICROS = 5_000_000;

  /** Creates settings of a deployment whose services have no rate limits. */
  public QuotaSettings(long windowMicros, double excess, double slack, long tokenLeaseMicros) {
    this(windowMicros, excess, slack, tokenLeaseMicros, DEFAULT_RATE_LIMIT_WINDOW_MICROS, 0);
  }

  /**
   * Returns the burst of a service's rate limit, which is also how many of its tokens an owner may
   * have outstanding.
   */
  double rateLimitPart(double ratePerSecond) {
    double beyondRate =
        ceilingExcess * ratePerSecond * ceilingWindowMicros / MICROS_PER_SECOND + RATE_LIMIT_SLACK;
    return Math.max(1, Math.floor((beyondRate - KEPT_BACK) / RATE_LIMIT_PARTS));
  }

  /** Returns how many tokens of a tenant an owner may have outstanding. */
  int maxOutstanding(double ratePerSecond, double burst) {
    double beyondLimit =
        excess * (ratePerSecond * windowMicros / MICROS_PER_SECOND + burst) + slack;
    return (int) Math.max(1, Math.floor((beyondLimit - KEPT_BACK) / OWNERS));
  }
}
