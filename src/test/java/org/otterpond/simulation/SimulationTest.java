package org.otterpond.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.otterpond.simulation.SimulationFixture.fault;
import static org.otterpond.simulation.SimulationFixture.schedule;

import java.util.EnumSet;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Runs of whole schedules: those that must pass, and those with a defect that must be detected. */
class SimulationTest {
  private static Schedule generate(long seed, int coreSize, int maxFailures) {
    return new ScheduleGenerator(
            new ScheduleGenerator.Settings(
                coreSize, maxFailures, 4, 0, 20, EnumSet.allOf(Fault.Kind.class), false))
        .generate(seed);
  }

  @ParameterizedTest
  @CsvSource({"8001, 5, 1", "8002, 5, 1", "7001, 4, 1", "9001, 8, 2", "9002, 8, 2"})
  void generatedSchedulePasses(long seed, int coreSize, int maxFailures) {
    Schedule schedule = generate(seed, coreSize, maxFailures);

    ScheduleOutcome outcome = new Simulation(schedule).run();

    assertEquals(List.of(), outcome.violations());
    assertTrue(
        outcome.confirmed() > 20
            && outcome.rejected() > 20
            && outcome.keyGrants() > 100
            && outcome.drains() > 3,
        outcome::toString);
    assertTrue(outcome.faultsInjected() > 1, "faults were injected");
  }

  @Test
  void replayedScheduleLineGivesSameRun() {
    Schedule schedule = generate(8003, 5, 1);

    Schedule replayed = Schedule.parse(schedule.line());

    assertEquals(schedule, replayed);
    assertEquals(new Simulation(schedule).run(), new Simulation(replayed).run());
  }

  @Test
  void disksThatAcknowledgeBeforeSyncAreDetected() {
    Schedule schedule = schedule(fault(Fault.Kind.POWER, 6_000, 500, Fault.ALL));
    assertEquals(List.of(), new Simulation(schedule).run().violations());

    ScheduleOutcome outcome =
        new Simulation(schedule)
            .run(
                cluster ->
                    cluster.coreNodes.forEach(node -> node.disk.acknowledgesBeforeSync = true));

    assertTrue(
        outcome.violations().stream()
            .anyMatch(violation -> violation.kind() == Violation.Kind.LINEARIZABILITY),
        () -> outcome.violations().toString());
  }

  /** More disks are wiped at once than the core must tolerate. */
  @Test
  void lossOfWholeGroupIsDetected() {
    ScheduleOutcome outcome =
        new Simulation(schedule())
            .run(cluster -> cluster.world.schedule(5_000_000, () -> wipeGroup(cluster)));

    assertFalse(outcome.passed());
  }

  private static void wipeGroup(SimulatedCluster cluster) {
    SimulatedNode backup = ClusterFixture.firstBackup(cluster);
    for (SimulatedNode node : List.of(cluster.primary(), backup)) {
      node.losePower();
      node.disk.wipe();
    }
  }
}
