package org.otterpond.soak;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

/** One node: its settings file and the process that runs it, started again as often as needed. */
final class NodeProcess implements AutoCloseable {
  static final int FRONT_PORT = 18_548;
  static final int CONTROL_PORT = 18_544;
  static final int GRACE_SECONDS = 6;
  private static final int READINESS_PORT = 18_542;
  private static final int FIRST_INTERNAL_PORT = 18_550;
  private static final int LAST_INTERNAL_PORT = 18_565;
  private static final int MAX_SEEDS = 3;
  private static final int SIGNAL_SECONDS = 5;
  private static final long SIGNAL_HANDLERS_NANOS = 3_000_000_000L;

  /** The flags of the deploy file that decide how much memory a node takes. */
  private static final List<String> JAVA_FLAGS =
      List.of(
          "-Xms24m",
          "-Xmx96m",
          "-Xss256k",
          "-XX:+UseSerialGC",
          "-XX:TieredStopAtLevel=1",
          "-XX:MaxMetaspaceSize=48m",
          "-XX:ReservedCodeCacheSize=16m",
          "-XX:MaxDirectMemorySize=8m");

  private final SoakOptions options;
  private final int number;
  private Process process;
  private volatile long startedAtNanos;

  NodeProcess(SoakOptions options, int number) {
    this.options = options;
    this.number = number;
  }

  /** The loopback address of a node. */
  static String address(SoakOptions options, int number) {
    return "127." + options.network() + ".0." + (number + 1);
  }

  String address() {
    return address(options, number);
  }

  String controlPoint() {
    return address() + ":" + CONTROL_PORT;
  }

  Path logFile() {
    return options.folder().resolve(name() + ".log");
  }

  private String name() {
    return "node-" + number;
  }

  /** Starts the process; its log goes on where that of the one before ended. */
  void start(boolean initialStart) throws IOException {
    Path settingsFile = options.folder().resolve(name() + ".json");
    Files.writeString(settingsFile, settings(initialStart).toString(), StandardCharsets.UTF_8);
    ProcessBuilder builder = new ProcessBuilder(programCommand(JAVA_FLAGS, List.of("node")));
    builder.environment().put("OTTERPOND_CONFIG", settingsFile.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(logFile().toFile()));
    process = builder.start();
    startedAtNanos = System.nanoTime();
  }

  /** Returns the command that runs this program in a process of its own. */
  static List<String> programCommand(List<String> javaFlags, List<String> arguments) {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(javaFlags);
    command.addAll(List.of("-cp", classPath(), "org.otterpond.cli.Otterpond"));
    command.addAll(arguments);
    return command;
  }

  /** The class path of this process, also where a test runner has hidden it in a manifest. */
  private static String classPath() {
    String path =
        System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
    List<String> absolute = new ArrayList<>();
    for (String entry : path.split(File.pathSeparator, -1)) {
      absolute.add(Path.of(entry).toAbsolutePath().toString());
    }
    return String.join(File.pathSeparator, absolute);
  }

  private JsonObject settings(boolean initialStart) {
    JsonObject listenPoints = new JsonObject();
    listenPoints.addProperty("front_plain", address() + ":" + FRONT_PORT);
    listenPoints.addProperty("readiness_point", address() + ":" + READINESS_PORT);
    listenPoints.addProperty("control_point", controlPoint());
    JsonArray internalPorts = new JsonArray();
    internalPorts.add(FIRST_INTERNAL_PORT);
    internalPorts.add(LAST_INTERNAL_PORT);
    JsonArray seeds = new JsonArray();
    IntStream.range(0, Math.min(MAX_SEEDS, options.coreNodes()))
        .forEach(seed -> seeds.add(address(options, seed) + ":" + CONTROL_PORT));
    JsonObject settings = new JsonObject();
    settings.addProperty("node_name", name());
    settings.addProperty("ip", address());
    settings.addProperty("zone", "z");
    settings.add("listen_points", listenPoints);
    settings.add("internal_port_range", internalPorts);
    settings.add("seed_peers", seeds);
    settings.addProperty("initial_start", initialStart);
    if (number < options.coreNodes()) {
      settings.addProperty("data_dir", options.folder().resolve("data-" + number).toString());
    }
    settings.add("bounds", bounds());
    return settings;
  }

  private static JsonObject bounds() {
    JsonObject bounds = new JsonObject();
    bounds.addProperty("grace_s", GRACE_SECONDS);
    bounds.addProperty("retry_ratio", 0.2);
    return bounds;
  }

  boolean isRunning() {
    return process != null && process.isAlive();
  }

  /**
   * Asks the node to read its settings again, unless it has just been started: a SIGHUP ends a Java
   * process that has not come to its own signal handlers yet (docs/ROADMAP.md).
   */
  void reload() throws IOException {
    if (System.nanoTime() - startedAtNanos > SIGNAL_HANDLERS_NANOS) {
      signal("HUP");
    }
  }

  /** Kills the process. */
  void kill() {
    if (process != null) {
      process.destroyForcibly();
    }
  }

  /** Sends a signal, for example {@code STOP}. */
  void signal(String name) throws IOException {
    if (!isRunning()) {
      return;
    }
    Process kill =
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
            .start();
    try {
      kill.waitFor(SIGNAL_SECONDS, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Waits for the end of the process; returns whether it has ended. */
  boolean awaitEnd(long millis) throws InterruptedException {
    return process == null || process.waitFor(millis, TimeUnit.MILLISECONDS);
  }

  @Override
  public void close() {
    kill();
  }
}
