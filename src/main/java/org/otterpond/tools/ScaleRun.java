package org.otterpond.tools;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.IntStream;
import org.otterpond.net.EventLoop;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * A command that measures what the core costs at several fleet sizes. The core nodes are real, each
 * a process; the other nodes are hollow and share this process with their workers. Everything runs
 * on the loopback interface, is bounded in count and time, and ends by itself.
 */
@Command(
    name = "scale-run",
    description =
        "Measures the processor time, memory and traffic of the core at several fleet sizes, on"
            + " the loopback interface of this machine.",
    mixinStandardHelpOptions = true)
public final class ScaleRun implements Callable<Integer> {
  private static final int USAGE_ERROR = 2;
  private static final int MAX_CORE_NODES = 7;
  private static final int MAX_HOLLOW_NODES = 600;
  private static final int IN_TOUCH_TIMEOUT_SECONDS = 20;
  private static final int SPREAD_TIMEOUT_SECONDS = 15;

  /** Until heartbeats and the compiler have settled. */
  private static final long WARM_UP_MILLIS = 4_000;

  /** The same, where the first key-range grants have to settle too. */
  private static final long KEY_RANGE_WARM_UP_MILLIS = 9_000;

  private static final double MICROS_PER_SECOND = 1e6;

  @Option(
      names = "--core",
      defaultValue = "3",
      description = "Core nodes, 1 to 7; default ${DEFAULT-VALUE}.")
  private int core;

  @Option(
      names = "--sizes",
      defaultValue = "25,50,100,200",
      split = ",",
      description =
          "Hollow nodes at each step, in rising order and 600 at most; default ${DEFAULT-VALUE}.")
  private List<Integer> sizes;

  @Option(
      names = "--workers",
      defaultValue = "3",
      description = "Workers of each hollow node; default ${DEFAULT-VALUE}.")
  private int workers;

  @Option(
      names = "--claims",
      defaultValue = "0",
      description =
          "Requests with an idempotency key that each hollow node makes, per second; default"
              + " ${DEFAULT-VALUE}.")
  private double claims;

  @Option(
      names = "--repeats",
      defaultValue = "0",
      description =
          "The part of these requests that repeat an earlier key, 0 to 1; default"
              + " ${DEFAULT-VALUE}.")
  private double repeats;

  @Option(
      names = "--divided",
      description = "Divide the workers' service by key ranges, which the core grants.")
  private boolean divided;

  @Option(
      names = "--routes",
      defaultValue = "200",
      description = "Routes of the configuration that is spread; default ${DEFAULT-VALUE}.")
  private int routes;

  @Option(
      names = "--seconds",
      defaultValue = "6",
      description = "How long each step is measured, in seconds; default ${DEFAULT-VALUE}.")
  private int seconds;

  @Option(
      names = "--jar",
      defaultValue = "target/otterpond.jar",
      description = "The program that the core nodes run; default ${DEFAULT-VALUE}.")
  private Path jar;

  @Override
  public Integer call() throws IOException, InterruptedException {
    if (core < 1 || core > MAX_CORE_NODES) {
      return usageError("--core: must be 1 to " + MAX_CORE_NODES);
    }
    if (sizes.stream().anyMatch(size -> size < 1 || size > MAX_HOLLOW_NODES)) {
      return usageError("--sizes: each must be 1 to " + MAX_HOLLOW_NODES);
    }
    Path folder = Files.createTempDirectory("scale-run");
    try (CoreProcesses coreNodes = new CoreProcesses(folder, jar, core)) {
      coreNodes.start();
      HollowFleet.Load load = new HollowFleet.Load(workers, claims, repeats, divided);
      HollowFleet fleet = HollowFleet.start(coreNodes.seedAddresses(), load);
      System.out.println(ScaleStep.header());
      long revision = 0;
      for (int size : sizes) {
        fleet.growTo(size);
        fleet.awaitInTouch(IN_TOUCH_TIMEOUT_SECONDS);
        revision++;
        System.out.println(measure(coreNodes, fleet, revision).row());
      }
      return 0;
    }
  }

  private static int usageError(String message) {
    System.err.println("otterpond: " + message);
    return USAGE_ERROR;
  }

  private ScaleStep measure(CoreProcesses coreNodes, HollowFleet fleet, long revision)
      throws InterruptedException {
    long spreadMicros = fleet.spreadConfiguration(revision, routes, SPREAD_TIMEOUT_SECONDS);
    Thread.sleep(divided ? KEY_RANGE_WARM_UP_MILLIS : WARM_UP_MILLIS);
    LoadTotals loadBefore = fleet.totals();
    List<Double> cpuBefore = coreNodes.cpuSeconds();
    long startedAt = EventLoop.now();
    Thread.sleep(1000L * seconds);
    LoadTotals load = fleet.totals().minus(loadBefore);
    List<Double> cpuAfter = coreNodes.cpuSeconds();
    double measuredSeconds = (EventLoop.now() - startedAt) / MICROS_PER_SECOND;
    return new ScaleStep(
        fleet.size(),
        fleet.size() * workers,
        measuredSeconds,
        load,
        difference(cpuAfter, cpuBefore),
        coreNodes.peakMebibytes(),
        spreadMicros);
  }

  private static List<Double> difference(List<Double> after, List<Double> before) {
    return IntStream.range(0, after.size()).mapToObj(i -> after.get(i) - before.get(i)).toList();
  }
}
