package org.otterpond.messaging;

import java.util.HashMap;
import java.util.Map;
import org.otterpond.net.EventLoop;

/** Counts the deliveries in progress, by partition, and reports when a partition has none left. */
final class ActiveDeliveries {
  private final EventLoop eventLoop;
  private final Map<MessagePartition, Integer> countByPartition = new HashMap<>();
  private final Map<MessagePartition, Runnable> quietListeners = new HashMap<>();

  ActiveDeliveries(EventLoop eventLoop) {
    this.eventLoop = eventLoop;
  }

  void began(MessagePartition partition) {
    countByPartition.merge(partition, 1, Integer::sum);
  }

  void ended(MessagePartition partition) {
    if (countByPartition.merge(partition, -1, Integer::sum) <= 0) {
      countByPartition.remove(partition);
      Runnable listener = quietListeners.remove(partition);
      if (listener != null) {
        // After the outcome of this delivery has been taken in.
        eventLoop.after(0, listener);
      }
    }
  }

  /** Runs the task once no delivery of the partition is in progress. */
  void whenQuiet(MessagePartition partition, Runnable task) {
    if (countByPartition.containsKey(partition)) {
      quietListeners.put(partition, task);
    } else {
      task.run();
    }
  }

  /** Returns a copy of the counts by partition; partitions without deliveries are left out. */
  Map<MessagePartition, Integer> countByPartition() {
    return new HashMap<>(countByPartition);
  }

  int total() {
    int total = 0;
    for (int count : countByPartition.values()) {
      total += count;
    }
    return total;
  }
}
