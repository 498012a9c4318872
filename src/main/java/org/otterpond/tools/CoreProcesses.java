package org.otterpond.tools;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

/**
 * The core nodes of a scale run: real nodes, each a process with a data directory, on loopback
 * addresses. Closing kills the processes.
 */
final class CoreProcesses implements AutoCloseable {
  private static final String ADDRESS_PREFIX = "127.0.1.";
  private static final int INTERNAL_PORT = HollowFleet.INTERNAL_PORT;
  private static final int INTERNAL_PORTS = 16;
  private static final int CONTROL_PORT = 17_544;
  private static final int MAX_SEEDS = 3;
  private static final double CLOCK_TICKS_PER_SECOND = 100;

  /** Fields of /proc/PID/stat after the command name, counted from 0. */
  private static final int USER_TICKS = 11;

  private static final int SYSTEM_TICKS = 12;
  private static final String PEAK_RESIDENT_SET = "VmHWM:";
  private static final double KIBIBYTES_PER_MEBIBYTE = 1024;

  private final Path folder;
  private final Path jar;
  private final int count;
  private final List<Process> processes = new ArrayList<>();

  /**
   * Prepares the processes; {@link #start()} starts them.
   *
   * @param folder where settings, data and logs are written
   * @param jar the program
   */
  CoreProcesses(Path folder, Path jar, int count) {
    this.folder = folder;
    this.jar = jar;
    this.count = count;
  }

  void start() throws IOException {
    for (int number = 1; number <= count; number++) {
      processes.add(startProcess(number));
    }
  }

  /** The internal addresses of the seeds. */
  List<String> seedAddresses() {
    return seeds(INTERNAL_PORT);
  }

  private List<String> seeds(int port) {
    return IntStream.rangeClosed(1, Math.min(MAX_SEEDS, count))
        .mapToObj(number -> ADDRESS_PREFIX + number + ":" + port)
        .toList();
  }

  private Process startProcess(int number) throws IOException {
    String name = "core-" + number;
    Path settingsFile = folder.resolve(name + ".json");
    Files.writeString(settingsFile, settings(number).toString(), StandardCharsets.UTF_8);
    ProcessBuilder builder =
        new ProcessBuilder(
            "java",
            "-Xms24m",
            "-Xmx192m",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-jar",
            jar.toString(),
            "node");
    builder.environment().put("OTTERPOND_CONFIG", settingsFile.toString());
    builder.redirectErrorStream(true).redirectOutput(folder.resolve(name + ".log").toFile());
    return builder.start();
  }

  private JsonObject settings(int number) {
    String ip = ADDRESS_PREFIX + number;
    JsonObject listenPoints = new JsonObject();
    listenPoints.addProperty("control_point", ip + ":" + CONTROL_PORT);
    JsonArray internalPorts = new JsonArray();
    internalPorts.add(INTERNAL_PORT);
    internalPorts.add(INTERNAL_PORT + INTERNAL_PORTS - 1);
    JsonArray seeds = new JsonArray();
    seeds(CONTROL_PORT).forEach(seeds::add);
    JsonObject settings = new JsonObject();
    settings.addProperty("node_name", "core-" + number);
    settings.addProperty("ip", ip);
    settings.addProperty("zone", HollowFleet.ZONE);
    settings.add("listen_points", listenPoints);
    settings.add("internal_port_range", internalPorts);
    settings.add("seed_peers", seeds);
    settings.addProperty("initial_start", true);
    settings.addProperty("data_dir", folder.resolve("core-" + number).toString());
    return settings;
  }

  /** The processor seconds that each process has used so far. */
  List<Double> cpuSeconds() {
    return processes.stream().map(CoreProcesses::cpuSeconds).toList();
  }

  private static double cpuSeconds(Process process) {
    try {
      String stat = Files.readString(Path.of("/proc/" + process.pid() + "/stat"));
      List<String> fields = List.of(stat.substring(stat.lastIndexOf(')') + 2).split(" "));
      long ticks =
          Long.parseLong(fields.get(USER_TICKS)) + Long.parseLong(fields.get(SYSTEM_TICKS));
      return ticks / CLOCK_TICKS_PER_SECOND;
    } catch (IOException e) {
      throw new IllegalStateException("a core node has ended", e);
    }
  }

  /** The largest peak of resident memory among the processes, in MiB. */
  double peakMebibytes() {
    return processes.stream().mapToDouble(CoreProcesses::peakMebibytes).max().orElse(0);
  }

  private static double peakMebibytes(Process process) {
    try {
      return Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
          .filter(line -> line.startsWith(PEAK_RESIDENT_SET))
          .mapToDouble(
              line -> Double.parseDouble(line.replaceAll("[^0-9]", "")) / KIBIBYTES_PER_MEBIBYTE)
          .findFirst()
          .orElse(0);
    } catch (IOException e) {
      throw new IllegalStateException("a core node has ended", e);
    }
  }

  @Override
  public void close() {
    processes.forEach(Process::destroyForcibly);
  }
}
