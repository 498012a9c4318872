package org.otterpond.config;

import java.util.List;

/**
 * A tenant of the gateway.
 *
 * @param name the name, printable ASCII without spaces
 * @param keys the access keys that identify its requests
 * @param priority the priority of its requests; higher is served first
 * @param ratePerSecond its rate limit; 0 means none
 * @param burst tokens that it may save up under its rate limit
 */
public record Tenant(
    String name, List<String> keys, int priority, double ratePerSecond, double burst) {
  /** Returns whether the tenant has a rate limit. */
  public boolean hasRateLimit() {
    return ratePerSecond > 0;
  }
}
