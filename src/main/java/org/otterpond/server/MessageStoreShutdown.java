package org.otterpond.server;

import org.otterpond.messaging.MessageDispatcher;
import org.otterpond.messaging.MessageStore;
import org.otterpond.proxy.ShutdownTimes;

/**
 * What a storage node does to shut down: it hands over the partitions that it leads, and is quiet
 * once none is left and no delivery is in progress.
 */
final class MessageStoreShutdown implements GracefulShutdown.Node {
  private static final long MIN_DRAIN_MICROS = 100_000;

  private final MessageStore store;
  private final MessageDispatcher dispatcher;

  MessageStoreShutdown(MessageStore store, MessageDispatcher dispatcher) {
    this.store = store;
    this.dispatcher = dispatcher;
  }

  @Override
  public long begin(ShutdownTimes times) {
    store.retire();
    return MIN_DRAIN_MICROS;
  }

  @Override
  public boolean isQuiet() {
    boolean quiet = store.isDrained() && dispatcher.open() == 0;
    if (!quiet) {
      // Partitions may have come to serve since.
      store.retire();
    }
    return quiet;
  }

  @Override
  public String describe() {
    return "drained=" + store.isDrained() + " deliveries=" + dispatcher.open();
  }

  @Override
  public void finish() {
    // Its messages are delivered by the next primaries of their partitions.
  }

  @Override
  public void close() {
    // No client is connected to a storage node.
  }
}
