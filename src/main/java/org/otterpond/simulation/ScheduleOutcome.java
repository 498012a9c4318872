package org.otterpond.simulation;

import java.util.List;

/** What a simulated run showed. A breach begins with a word for its sort. */
record ScheduleOutcome(
    List<String> breaches,
    int operations,
    int confirmed,
    int refused,
    int grants,
    int leavings,
    int faultsPlayed,
    List<String> log) {
  boolean sound() {
    return breaches.isEmpty();
  }

  /** Whether this is a failure of the same sort as another's first. */
  boolean failsAs(ScheduleOutcome other) {
    return breaches.stream().anyMatch(b -> sort(b).equals(sort(other.breaches.get(0))));
  }

  private static String sort(String breach) {
    return breach.substring(0, breach.indexOf(':'));
  }
}
