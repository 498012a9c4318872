package org.otterpond.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.LongStream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** A command that plays soaks, one seed after another. */
@Command(
    name = "soak",
    description =
        "Runs real nodes on loopback addresses of this machine under random disturbances, and"
            + " checks what their clients and workers saw. A seed that fails keeps its logs.",
    mixinStandardHelpOptions = true)
public final class SoakCommand implements Callable<Integer> {
  private static final int USAGE_ERROR = 2;
  private static final int VIOLATED = 1;
  private static final int MAX_NODES = 200;
  private static final int MAX_NETWORK = 250;

  @Option(
      names = "--seeds",
      defaultValue = "1-3",
      paramLabel = "FIRST-LAST",
      description = "The seeds; default ${DEFAULT-VALUE}.")
  private String seeds;

  @Option(
      names = "--core",
      defaultValue = "3",
      description = "Nodes with a disk; default ${DEFAULT-VALUE}.")
  private int core;

  @Option(
      names = "--gateways",
      defaultValue = "2",
      description = "Nodes without a disk; default ${DEFAULT-VALUE}.")
  private int gateways;

  @Option(
      names = "--workers",
      defaultValue = "5",
      description = "Workers; default ${DEFAULT-VALUE}.")
  private int workers;

  @Option(
      names = "--clients",
      defaultValue = "16",
      description = "Clients; default ${DEFAULT-VALUE}.")
  private int clients;

  @Option(
      names = "--seconds",
      defaultValue = "15",
      description = "How long each seed is disturbed; default ${DEFAULT-VALUE}.")
  private int seconds;

  @Option(
      names = "--network",
      defaultValue = "77",
      description =
          "Second part of the loopback addresses, other for each soak that runs beside this one;"
              + " default ${DEFAULT-VALUE}.")
  private int network;

  @Option(
      names = "--folder",
      defaultValue = "target/soak",
      paramLabel = "DIR",
      description = "Where settings, data and logs are written; default ${DEFAULT-VALUE}.")
  private Path folder;

  @Override
  public Integer call() throws IOException, InterruptedException {
    String[] range = seeds.split("-", 2);
    if (core < 1 || core + gateways > MAX_NODES || network < 2 || network > MAX_NETWORK) {
      System.err.println("1 core node at least, " + MAX_NODES + " nodes at most, network 2 to 250");
      return USAGE_ERROR;
    }
    List<Long> wanted =
        LongStream.rangeClosed(Long.parseLong(range[0]), Long.parseLong(range[range.length - 1]))
            .boxed()
            .toList();
    int failed = 0;
    for (long seed : wanted) {
      SoakReport report = play(options(seed));
      failed += report.passed() ? 0 : 1;
      print(report);
    }
    System.out.println("seeds=" + wanted.size() + " failed=" + failed);
    return failed == 0 ? 0 : VIOLATED;
  }

  private SoakOptions options(long seed) {
    Path seedFolder = folder.resolve("network-" + network).resolve("seed-" + seed);
    return new SoakOptions(seed, network, core, gateways, workers, clients, seconds, seedFolder);
  }

  /** Plays one seed; its folder is kept if it fails. */
  static SoakReport play(SoakOptions options) throws IOException, InterruptedException {
    SoakFolder.clear(options.folder());
    SoakReport report;
    try (SoakRun run = new SoakRun(options)) {
      report = run.play();
    }
    if (report.passed()) {
      SoakFolder.clear(options.folder());
    }
    return report;
  }

  private static void print(SoakReport report) {
    System.out.println(
        "seed="
            + report.options().seed()
            + (report.passed() ? " passed " : " FAILED ")
            + report.summary());
    if (!report.passed()) {
      report.violations().forEach(violation -> System.out.println("  " + violation));
      System.out.println("  replay: " + report.options().replayLine());
      System.out.println("  logs: " + report.options().folder());
    }
  }
}
