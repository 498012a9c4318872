package org.otterpond.control.primary;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.otterpond.control.message.NodePoll;
import org.otterpond.runtime.NodeRuntime;

/**
 * Polls that arrive while this node is about to become the primary. They are handled once it is, so
 * that the senders need not wait for a time-out.
 */
final class EarlyPolls {
  /** An older poll may be of a process, or of a disk, that is gone. */
  private static final long RETENTION_MICROS = 1_500_000;

  private final NodeRuntime runtime;

  /** By the sender's address, in the order of their arrival. */
  private final Map<String, EarlyPoll> polls = new LinkedHashMap<>();

  private record EarlyPoll(NodePoll poll, long arrivedAtMicros) {}

  EarlyPolls(NodeRuntime runtime) {
    this.runtime = runtime;
  }

  /** Keeps the newest poll of a node, and drops those whose senders may be gone. */
  void add(String address, NodePoll poll) {
    long now = runtime.now();
    polls.remove(address);
    polls.put(address, new EarlyPoll(poll, now));
    Iterator<EarlyPoll> oldestFirst = polls.values().iterator();
    while (now - oldestFirst.next().arrivedAtMicros() > RETENTION_MICROS) {
      oldestFirst.remove();
    }
  }

  /** Returns how many polls are kept. */
  int size() {
    return polls.size();
  }

  /** Removes all polls and returns those that are recent, by the sender's address. */
  Map<String, NodePoll> removeAll() {
    long now = runtime.now();
    Map<String, NodePoll> recent = new HashMap<>();
    polls.forEach(
        (address, early) -> {
          if (now - early.arrivedAtMicros() <= RETENTION_MICROS) {
            recent.put(address, early.poll());
          }
        });
    polls.clear();
    return recent;
  }
}
