package org.otterpond.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import picocli.CommandLine;

/**
 * Schedules of the simulator: sound ones, ones with something broken on purpose, and how they are
 * cut down.
 */
class SimulationTest {
  private static Schedule drawn(long seed, int core, int faults) {
    return new ScheduleGenerator(
            new ScheduleGenerator.Settings(
                core, faults, 4, 0, 20, EnumSet.allOf(Fault.Kind.class), false))
        .generate(seed);
  }

  private static Schedule written(Fault... faults) {
    return new Schedule(77, 5, 1, 4, 0, 1, 0, false, 8, List.of(faults));
  }

  private static Fault fault(Fault.Kind kind, long at, long length, String machine) {
    return new Fault(kind, at, length, machine, 3);
  }

  private static boolean breaks(ScheduleOutcome o, Violation.Kind kind) {
    return o.violations().stream().anyMatch(violation -> violation.kind() == kind);
  }

  @ParameterizedTest
  @CsvSource({"8001, 5, 1", "8002, 5, 1", "7001, 4, 1", "9001, 8, 2", "9002, 8, 2"})
  void drawnScheduleIsSound(long seed, int core, int faults) {
    ScheduleOutcome o = new Simulation(drawn(seed, core, faults)).run();
    assertEquals(List.of(), o.violations());
    assertTrue(
        o.confirmed() > 20 && o.rejected() > 20 && o.keyGrants() > 100 && o.drains() > 3,
        o::toString);
    assertTrue(o.faultsInjected() > 1, "faults were played");
  }

  @Test
  void replayedLineIsTheSameRun() {
    Schedule s = drawn(8003, 5, 1);
    assertEquals(s, Schedule.parse(s.line()));
    assertEquals(new Simulation(s).run(), new Simulation(Schedule.parse(s.line())).run());
  }

  /** Disks that answer before anything is safe, and a loss of all power. */
  @Test
  void lyingDisksAreNoticed() {
    Schedule s = written(fault(Fault.Kind.POWER, 6_000, 500, Fault.ALL));
    assertEquals(List.of(), new Simulation(s).run().violations());
    ScheduleOutcome broken =
        new Simulation(s)
            .run(cluster -> cluster.coreNodes.forEach(d -> d.disk.acknowledgesBeforeSync = true));
    assertTrue(
        breaks(broken, Violation.Kind.LINEARIZABILITY), () -> broken.violations().toString());
  }

  /** More disks are wiped at once than the core was to bear. */
  @Test
  void lossOfTheWholeGroupIsNoticed() {
    ScheduleOutcome broken =
        new Simulation(written())
            .run(
                cluster ->
                    cluster.world.schedule(
                        5_000_000,
                        () -> {
                          String backup =
                              cluster.primary().agent.known().backups().get(0).address();
                          for (SimulatedNode n : List.of(cluster.primary(), cluster.node(backup))) {
                            n.losePower();
                            n.disk.wipe();
                          }
                        }));
    assertFalse(broken.passed());
  }

  @Test
  void noMoreAreLostAtOnceThanAllowed() {
    FaultBudget l = new FaultBudget(1);
    assertTrue(l.tryReserve("a", 0, 1_000_000));
    assertTrue(l.tryReserve("a", 500_000, 1_000_000), "the same machine again");
    assertFalse(l.tryReserve("b", 5_400_000, 1));
    assertTrue(l.tryReserve("b", 5_500_000, 1));
    l.allLostPower(6_000_000);
    assertFalse(l.tryReserve("c", 9_900_000, 1));
    assertTrue(l.tryReserve("c", 10_000_000, 1));
  }

  @Test
  void shrinkerKeepsWhatMattersOnly() {
    List<Fault> many = new ArrayList<>();
    for (Fault.Kind k : Fault.Kind.values()) {
      many.add(fault(k, 1_000, 100, "d1:1"));
    }
    Schedule failing = written().with(many, 30);
    Schedule least =
        new ScheduleShrinker(
                s ->
                    s.seconds() > 12
                        && s.faults().stream()
                                .filter(
                                    f -> f.kind() == Fault.Kind.HOLD || f.kind() == Fault.Kind.WIPE)
                                .count()
                            == 2)
            .shrink(failing);
    assertEquals(
        List.of(Fault.Kind.HOLD, Fault.Kind.WIPE),
        least.faults().stream().map(Fault::kind).toList());
    assertEquals(15, least.seconds());
  }

  private static List<Integer> released(SimulatedLink<Integer> link, long now, long seed) {
    return link.stopBuffering(now, new Random(seed)).stream()
        .map(SimulatedLink.DelayedMessage::message)
        .toList();
  }

