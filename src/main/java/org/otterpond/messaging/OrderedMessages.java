package org.otterpond.messaging;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The queued messages that have an ordering key, by key in the order of their acceptance. */
final class OrderedMessages {
  private static final Comparator<Message> BY_SERIAL =
      Comparator.comparingLong(message -> message.serial);

  private final Map<String, ArrayDeque<Message>> byKey = new HashMap<>();

  /** Adds a message, also where the log has one that was accepted earlier further on. */
  void add(Message message) {
    ArrayDeque<Message> queue =
        byKey.computeIfAbsent(message.keys().scopedOrderingKey(), key -> new ArrayDeque<>());
    if (queue.isEmpty() || queue.peekLast().serial <= message.serial) {
      queue.addLast(message);
      return;
    }
    List<Message> sorted = new ArrayList<>(queue);
    sorted.add(message);
    sorted.sort(BY_SERIAL);
    queue.clear();
    queue.addAll(sorted);
  }

  boolean isFirst(Message message) {
    return byKey.get(message.keys().scopedOrderingKey()).peekFirst() == message;
  }

  /** Removes a message and returns the one that is first then, or null. */
  Message removeAndPeek(Message message) {
    String key = message.keys().scopedOrderingKey();
    ArrayDeque<Message> queue = byKey.get(key);
    if (queue == null) {
      return null;
    }
    queue.remove(message);
    if (queue.isEmpty()) {
      byKey.remove(key);
    }
    return queue.peekFirst();
  }

  void clear() {
    byKey.clear();
  }
}
