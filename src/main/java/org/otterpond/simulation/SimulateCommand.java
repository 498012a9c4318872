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

/**
 * The command {@code simulate}: runs random schedules of operations and faults on simulated
 * clusters and checks each run. A failing schedule is reduced and printed as a line for {@code
 * --replay}.
 */
@Command(
    name = "simulate",
    description = "Runs random schedules of operations and faults on simulated clusters.",
    mixinStandardHelpOptions = true)
public final class SimulateCommand implements Callable<Integer> {
  private static final int EXIT_PASSED = 0;
  private static final int EXIT_FAILED = 1;
  private static final int EXIT_USAGE = 2;
  private static final int MAX_CORE_SIZE = 9;
  private static final int MIN_NODES = 3;
  private static final int MIN_SECONDS = 2;

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Option(
      names = "--seed",
      defaultValue = "1",
      description =
          "Seed of the first schedule, each other has the next; default ${DEFAULT-VALUE}.")
  private long seed;

  @Option(
      names = "--core",
      defaultValue = "5",
      description = "Number of nodes with a disk; default ${DEFAULT-VALUE}.")
  private int coreSize;

  @Option(
      names = "--faults",
      defaultValue = "1",
      description = "Number of machines that may fail at once; default ${DEFAULT-VALUE}.")
  private int maxFailures;

  @Option(
      names = "--edge",
      defaultValue = "4",
      description = "Number of nodes without a disk; default ${DEFAULT-VALUE}.")
  private int edgeSize;

  @Option(
      names = "--edge-faults",
      defaultValue = "0",
      description =
          "Number of nodes without a disk that may fail beside them; 0, the default, counts all"
              + " machines together.")
  private int maxEdgeFailures;

  @Option(
      names = "--schedules",
      defaultValue = "10",
      description = "Number of schedules; default ${DEFAULT-VALUE}.")
  private int schedules;

  @Option(
      names = "--seconds",
      defaultValue = "30",
      description =
          "Simulated time of each schedule, without bootstrap and recovery; default"
              + " ${DEFAULT-VALUE}.")
  private int seconds;

  @Option(
      names = "--kinds",
      split = ",",
      paramLabel = "KIND",
      description =
          "Faults to draw from: cut, freeze, kill, power, wipe, one-way, hold, disk; default all.")
  private List<String> kinds;

  @Option(
      names = "--no-storm",
      description =
          "Never sends a write again once more than 40 others were confirmed; without this option"
              + " one schedule in four sends writes in quick succession and again without limit.")
  private boolean noWriteStorm;

  @Option(
      names = "--replay",
      paramLabel = "SCHEDULE",
      description = "Runs one schedule, given as the line that was printed for it.")
  private String replayLine;

  @Option(names = "--log", description = "Prints the event log of a replayed schedule.")
  private boolean printsLog;

  @Override
  public Integer call() {
    // The line that each simulation logs at its start is for the output of tests.
    System.setProperty("org.slf4j.simpleLogger.log.org.otterpond.simulation", "warn");
    if (replayLine != null) {
      return replay();
    }
    if (!hasValidSizes()) {
      return usageError(
          "--core: 1 to "
              + MAX_CORE_SIZE
              + "; --faults: fewer; --seconds: "
              + MIN_SECONDS
              + " at least; "
              + MIN_NODES
              + " nodes at least");
    }
    Set<Fault.Kind> drawnKinds;
    try {
      drawnKinds = drawnKinds();
    } catch (IllegalArgumentException e) {
      return usageError("--kinds: " + kinds);
    }
    return runAll(
        new ScheduleGenerator(
            new ScheduleGenerator.Settings(
                coreSize,
                maxFailures,
                edgeSize,
                maxEdgeFailures,
                seconds,
                drawnKinds,
                !noWriteStorm)));
  }

  private boolean hasValidSizes() {
    return coreSize >= 1
        && coreSize <= MAX_CORE_SIZE
        && maxFailures >= 0
        && maxFailures < coreSize
        && edgeSize >= 0
        && maxEdgeFailures >= 0
        && coreSize + edgeSize >= MIN_NODES
        && seconds >= MIN_SECONDS
        && schedules >= 1;
  }

  private Set<Fault.Kind> drawnKinds() {
    if (kinds == null) {
      return EnumSet.allOf(Fault.Kind.class);
    }
    Set<Fault.Kind> drawn = EnumSet.noneOf(Fault.Kind.class);
    kinds.forEach(name -> drawn.add(Fault.Kind.of(name)));
    return drawn;
  }

  private int runAll(ScheduleGenerator generator) {
    int failed = 0;
    for (int i = 0; i < schedules; i++) {
      Schedule schedule = generator.generate(seed + i);
      ScheduleOutcome outcome = new Simulation(schedule).run();
      print(schedule, outcome);
      if (!outcome.passed()) {
        failed++;
        shrinkAndPrint(schedule, outcome);
      }
    }
    out().println("event=simulation_finished schedules=" + schedules + " failed=" + failed);
    out().flush();
    return failed > 0 ? EXIT_FAILED : EXIT_PASSED;
  }

  private void shrinkAndPrint(Schedule failing, ScheduleOutcome failure) {
    Schedule smallest =
        new ScheduleShrinker(fewer -> new Simulation(fewer).run().failsAs(failure)).shrink(failing);
    out()
        .println(
            "event=schedule_shrunk seed=" + failing.seed() + " faults=" + smallest.faults().size());
    printViolations(new Simulation(smallest).run());
    out().println("  otterpond simulate --replay '" + smallest.line() + "'");
    out().flush();
  }

  private int replay() {
    Schedule schedule;
    try {
      schedule = Schedule.parse(replayLine);
    } catch (JsonSyntaxException e) {
      return usageError("--replay: " + e.getMessage());
    }
    ScheduleOutcome outcome = new Simulation(schedule).run();
    if (printsLog) {
      outcome.eventLog().forEach(out()::println);
    }
    print(schedule, outcome);
    return outcome.passed() ? EXIT_PASSED : EXIT_FAILED;
  }

  private int usageError(String what) {
    spec.commandLine().getErr().println("otterpond: " + what);
    return EXIT_USAGE;
  }

  private PrintWriter out() {
    return spec.commandLine().getOut();
  }

  private void print(Schedule schedule, ScheduleOutcome outcome) {
    out()
        .println(
            "event=schedule_finished seed="
                + schedule.seed()
                + " core="
                + schedule.coreSize()
                + " max_failures="
                + schedule.maxFailures()
                + " faults="
                + outcome.faultsInjected()
                + " operations="
                + outcome.operations()
                + " confirmed="
                + outcome.confirmed()
                + " rejected="
                + outcome.rejected()
                + " key_grants="
                + outcome.keyGrants()
                + " drains="
                + outcome.drains()
                + " verdict="
                + (outcome.passed() ? "passed" : "failed"));
    printViolations(outcome);
    out().flush();
  }

  private void printViolations(ScheduleOutcome outcome) {
    outcome.violations().forEach(violation -> out().println("  " + violation));
  }
}
