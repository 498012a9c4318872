package org.otterpond.simulation;

import java.util.List;

/** Schedules of the tests of the simulator itself. */
final class SimulationFixture {
  private SimulationFixture() {}

  /** A short schedule of a core of five with these faults. */
  static Schedule schedule(Fault... faults) {
    return new Schedule(77, 5, 1, 4, 0, 1, 0, false, 8, List.of(faults));
  }

  static Fault fault(Fault.Kind kind, long atMillis, long durationMillis, String target) {
    return new Fault(kind, atMillis, durationMillis, target, 3);
  }
}
