package org.otterpond.simulation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * What a frozen process finds when it resumes: messages on its connections, and tasks of its own
 * such as expired timers and completed disk writes.
 */
final class PausedTasks {
  /** The connection is null for a task of the process's own. */
  private record PausedTask(String connection, Runnable task) {}

  private final List<PausedTask> tasks = new ArrayList<>();

  /** Adds a task; the connection is null for a task of the process's own. */
  void add(String connection, Runnable task) {
    tasks.add(new PausedTask(connection, task));
  }

  void clear() {
    tasks.clear();
  }

  /** Takes all tasks in the order in which they were added. */
  List<Runnable> takeInOrder() {
    List<Runnable> taken = new ArrayList<>();
    tasks.forEach(paused -> taken.add(paused.task()));
    tasks.clear();
    return taken;
  }

  /**
   * Takes all tasks, those of connections apart from the process's own. Connections are read in a
   * random order, each in the order of its messages.
   *
   * @param socketsFirst whether the tasks of connections come before the process's own
   */
  List<Runnable> takeByConnection(boolean socketsFirst, Random random) {
    Map<String, Deque<Runnable>> byConnection = new LinkedHashMap<>();
    List<Runnable> own = new ArrayList<>();
    for (PausedTask paused : tasks) {
      if (paused.connection() == null) {
        own.add(paused.task());
      } else {
        byConnection
            .computeIfAbsent(paused.connection(), connection -> new ArrayDeque<>())
            .add(paused.task());
      }
    }
    tasks.clear();
    List<Runnable> read = interleave(new ArrayList<>(byConnection.values()), random);
    List<Runnable> taken = new ArrayList<>(socketsFirst ? read : own);
    taken.addAll(socketsFirst ? own : read);
    return taken;
  }

  private static List<Runnable> interleave(List<Deque<Runnable>> connections, Random random) {
    List<Runnable> read = new ArrayList<>();
    while (!connections.isEmpty()) {
      int index = random.nextInt(connections.size());
      read.add(connections.get(index).poll());
      if (connections.get(index).isEmpty()) {
        connections.remove(index);
      }
    }
    return read;
  }
}