  @Test
  void shortHoldDeliversAllInOrderAndLaterMessagesBehind() {
    SimulatedLink<Integer> link = new SimulatedLink<>();
    link.startBuffering(0);
    long first = link.nextSequence();
    link.buffer(link.nextSequence(), 2, 10);
    link.buffer(first, 1, 20);
    List<SimulatedLink.DelayedMessage<Integer>> late = link.stopBuffering(500_000, new Random(1));
    assertEquals(List.of(1, 2), late.stream().map(SimulatedLink.DelayedMessage::message).toList());
    assertTrue(link.arrivalMicros(500_000, 1) > 500_000 + late.get(1).delayMicros());
    assertFalse(link.wasReset());
  }

  @Test
  void longHoldDeliversTheHeadOfTheOldConnectionOrNothing() {
    boolean part = false;
    boolean reset = false;
    for (long seed = 0; seed < 40; seed++) {
      SimulatedLink<Integer> link = new SimulatedLink<>();
      link.startBuffering(0);
      for (int i = 1; i <= 3; i++) {
        link.buffer(link.nextSequence(), i, i);
      }
      link.buffer(link.nextSequence(), 9, 1_500_000);
      List<Integer> out = released(link, 9_000_000, seed * 1_000_003);
      assertEquals(
          List.of(1, 2, 3).subList(0, out.size()), out, "what was dialled in the cut is given up");
      part |= out.size() == 1 || out.size() == 2;
      reset |= link.wasReset();
      assertTrue(!link.wasReset() || out.isEmpty());
    }
    assertTrue(part && reset);
  }

  @Test
  void wakingProcessReadsEachConnectionInItsOrderAndSocketsApart() {
    for (long seed = 0; seed < 20; seed++) {
      boolean socketsFirst = seed % 2 == 0;
      PausedTasks tasks = new PausedTasks();
      StringBuilder out = new StringBuilder();
      for (String s : List.of("a1", "b1", "t1", "a2", "t2", "b2")) {
        tasks.add(s.startsWith("t") ? null : s.substring(0, 1), () -> out.append(s));
      }
      tasks.takeByConnection(socketsFirst, new Random(seed)).forEach(Runnable::run);
      assertTrue(out.indexOf("a1") < out.indexOf("a2") && out.indexOf("b1") < out.indexOf("b2"));
      assertEquals(socketsFirst ? 8 : 0, out.indexOf("t1t2"), out::toString);
    }
  }

  @Test
  void commandTellsABreachFromWrongUsage() {
    assertEquals(0, simulate("--replay", written().line()));
    // Nothing of any size gets through such links, so not all nodes have the newest version in the
    // end.
    Schedule narrow = new Schedule(77, 5, 1, 4, 0, 1, 100, false, 5, List.of());
    assertEquals(1, simulate("--replay", narrow.line()));
    assertEquals(2, simulate("--kinds", "flood"));
    assertEquals(2, simulate("--core", "3", "--faults", "3"));
    assertEquals(2, simulate("--replay", "[]"));
    StringWriter out = new StringWriter();
    assertEquals(
        0,
        new CommandLine(new SimulateCommand())
            .setOut(new PrintWriter(out))
            .execute(
                "--seed", "8004", "--schedules", "1", "--seconds", "5", "--kinds", "cut,one-way"));
    assertTrue(
        out.toString().contains("verdict=passed") && out.toString().contains("failed=0"),
        out::toString);
  }

  private static int simulate(String... args) {
    return new CommandLine(new SimulateCommand())
        .setErr(new PrintWriter(new StringWriter()))
        .setOut(new PrintWriter(new StringWriter()))
        .execute(args);
  }

  @Test
  void narrowLinkTakesItsTime() {
    SimulatedCluster cluster = new SimulatedCluster(5, 3, 2, 1);
    cluster.world.network.limitBandwidth("n1:1", 60_000);
    cluster.world.run(9_000_000);
    long[] at = {0};
    cluster.node("n1:1").onConfigured = c -> at[0] = cluster.world.now();
    Random r = new Random(1);
    StringBuilder padding = new StringBuilder();
    while (padding.length() < 40_000) {
      padding.append(Long.toString(r.nextLong() >>> 1, 36));
    }
    OperationHistory history = new OperationHistory(cluster.world::now);
    OperatorClient calls = new OperatorClient(cluster, history, r, 0, 9);
    cluster.checker.writeSent(1);
    long sent = cluster.world.now();
    calls.send(ConfigurationWrite.replace(0, 1, "wide", padding.toString()), 3);
    cluster.world.run(30_000_000);
    assertTrue(at[0] - sent > 400_000 && at[0] - sent < 2_000_000, "after " + (at[0] - sent));
  }
}
