package org.otterpond.simulation;

import java.util.function.Predicate;

/**
 * Reduces a failing schedule: removes faults and then time, one at a time, as long as it still
 * fails.
 */
final class ScheduleShrinker {
  private static final int MAX_RUNS = 150;
  private static final int STEP_SECONDS = 5;

  private final Predicate<Schedule> fails;
  private int runs;

  /**
   * Creates a shrinker.
   *
   * @param fails runs a schedule and decides whether it fails in the same way
   */
  ScheduleShrinker(Predicate<Schedule> fails) {
    this.fails = fails;
  }

  /** The smallest failing schedule that was found. */
  Schedule shrink(Schedule failing) {
    return removeTime(removeFaults(failing));
  }

  private Schedule removeFaults(Schedule failing) {
    Schedule smallest = failing;
    boolean removed = true;
    while (removed && runs < MAX_RUNS) {
      removed = false;
      for (int i = smallest.faults().size() - 1; i >= 0 && runs < MAX_RUNS; i--) {
        Schedule fewer = smallest.without(i);
        if (stillFails(fewer)) {
          smallest = fewer;
          removed = true;
        }
      }
    }
    return smallest;
  }

  private Schedule removeTime(Schedule failing) {
    Schedule smallest = failing;
    while (smallest.seconds() > STEP_SECONDS && runs < MAX_RUNS) {
      Schedule shorter = smallest.with(smallest.faults(), smallest.seconds() - STEP_SECONDS);
      if (!stillFails(shorter)) {
        break;
      }
      smallest = shorter;
    }
    return smallest;
  }

  private boolean stillFails(Schedule schedule) {
    runs++;
    return fails.test(schedule);
  }
}
