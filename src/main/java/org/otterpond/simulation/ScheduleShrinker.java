package org.otterpond.simulation;

import java.util.function.Predicate;

/** Cuts a failing schedule down: fewer faults and less time, as long as it fails. */
final class ScheduleShrinker {
  private static final int MOST_RUNS = 150;
  private static final int STEP = 5;

  private final Predicate<Schedule> fails;
  private int runs;

  ScheduleShrinker(Predicate<Schedule> fails) {
    this.fails = fails;
  }

  Schedule shrink(Schedule failing) {
    Schedule best = failing;
    boolean shorter = true;
    while (shorter && runs < MOST_RUNS) {
      shorter = false;
      for (int i = best.entries().size() - 1; i >= 0 && runs < MOST_RUNS; i--) {
        Schedule fewer = best.without(i);
        if (fails(fewer)) {
          best = fewer;
          shorter = true;
        }
      }
    }
    while (best.seconds() > STEP && runs < MOST_RUNS) {
      Schedule less = best.with(best.entries(), best.seconds() - STEP);
      if (!fails(less)) {
        break;
      }
      best = less;
    }
    return best;
  }

  private boolean fails(Schedule s) {
    runs++;
    return fails.test(s);
  }
}
