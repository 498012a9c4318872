package org.otterpond.config;

import java.util.List;

/**
 * One route. Times are in microseconds; aim 0 means that none was given. The last two are of
 * messages: whether they go in the order of their keys, and how long one is kept that cannot be
 * delivered.
 */
public record Route(
    String name,
    String host,
    String prefix,
    RouteType type,
    long guardMicros,
    long aimMicros,
    int priority,
    List<RouteTarget> targets,
    int maxAttempts,
    boolean open,
    boolean ordered,
    long keepMicros) {

  /** The service for a draw in [0, total weight). */
  public String serviceFor(long draw) {
    long left = draw;
    for (RouteTarget t : targets) {
      left -= t.weight();
      if (left < 0) {
        return t.service();
      }
    }
    throw new IllegalArgumentException("draw outside the weights");
  }

  public long totalWeight() {
    long sum = 0;
    for (RouteTarget t : targets) {
      sum += t.weight();
    }
    return sum;
  }
}
