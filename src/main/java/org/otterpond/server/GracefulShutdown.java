package org.otterpond.server;

import org.otterpond.config.NodeSettings;
import org.otterpond.net.EventLoop;
import org.otterpond.proxy.ShutdownTimes;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Ends a node in order within its grace period: waits until it is quiet, or until its time is over,
 * and ends the process. Owned by the node's owner thread.
 */
final class GracefulShutdown {
  private static final Logger LOG = LoggerFactory.getLogger(GracefulShutdown.class);
  private static final long CHECK_MICROS = 50_000;

  /** Time for the last responses to be sent, and for key locks in flight to be released. */
  private static final long FLUSH_MICROS = 200_000;

  private final EventLoop eventLoop;
  private final NodeSettings settings;
  private final Node node;
  private final Runnable end;
  private ShutdownTimes times;

  /** What is shut down. */
  interface Node {
    /**
     * Begins to give up its roles; returns the least time that it is to run on, in microseconds.
     */
    long begin(ShutdownTimes times);

    /** Returns whether nothing is in progress and no other node needs this one. */
    boolean isQuiet();

    /** Returns what is in progress, as fields for the log. */
    String describe();

    /** Ends what is still in progress: its clients get a response. */
    void finish();

    /** Called right before the end of the process. */
    void close();
  }

  /**
   * Creates the shutdown.
   *
   * @param end ends the process
   */
  GracefulShutdown(EventLoop eventLoop, NodeSettings settings, Node node, Runnable end) {
    this.eventLoop = eventLoop;
    this.settings = settings;
    this.node = node;
    this.end = end;
  }

  /** Begins the shutdown; called once. */
  void begin() {
    long now = EventLoop.now();
    times = ShutdownTimes.of(now, settings.graceMicros());
    long minMicros = node.begin(times);
    eventLoop.after(Math.min(minMicros, times.endAtMicros() - now), this::check);
  }

  private void check() {
    boolean quiet = node.isQuiet();
    long leftMicros = times.endAtMicros() - EventLoop.now();
    if (!quiet && leftMicros > 0) {
      eventLoop.after(Math.min(CHECK_MICROS, leftMicros), this::check);
      return;
    }
    LOG.info("event=left node={} {}", settings.nodeName(), node.describe());
    node.finish();
    eventLoop.after(
        quiet ? CHECK_MICROS : FLUSH_MICROS,
        () -> {
          node.close();
          eventLoop.after(0, end);
        });
  }
}
