package org.otterpond.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class ScheduleShrinkerTest {
  @Test
  void shrinkerKeepsOnlyRelevantFaults() {
    List<Fault> allKinds =
        Stream.of(Fault.Kind.values())
            .map(kind -> SimulationFixture.fault(kind, 1_000, 100, "d1:1"))
            .toList();
    Schedule failing = SimulationFixture.schedule().with(allKinds, 30);

    Schedule smallest =
        new ScheduleShrinker(
                schedule -> schedule.seconds() > 12 && countRelevantFaults(schedule) == 2)
            .shrink(failing);

    assertEquals(
        List.of(Fault.Kind.HOLD, Fault.Kind.WIPE),
        smallest.faults().stream().map(Fault::kind).toList());
    assertEquals(15, smallest.seconds());
  }

  private static long countRelevantFaults(Schedule schedule) {
    return schedule.faults().stream()
        .filter(fault -> fault.kind() == Fault.Kind.HOLD || fault.kind() == Fault.Kind.WIPE)
        .count();
  }
}
