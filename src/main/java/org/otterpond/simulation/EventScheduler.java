package org.otterpond.simulation;

import java.util.PriorityQueue;

/**
 * The simulated clock and the queue of everything that is still to happen. Events run one at a time
 * in the order of their times; events of the same time run in the order in which they were
 * scheduled.
 */
final class EventScheduler {
  private static final long START_MICROS = 1_000_000;

  private record Event(long timeMicros, long sequence, Runnable task) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(timeMicros, other.timeMicros);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }

  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private long nowMicros = START_MICROS;
  private long lastSequence;

  /** The simulated time in microseconds. */
  long now() {
    return nowMicros;
  }

  /** Runs the task after the delay; a delay below 0 counts as 0. */
  void schedule(long delayMicros, Runnable task) {
    events.add(new Event(nowMicros + Math.max(0, delayMicros), ++lastSequence, task));
  }

  /** Runs all events of the next so many microseconds and moves the clock to the end of them. */
  void run(long durationMicros) {
    long endMicros = nowMicros + durationMicros;
    while (!events.isEmpty() && events.peek().timeMicros() <= endMicros) {
      Event event = events.poll();
      nowMicros = event.timeMicros();
      event.task().run();
    }
    nowMicros = endMicros;
  }
}
