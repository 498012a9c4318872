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
    return new ScheduleGenerator(core, faults, 4, 0, 20, EnumSet.allOf(Fault.Kind.class), false)
        .make(seed);
  }

  private static Schedule written(Fault... faults) {
    return new Schedule(77, 5, 1, 4, 0, 1, 0, false, 8, List.of(faults));
  }

  private static Fault fault(Fault.Kind kind, long at, long length, String machine) {
    return new Fault(kind, at, length, machine, 3);
  }

  private static boolean breaks(ScheduleOutcome o, String sort) {
    return o.breaches().stream().anyMatch(b -> b.startsWith(sort));
  }

  @ParameterizedTest
  @CsvSource({"8001, 5, 1", "8002, 5, 1", "7001, 4, 1", "9001, 8, 2", "9002, 8, 2"})
  void drawnScheduleIsSound(long seed, int core, int faults) {
    ScheduleOutcome o = new Simulation(drawn(seed, core, faults)).run();
    assertEquals(List.of(), o.breaches());
    assertTrue(
        o.confirmed() > 20 && o.refused() > 20 && o.grants() > 100 && o.leavings() > 3,
        o::toString);
    assertTrue(o.faultsPlayed() > 1, "faults were played");
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
    assertEquals(List.of(), new Simulation(s).run().breaches());
    ScheduleOutcome broken = new Simulation(s).run(f -> f.disks.forEach(d -> d.disk.lying = true));
    assertTrue(breaks(broken, "history:"), () -> broken.breaches().toString());
  }

  /** More disks are wiped at once than the core was to bear. */
  @Test
  void lossOfTheWholeGroupIsNoticed() {
    ScheduleOutcome broken =
        new Simulation(written())
            .run(
                f ->
                    f.world.at(
                        5_000_000,
                        () -> {
                          String backup = f.leader().node.known().backups().get(0).address();
                          for (SimulatedNode n : List.of(f.leader(), f.world.nodes.get(backup))) {
                            n.losePower();
                            n.disk.wipe();
                          }
                        }));
    assertFalse(broken.sound());
  }

  @Test
  void noMoreAreLostAtOnceThanAllowed() {
    FaultBudget l = new FaultBudget(1);
    assertTrue(l.take("a", 0, 1_000_000));
    assertTrue(l.take("a", 500_000, 1_000_000), "the same machine again");
    assertFalse(l.take("b", 5_400_000, 1));
    assertTrue(l.take("b", 5_500_000, 1));
    l.allLostPower(6_000_000);
    assertFalse(l.take("c", 9_900_000, 1));
    assertTrue(l.take("c", 10_000_000, 1));
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
                        && s.entries().stream()
                                .filter(
                                    f -> f.kind() == Fault.Kind.HOLD || f.kind() == Fault.Kind.WIPE)
                                .count()
                            == 2)
            .shrink(failing);
    assertEquals(
        List.of(Fault.Kind.HOLD, Fault.Kind.WIPE),
        least.entries().stream().map(Fault::kind).toList());
    assertEquals(15, least.seconds());
  }

  private static List<Integer> released(SimulatedLink link, long now, long seed) {
    return link.release(now, new Random(seed)).stream().map(l -> (int) l.bytes()[0]).toList();
  }

  @Test
  void shortHoldDeliversAllInOrderAndLaterMessagesBehind() {
    SimulatedLink link = new SimulatedLink();
    link.hold(0);
    long first = link.nextNumber();
    link.keep(link.nextNumber(), new byte[] {2}, 10);
    link.keep(first, new byte[] {1}, 20);
    List<SimulatedLink.Late> late = link.release(500_000, new Random(1));
    assertEquals(List.of(1, 2), late.stream().map(l -> (int) l.bytes()[0]).toList());
    assertTrue(link.arrival(500_000, 1) > 500_000 + late.get(1).delay());
    assertFalse(link.wasReset());
  }

  @Test
  void longHoldDeliversTheHeadOfTheOldConnectionOrNothing() {
    boolean part = false;
    boolean reset = false;
    for (long seed = 0; seed < 40; seed++) {
      SimulatedLink link = new SimulatedLink();
      link.hold(0);
      for (byte i = 1; i <= 3; i++) {
        link.keep(link.nextNumber(), new byte[] {i}, i);
      }
      link.keep(link.nextNumber(), new byte[] {9}, 1_500_000);
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
      tasks.apart(socketsFirst, new Random(seed)).forEach(Runnable::run);
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
        out.toString().contains("verdict=sound") && out.toString().contains("failed=0"),
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
    SimulatedCluster f = new SimulatedCluster(5, 3, 2, 1);
    f.world.width("n1:1", 60_000);
    f.world.run(9_000_000);
    long[] at = {0};
    f.world.nodes.get("n1:1").onConfigured = c -> at[0] = f.world.now();
    Random r = new Random(1);
    StringBuilder padding = new StringBuilder();
    while (padding.length() < 40_000) {
      padding.append(Long.toString(r.nextLong() >>> 1, 36));
    }
    OperationHistory history = new OperationHistory(f.world::now);
    OperatorClient calls = new OperatorClient(f, history, r, 0, 9);
    f.checker.sent(1);
    long sent = f.world.now();
    calls.send(ConfigurationWrite.replace(0, 1, "wide", padding.toString()), 3);
    f.world.run(30_000_000);
    assertTrue(at[0] - sent > 400_000 && at[0] - sent < 2_000_000, "after " + (at[0] - sent));
  }
}
