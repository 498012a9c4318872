package org.otterpond.simulation;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonSyntaxException;
import java.util.ArrayList;
import java.util.List;

/**
 * All that decides a simulated run: the same schedule is the same run, event by event.
 *
 * @param faults how many machines may be lost at once
 * @param edgeFaults how many of those without a disk beside them; 0 counts them with the others
 * @param zones the machines stand in so many zones
 * @param width bytes a second on the links of machines without a disk; 0 has no bound
 * @param storm whether changes come in quick succession, and orders are sent again however many lie
 *     between
 */
record Schedule(
    long seed,
    int core,
    int faults,
    int edge,
    int edgeFaults,
    int zones,
    long width,
    boolean storm,
    int seconds,
    List<Fault> entries) {
  private static final Gson JSON = new GsonBuilder().disableHtmlEscaping().create();

  static Schedule parse(String line) {
    Schedule s = JSON.fromJson(line, Schedule.class);
    if (s == null || s.entries() == null) {
      throw new JsonSyntaxException("a schedule is wanted, as it was printed");
    }
    return s;
  }

  Schedule without(int index) {
    List<Fault> fewer = new ArrayList<>(entries);
    fewer.remove(index);
    return with(fewer, seconds);
  }

  Schedule with(List<Fault> other, int otherSeconds) {
    return new Schedule(
        seed,
        core,
        faults,
        edge,
        edgeFaults,
        zones,
        width,
        storm,
        otherSeconds,
        List.copyOf(other));
  }

  /** One line, from which the run can be had again. */
  String line() {
    return JSON.toJson(this);
  }
}
