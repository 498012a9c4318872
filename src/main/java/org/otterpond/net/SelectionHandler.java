package org.otterpond.net;

import java.nio.channels.SelectionKey;

/** Is called when a channel is ready for an operation in the interest set of its key. */
public interface SelectionHandler {
  /** Handles the operations that the key is ready for, on the owner thread. */
  void ready(SelectionKey key);
}
