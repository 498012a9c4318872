package org.otterpond.server;

import org.otterpond.net.EventLoop;
import org.otterpond.net.HttpListener;
import org.otterpond.proxy.ProxyHandler;
import org.otterpond.proxy.ShutdownTimes;

/**
 * What a gateway node does to shut down: it is no longer ready, gives up its roles, and is quiet
 * once no request is in progress and the core does not need its copy of the state any more.
 */
final class GatewayShutdown implements GracefulShutdown.Node {
  /** The least time from the beginning to the end, in which clients notice that it drains. */
  private static final long MIN_DRAIN_MICROS = 3_200_000;

  private final EventLoop eventLoop;
  private final ProxyHandler proxy;
  private final HttpListener front;

  /**
   * Creates the shutdown of a node.
   *
   * @param front the listener for clients, or null if there is none
   */
  GatewayShutdown(EventLoop eventLoop, ProxyHandler proxy, HttpListener front) {
    this.eventLoop = eventLoop;
    this.proxy = proxy;
    this.front = front;
  }

  @Override
  public long begin(ShutdownTimes times) {
    proxy.startDraining(times);
    proxy.agent().retire();
    eventLoop.after(times.lastRequestAtMicros() - EventLoop.now(), proxy::rejectWaitingForShutdown);
    return MIN_DRAIN_MICROS;
  }

  @Override
  public boolean isQuiet() {
    // The core may still count this node's replica: it ends once the newest epoch excludes it.
    return !isBusy() && !proxy.agent().needed();
  }

  private boolean isBusy() {
    return proxy.inFlight() > 0 || (front != null && front.busy());
  }

  @Override
  public String describe() {
    return "busy=" + isBusy() + " needed=" + proxy.agent().needed();
  }

  @Override
  public void finish() {
    proxy.endAll();
    if (front != null) {
      front.stopAccepting();
      front.closeIdle();
    }
  }

  @Override
  public void close() {
    if (front != null) {
      front.readPending();
      front.closeIdle();
    }
  }
}
