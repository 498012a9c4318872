package org.otterpond.config;

import java.util.List;

/**
 * A route: which requests it matches and how they are served.
 *
 * @param name the name
 * @param host host name in lower case
 * @param prefix path prefix; starts and ends with a slash
 * @param type which requests may be retried
 * @param timeoutMicros deadline of a request
 * @param latencyTargetMicros latency target; 0 means none
 * @param priority priority of its requests; higher is served first
 * @param targets the services with their weights, one at least
 * @param maxAttempts most attempts of one request
 * @param open whether requests need no access key
 * @param ordered whether messages are delivered in the order of their keys
 * @param retentionMicros retention of messages that cannot be delivered; 0 if none was given
 */
public record Route(
    String name,
    String host,
    String prefix,
    RouteType type,
    long timeoutMicros,
    long latencyTargetMicros,
    int priority,
    List<RouteTarget> targets,
    int maxAttempts,
    boolean open,
    boolean ordered,
    long retentionMicros) {

  /**
   * Returns the service for a random draw.
   *
   * @param draw from 0 to {@link #totalWeight}, without it
   * @throws IllegalArgumentException if the draw is not below the total weight
   */
  public String serviceFor(long draw) {
    long remaining = draw;
    for (RouteTarget target : targets) {
      remaining -= target.weight();
      if (remaining < 0) {
        return target.service();
      }
    }
    throw new IllegalArgumentException("draw " + draw + " is not below the total weight");
  }

  /** Returns the sum of the weights of all targets. */
  public long totalWeight() {
    return targets.stream().mapToLong(RouteTarget::weight).sum();
  }
}
