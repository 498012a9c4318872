package org.otterpond.control.primary;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.otterpond.config.GatewayConfiguration;
import org.otterpond.config.Service;
import org.otterpond.config.Tenant;
import org.otterpond.control.message.QuotaStatus;
import org.otterpond.control.message.TokenDemand;
import org.otterpond.control.message.TokenGrant;

/**
 * The single owner of all quotas: a token bucket a tenant and a rate-limited service, out of which
 * tokens are lent to the nodes.
 *
 * <p>A lent token is outstanding until its node reports it used or returned, or until it has
 * certainly expired: a node counts the lending time from when it asked, the owner from when it
 * lent. Reports are running totals, so a lost or repeated one does no harm, and a grant whose
 * answer was lost is only counted as outstanding for too long.
 */
public final class QuotaOwner {
  private static final String RATE_LIMIT_PREFIX = "ceiling ";
  private static final long UNKNOWN_TENANT_RETRY_MICROS = 100_000;

  private final QuotaSettings settings;
  private final Map<String, TokenBucket> buckets = new HashMap<>();

  QuotaOwner(QuotaSettings settings) {
    this.settings = settings;
  }

  /** Returns the name under which tokens of a service's rate limit are lent; no tenant has it. */
  public static String rateLimitAccount(String service) {
    return RATE_LIMIT_PREFIX + service;
  }

  /** Removes all buckets, as every bucket of a new owner is empty at first. */
  void reset() {
    buckets.clear();
  }

  /** Takes the limits in force. A tenant that is new, or was removed before, has no tokens yet. */
  void configure(GatewayConfiguration configuration, long nowMicros) {
    buckets.values().forEach(TokenBucket::beginConfiguration);
    for (Service service : configuration.services().values()) {
      if (service.ratePerSecond() > 0) {
        configureRateLimit(service, nowMicros);
      }
    }
    for (Tenant tenant : configuration.tenants()) {
      if (tenant.hasRateLimit()) {
        configureQuota(tenant, nowMicros);
      }
    }
    buckets.forEach((name, bucket) -> bucket.endConfiguration(maxOutstandingWithoutLimit(name)));
  }

  private void configureRateLimit(Service service, long nowMicros) {
    double burst = settings.rateLimitPart(service.ratePerSecond());
    bucket(rateLimitAccount(service.name()), nowMicros)
        .configure(service.ratePerSecond(), burst, burst, nowMicros);
  }

  private void configureQuota(Tenant tenant, long nowMicros) {
    int maxOutstanding = settings.maxOutstanding(tenant.ratePerSecond(), tenant.burst());
    bucket(tenant.name(), nowMicros)
        .configure(tenant.ratePerSecond(), tenant.burst(), maxOutstanding, nowMicros);
  }

  private double maxOutstandingWithoutLimit(String name) {
    return name.startsWith(RATE_LIMIT_PREFIX)
        ? settings.rateLimitPart(0)
        : settings.maxOutstanding(0, 0);
  }

  private TokenBucket bucket(String name, long nowMicros) {
    return buckets.computeIfAbsent(
        name, key -> new TokenBucket(key, settings.tokenLeaseMicros(), nowMicros));
  }

  /**
   * Takes the totals that a node reports and lends it what it needs.
   *
   * @param incarnation identity of the node's process
   */
  TokenGrant lend(long incarnation, TokenDemand demand, long nowMicros) {
    TokenBucket bucket = buckets.get(demand.tenant());
    return bucket == null
        ? new TokenGrant(demand.tenant(), 0, UNKNOWN_TENANT_RETRY_MICROS, false)
        : bucket.lend(incarnation, demand, nowMicros);
  }

  /** Removes expired loans, and buckets without a limit that have no outstanding tokens. */
  void tick(long nowMicros) {
    buckets.values().forEach(bucket -> bucket.removeExpired(nowMicros));
    buckets.values().removeIf(TokenBucket::isRemovable);
  }

  /** Returns the figures of all buckets. */
  List<QuotaStatus> status(long nowMicros) {
    List<QuotaStatus> rows = new ArrayList<>();
    buckets.values().forEach(bucket -> rows.add(bucket.status(nowMicros)));
    return rows;
  }
}
