package org.otterpond.simulation;

import com.google.gson.JsonSyntaxException;
import java.io.PrintWriter;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Plays random schedules of calls and faults on simulated fleets, and judges each. */
@Command(
    name = "simulate",
    description = "Plays random schedules of operations and faults on simulated fleets.",
    mixinStandardHelpOptions = true)
public final class SimulateCommand implements Callable<Integer> {
  private static final int BREACH = 1;
  private static final int WRONG_USAGE = 2;
  private static final int MOST_CORE = 9;

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Option(
      names = "--seed",
      defaultValue = "1",
      description = "The first schedule's; each more has the next. ${DEFAULT-VALUE} if left out.")
  private long seed;

  @Option(
      names = "--core",
      defaultValue = "5",
      description = "Machines with a disk; ${DEFAULT-VALUE} if left out.")
  private int core;

  @Option(
      names = "--faults",
      defaultValue = "1",
      description = "Machines that may be lost at once; ${DEFAULT-VALUE} if left out.")
  private int faults;

  @Option(
      names = "--edge",
      defaultValue = "4",
      description = "Machines without; ${DEFAULT-VALUE} if left out.")
  private int edge;

  @Option(
      names = "--edge-faults",
      defaultValue = "0",
      description =
          "Machines without a disk that may be lost beside them; 0, as if left out, counts all together.")
  private int edgeFaults;

  @Option(
      names = "--schedules",
      defaultValue = "10",
      description = "How many; ${DEFAULT-VALUE} if left out.")
  private int schedules;

  @Option(
      names = "--seconds",
      defaultValue = "30",
      description =
          "Simulated time of each, beside founding and healing; ${DEFAULT-VALUE} if left out.")
  private int seconds;

  @Option(
      names = "--kinds",
      split = ",",
      paramLabel = "KIND",
      description =
          "Faults to draw from: cut, freeze, kill, power, wipe, one-way, hold, disk; all if left out.")
  private List<String> kinds;

  @Option(
      names = "--no-storm",
      description =
          "No order is sent again once more than 40 changes lie between; else, in"
              + " one schedule of four, changes come in quick succession and however many may.")
  private boolean noStorm;

  @Option(
      names = "--replay",
      paramLabel = "SCHEDULE",
      description = "Plays one schedule, as it was printed.")
  private String replay;

  @Option(names = "--log", description = "Prints the nodes' events of a schedule that is replayed.")
  private boolean log;

  @Override
  public Integer call() {
    // One line a simulation is for the log of tests.
    System.setProperty("org.slf4j.simpleLogger.log.org.otterpond.simulation", "warn");
    if (replay != null) {
      return replay();
    }
    if (core < 1
        || core > MOST_CORE
        || faults < 0
        || faults >= core
        || edge < 0
        || edgeFaults < 0
        || core + edge < 3
        || seconds < 2
        || schedules < 1) {
      return wrong(
          "--core: 1 to " + MOST_CORE + "; --faults: fewer; --seconds: 2 at least; three machines");
    }
    Set<Fault.Kind> drawn = EnumSet.allOf(Fault.Kind.class);
    if (kinds != null) {
      drawn.clear();
      try {
        kinds.forEach(k -> drawn.add(Fault.Kind.of(k)));
      } catch (IllegalArgumentException e) {
        return wrong("--kinds: " + kinds);
      }
    }
    ScheduleGenerator maker =
        new ScheduleGenerator(core, faults, edge, edgeFaults, seconds, drawn, !noStorm);
    int failed = 0;
    for (int i = 0; i < schedules; i++) {
      Schedule s = maker.make(seed + i);
      ScheduleOutcome o = new Simulation(s).run();
      print(s, o);
      if (!o.sound()) {
        failed++;
        Schedule least =
            new ScheduleShrinker(fewer -> new Simulation(fewer).run().failsAs(o)).shrink(s);
        ScheduleOutcome again = new Simulation(least).run();
        out()
            .println(
                "event=schedule_shrunk seed=" + s.seed() + " faults=" + least.entries().size());
        again.breaches().forEach(b -> out().println("  " + b));
        out().println("  otterpond simulate --replay '" + least.line() + "'");
        out().flush();
      }
    }
    out().println("event=simulated schedules=" + schedules + " failed=" + failed);
    out().flush();
    return failed > 0 ? BREACH : 0;
  }

  private int replay() {
    Schedule s;
    try {
      s = Schedule.parse(replay);
    } catch (JsonSyntaxException e) {
      return wrong("--replay: " + e.getMessage());
    }
    ScheduleOutcome o = new Simulation(s).run();
    if (log) {
      o.log().forEach(out()::println);
    }
    print(s, o);
    return o.sound() ? 0 : BREACH;
  }

  private int wrong(String what) {
    spec.commandLine().getErr().println("otterpond: " + what);
    return WRONG_USAGE;
  }

  private PrintWriter out() {
    return spec.commandLine().getOut();
  }

  private void print(Schedule s, ScheduleOutcome o) {
    out()
        .println(
            "event=schedule seed="
                + s.seed()
                + " core="
                + s.core()
                + " losses="
                + s.faults()
                + " faults="
                + o.faultsPlayed()
                + " calls="
                + o.operations()
                + " confirmed="
                + o.confirmed()
                + " refused="
                + o.refused()
                + " claims="
                + o.grants()
                + " leavings="
                + o.leavings()
                + " verdict="
                + (o.sound() ? "sound" : "breach"));
    o.breaches().forEach(b -> out().println("  " + b));
    out().flush();
  }
}
