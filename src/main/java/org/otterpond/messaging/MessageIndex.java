package org.otterpond.messaging;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.otterpond.messaging.message.MessageState;

/** The messages of one partition in memory, by id and by operation, with their counts. */
final class MessageIndex {
  private static final int OLDEST_SEARCH_LIMIT = 200;

  private final Map<String, Message> byId = new LinkedHashMap<>();
  private final Map<String, Message> byOperation = new HashMap<>();
  private final ArrayDeque<Message> ended = new ArrayDeque<>();
  private int queuedCount;
  private int deadCount;

  Message get(String id) {
    return byId.get(id);
  }

  Message ofOperation(String scopedOperationKey) {
    return byOperation.get(scopedOperationKey);
  }

  /** Returns all messages in the order in which they were added. */
  Collection<Message> all() {
    return byId.values();
  }

  int queuedCount() {
    return queuedCount;
  }

  int deadCount() {
    return deadCount;
  }

  void add(Message message) {
    byId.put(message.id(), message);
    String operation = message.keys().scopedOperationKey();
    if (operation != null) {
      byOperation.putIfAbsent(operation, message);
    }
    if (message.queued()) {
      queuedCount++;
    } else {
      countEnded(message);
    }
  }

  /** Notes that a message which was queued has ended. */
  void ended(Message message) {
    queuedCount--;
    countEnded(message);
  }

  private void countEnded(Message message) {
    deadCount += message.state == MessageState.DEAD_LETTER ? 1 : 0;
    ended.addLast(message);
  }

  /** Removes a message; returns whether it was there. */
  boolean remove(Message message) {
    if (!byId.remove(message.id(), message)) {
      return false;
    }
    String operation = message.keys().scopedOperationKey();
    if (operation != null) {
      byOperation.remove(operation, message);
    }
    if (message.queued()) {
      queuedCount--;
    } else {
      deadCount -= message.state == MessageState.DEAD_LETTER ? 1 : 0;
      ended.remove(message);
    }
    return true;
  }

  /** Removes and returns the messages that ended before a time. */
  List<Message> removeEndedBefore(long timeMicros) {
    List<Message> removed = new ArrayList<>();
    while (!ended.isEmpty() && ended.peekFirst().endedAtMicros < timeMicros) {
      Message message = ended.pollFirst();
      byId.remove(message.id());
      deadCount -= message.state == MessageState.DEAD_LETTER ? 1 : 0;
      String operation = message.keys().scopedOperationKey();
      if (operation != null) {
        byOperation.remove(operation, message);
      }
      removed.add(message);
    }
    return removed;
  }

  /** Returns for how long about the oldest message that is due has waited; 0 if none is. */
  long oldestWaitMicros(long nowMicros) {
    // In the order of acceptance: the first that is due is the oldest, or close to it.
    int searched = 0;
    for (Message message : byId.values()) {
      if (message.queued() && message.dueAtMicros <= nowMicros) {
        return nowMicros - message.dueAtMicros;
      }
      if (++searched > OLDEST_SEARCH_LIMIT) {
        break;
      }
    }
    return 0;
  }

  void clear() {
    byId.clear();
    byOperation.clear();
    ended.clear();
    queuedCount = 0;
    deadCount = 0;
  }
}
