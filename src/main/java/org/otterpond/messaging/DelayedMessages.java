package org.otterpond.messaging;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import org.otterpond.replication.ReplicaGroupRuntime;

/** The messages of one partition that are not due yet, with one timer for the earliest. */
final class DelayedMessages {
  private static final long MIN_TIMER_MICROS = 1_000;

  private final ReplicaGroupRuntime runtime;
  private final Consumer<Message> due;
  private final PriorityQueue<Message> earliestFirst =
      new PriorityQueue<>(Comparator.comparingLong((Message message) -> message.dueAtMicros));
  private long timerAtMicros = Long.MAX_VALUE;

  /**
   * Creates an empty queue.
   *
   * @param due gets each message once it is due
   */
  DelayedMessages(ReplicaGroupRuntime runtime, Consumer<Message> due) {
    this.runtime = runtime;
    this.due = due;
  }

  /** Adds a message that is not there yet. */
  void add(Message message) {
    earliestFirst.add(message);
    schedule();
  }

  void remove(Message message) {
    earliestFirst.remove(message);
  }

  /** Removes and returns all messages. */
  List<Message> removeAll() {
    List<Message> all = new ArrayList<>(earliestFirst);
    earliestFirst.clear();
    return all;
  }

  int size() {
    return earliestFirst.size();
  }

  /** Returns whether a timer will run when the earliest message is due, or before. */
  boolean isScheduled() {
    return earliestFirst.isEmpty() || timerAtMicros <= earliestFirst.peek().dueAtMicros;
  }

  private void schedule() {
    if (earliestFirst.isEmpty() || earliestFirst.peek().dueAtMicros >= timerAtMicros) {
      return;
    }
    timerAtMicros = earliestFirst.peek().dueAtMicros;
    runtime.after(Math.max(MIN_TIMER_MICROS, timerAtMicros - runtime.now()), this::expire);
  }

  private void expire() {
    timerAtMicros = Long.MAX_VALUE;
    long now = runtime.now();
    while (!earliestFirst.isEmpty() && earliestFirst.peek().dueAtMicros <= now) {
      due.accept(earliestFirst.poll());
    }
    schedule();
  }
}
