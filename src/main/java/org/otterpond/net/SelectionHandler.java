package org.otterpond.net;

import java.nio.channels.SelectionKey;

/** What is told when a channel can go on. */
public interface SelectionHandler {
  void ready(SelectionKey key);
}
