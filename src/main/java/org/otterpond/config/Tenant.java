package org.otterpond.config;

import java.util.List;

/**
 * A tenant: its name, the access keys it holds, its rank and its limit. A rate of 0 means no limit.
 */
public record Tenant(
    String name, List<String> keys, int priority, double ratePerSecond, double burst) {
  public boolean limited() {
    return ratePerSecond > 0;
  }
}
