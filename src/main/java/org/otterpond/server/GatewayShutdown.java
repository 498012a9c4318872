package org.otterpond.server;

import org.otterpond.config.NodeSettings;
import org.otterpond.net.EventLoop;
import org.otterpond.net.HttpListener;
import org.otterpond.proxy.ProxyHandler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Shuts down a gateway node: it is no longer ready, gives up its roles, and ends once no request is
 * in progress and the core does not need its copy of the state any more.
 */
final class GatewayShutdown implements GracefulShutdown {
  private static final Logger LOG = LoggerFactory.getLogger(GatewayShutdown.class);

  /** The least time from the beginning to the end, in which clients notice that it drains. */
  private static final long MIN_DRAIN_MICROS = 3_200_000;

  /** New requests are rejected this long before the deadline: they could hardly be completed. */
  private static final long REJECT_BEFORE_DEADLINE_MICROS = 800_000;

  private static final long CHECK_MICROS = 50_000;

  private final EventLoop eventLoop;
  private final NodeSettings settings;
  private final ProxyHandler proxy;
  private final HttpListener front;
  private final Runnable end;
  private long deadlineMicros;

  /**
   * Creates the shutdown.
   *
   * @param front the listener for clients, or null if there is none
   * @param end ends the process
   */
  GatewayShutdown(
      EventLoop eventLoop,
      NodeSettings settings,
      ProxyHandler proxy,
      HttpListener front,
      Runnable end) {
    this.eventLoop = eventLoop;
    this.settings = settings;
    this.proxy = proxy;
    this.front = front;
    this.end = end;
  }

  @Override
  public void begin() {
    proxy.startDraining();
    proxy.agent().retire();
    long leftMicros = settings.graceMicros() - MARGIN_MICROS - FLUSH_MICROS;
    deadlineMicros = EventLoop.now() + leftMicros;
    eventLoop.after(Math.max(0, leftMicros - REJECT_BEFORE_DEADLINE_MICROS), proxy::close);
    eventLoop.after(Math.min(MIN_DRAIN_MICROS, Math.max(0, leftMicros)), this::check);
  }

  private void check() {
    boolean expired = EventLoop.now() >= deadlineMicros;
    boolean busy = proxy.inFlight() > 0 || (front != null && front.busy());
    // The core may still count this node's replica: it ends once the newest epoch excludes it.
    boolean needed = proxy.agent().needed();
    if (!expired && (busy || needed)) {
      eventLoop.after(CHECK_MICROS, this::check);
      return;
    }
    LOG.info("event=left node={} busy={} needed={}", settings.nodeName(), busy, needed);
    proxy.endAll();
    if (front != null) {
      front.closeIdle();
    }
    eventLoop.after(busy ? FLUSH_MICROS : CHECK_MICROS, end);
  }
}
