package org.otterpond.simulation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * What a frozen process finds when it wakes: on its sockets, and of its own (timers, answers of the
 * disk).
 */
final class PausedTasks {
  /** The connection is null for what is the process's own. */
  private record Waiting(String connection, Runnable task) {}

  private final List<Waiting> waiting = new ArrayList<>();

  void add(String connection, Runnable task) {
    waiting.add(new Waiting(connection, task));
  }

  void clear() {
    waiting.clear();
  }

  /** Takes all of it, as it came. */
  List<Runnable> inOrder() {
    List<Runnable> out = new ArrayList<>();
    waiting.forEach(w -> out.add(w.task()));
    waiting.clear();
    return out;
  }

  /**
   * Takes all of it, sockets apart from the rest. Connections are read in any order, each in its
   * own.
   */
  List<Runnable> apart(boolean socketsFirst, Random random) {
    Map<String, Deque<Runnable>> sockets = new LinkedHashMap<>();
    List<Runnable> own = new ArrayList<>();
    for (Waiting w : waiting) {
      if (w.connection() == null) {
        own.add(w.task());
      } else {
        sockets.computeIfAbsent(w.connection(), c -> new ArrayDeque<>()).add(w.task());
      }
    }
    waiting.clear();
    List<Runnable> read = new ArrayList<>();
    List<Deque<Runnable>> open = new ArrayList<>(sockets.values());
    while (!open.isEmpty()) {
      int at = random.nextInt(open.size());
      read.add(open.get(at).poll());
      if (open.get(at).isEmpty()) {
        open.remove(at);
      }
    }
    List<Runnable> out = new ArrayList<>(socketsFirst ? read : own);
    out.addAll(socketsFirst ? own : read);
    return out;
  }
}
