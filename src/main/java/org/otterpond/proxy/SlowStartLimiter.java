package org.otterpond.proxy;

import java.util.List;
import java.util.function.LongSupplier;
import org.otterpond.config.NodeSettings;
import org.otterpond.control.primary.ControlPlaneSettings;
import org.otterpond.control.state.WorkerInstance;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Decides whether this node may send a request to a worker in slow start. One for each service.
 *
 * <p>Within one second a worker in slow start may get {@code rate x excess + slack} requests from
 * all nodes. Only the few nodes that the primary has chosen for it send to it, each at even
 * intervals, so that their sum stays below half of that bound: two different choices, of two
 * primaries, fit into it. A node that is not sure of its lease may have lost its place to another
 * and sends nothing.
 */
public final class SlowStartLimiter {
  private static final Logger LOG = LoggerFactory.getLogger(SlowStartLimiter.class);

  /** The clocks of nodes run at slightly different speeds, and a check precedes its sending. */
  private static final long LEASE_MARGIN_MICROS = 500_000;

  private static final double MICROS_PER_SECOND = 1e6;

  /** How many choices of nodes fit into the bound. */
  private static final int CHOICES = 2;

  /** Part of the slack left for requests that arrive closer together than they were sent. */
  private static final double ARRIVAL_SLACK = 2;

  private final String ownAddress;
  private final double excess;
  private final int maxNodes;
  private final LongSupplier leaseConfirmedAtMicros;
  private final SlowStartMetrics metrics;
  private double requestsPerSecond;

  /**
   * Creates a limiter that limits nothing until a rate is set.
   *
   * @param leaseConfirmedAtMicros when the lease of this node began, at least
   */
  public SlowStartLimiter(
      NodeSettings settings, LongSupplier leaseConfirmedAtMicros, SlowStartMetrics metrics) {
    this.ownAddress = settings.internalAddress();
    this.excess = settings.slowStartExcess();
    this.maxNodes = (int) Math.max(1, (settings.slowStartSlack() - ARRIVAL_SLACK) / CHOICES);
    this.leaseConfirmedAtMicros = leaseConfirmedAtMicros;
    this.metrics = metrics;
  }

  /** Sets how many requests a second a worker bears in slow start; 0 limits nothing. */
  void setRequestsPerSecond(double newRequestsPerSecond) {
    requestsPerSecond = newRequestsPerSecond;
  }

  /**
   * Returns whether the worker may get another request of this node, in slow start or not.
   *
   * @param lastSentAtMicros when this node sent it the last one
   */
  boolean permits(WorkerInstance worker, long lastSentAtMicros, long nowMicros) {
    if (requestsPerSecond <= 0 || !worker.inSlowStart(nowMicros)) {
      return true;
    }
    List<String> nodes = worker.slowStartNodes();
    int sending = Math.min(nodes.size(), maxNodes);
    int place = nodes.indexOf(ownAddress);
    return place >= 0
        && place < sending
        && nowMicros - lastSentAtMicros >= intervalMicros(sending)
        && leaseIsSure(nowMicros);
  }

  /**
   * Counts a request that is sent now, and checks that the limit was asked before.
   *
   * @param lastSentAtMicros when this node sent the worker the one before
   */
  void sent(WorkerInstance worker, long lastSentAtMicros, long nowMicros) {
    if (!worker.inSlowStart(nowMicros)) {
      return;
    }
    metrics.requests.increment();
    if (!permits(worker, lastSentAtMicros, nowMicros)) {
      metrics.violations.increment();
      LOG.warn("event=slow_start_exceeded instance={} service={}", worker.id(), worker.service());
    }
  }

  private long intervalMicros(int sendingNodes) {
    return (long) (MICROS_PER_SECOND * CHOICES * sendingNodes / (requestsPerSecond * excess));
  }

  private boolean leaseIsSure(long nowMicros) {
    return nowMicros - leaseConfirmedAtMicros.getAsLong()
        < ControlPlaneSettings.NODE_LEASE_MICROS - LEASE_MARGIN_MICROS;
  }
}
