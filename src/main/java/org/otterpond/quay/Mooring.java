package org.otterpond.quay;

import java.nio.channels.SelectionKey;

/** What is told when a channel can go on. */
public interface Mooring {
  void ready(SelectionKey key);
}
