package org.otterpond.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class EventSchedulerTest {
  @Test
  void eventsRunByTimeAndThenInOrderOfScheduling() {
    EventScheduler scheduler = new EventScheduler();
    final long startMicros = scheduler.now();
    List<String> events = new ArrayList<>();
    scheduler.schedule(20, () -> events.add("late"));
    scheduler.schedule(10, () -> events.add("first of two"));
    scheduler.schedule(10, () -> scheduler.schedule(-5, () -> events.add("scheduled meanwhile")));
    scheduler.schedule(10, () -> events.add("second of two"));
    scheduler.schedule(31, () -> events.add("after the end"));

    scheduler.run(30);

    assertEquals(List.of("first of two", "second of two", "scheduled meanwhile", "late"), events);
    assertEquals(startMicros + 30, scheduler.now());
  }
}
