package org.otterpond.server;

import org.otterpond.config.NodeSettings;
import org.otterpond.messaging.MessageDispatcher;
import org.otterpond.messaging.MessageStore;
import org.otterpond.net.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Shuts down a storage node: it hands over the partitions that it leads, and ends once none is left
 * and no delivery is in progress.
 */
final class MessageStoreShutdown implements GracefulShutdown {
  private static final Logger LOG = LoggerFactory.getLogger(MessageStoreShutdown.class);
  private static final long CHECK_MICROS = 100_000;

  private final EventLoop eventLoop;
  private final NodeSettings settings;
  private final MessageStore store;
  private final MessageDispatcher dispatcher;
  private final Runnable end;
  private long deadlineMicros;

  /**
   * Creates the shutdown.
   *
   * @param end ends the process
   */
  MessageStoreShutdown(
      EventLoop eventLoop,
      NodeSettings settings,
      MessageStore store,
      MessageDispatcher dispatcher,
      Runnable end) {
    this.eventLoop = eventLoop;
    this.settings = settings;
    this.store = store;
    this.dispatcher = dispatcher;
    this.end = end;
  }

  @Override
  public void begin() {
    store.retire();
    deadlineMicros = EventLoop.now() + settings.graceMicros() - MARGIN_MICROS - FLUSH_MICROS;
    eventLoop.after(CHECK_MICROS, this::check);
  }

  private void check() {
    boolean quiet = store.isDrained() && dispatcher.open() == 0;
    if (!quiet && EventLoop.now() < deadlineMicros) {
      store.retire();
      eventLoop.after(CHECK_MICROS, this::check);
      return;
    }
    LOG.info("event=left node={} quiet={}", settings.nodeName(), quiet);
    eventLoop.after(FLUSH_MICROS, end);
  }
}
