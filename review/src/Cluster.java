import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** The project's own nodes as separate processes, each on a loopback address of its own. */
final class Cluster implements AutoCloseable {
  static final int FRONT_PORT = 8548;
  static final int READINESS_PORT = 8542;
  static final int CONTROL_PORT = 8544;

  /** One process of the project. */
  final class Node {
    final String name;
    final String ip;
    final boolean storage;
    private final Path settings;
    private Process process;

    private Node(String name, String ip, boolean storage, String zone) throws IOException {
      this.name = name;
      this.ip = ip;
      this.storage = storage;
      this.zone = zone;
      this.settings = folder.resolve(name + ".json");
    }

    private final String zone;

    String front() {
      return ip + ":" + FRONT_PORT;
    }

    String control() {
      return ip + ":" + CONTROL_PORT;
    }

    void start(boolean initialStart) throws IOException {
      Files.writeString(settings, settingsText(this, initialStart));
      List<String> command = Arrays.asList(commands.get(storage ? "storage" : "edge").split(" +"));
      ProcessBuilder builder = new ProcessBuilder(command);
      builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
      builder.environment().put("OTTERPOND_CONFIG", settings.toString());
      File log = folder.resolve(name + ".log").toFile();
      builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
      process = builder.start();
    }

    /** Kills this process at once, as a loss of power does. */
    void kill() throws InterruptedException {
      process.destroyForcibly();
      process.waitFor();
    }

    /** Removes what is on this node's disk. */
    void loseDisk() throws IOException {
      Path disk = folder.resolve("data-" + name);
      try (Stream<Path> files = Files.walk(disk)) {
        for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
          Files.delete(file);
        }
      }
      Files.createDirectories(disk);
    }

    boolean alive() {
      return process.isAlive();
    }

    /** Sends a signal to this process, which the test has started. */
    void signal(String name) throws IOException, InterruptedException {
      new ProcessBuilder("sh", "-c", "kill -" + name + " " + process.pid()).start().waitFor();
    }

    String log() throws IOException {
      return Files.readString(folder.resolve(name + ".log"), StandardCharsets.ISO_8859_1);
    }
  }

  final Path folder;
  final List<Node> nodes = new ArrayList<>();
  private final int tolerance;
  private final String deployment;
  private final Map<String, String> commands;
  private final String network;
  private final String bounds;

  /**
   * Creates the nodes without starting them.
   *
   * @param deployFile the deploy file, whose commands start the nodes
   * @param edges how many edge nodes there are, all with a disk
   * @param stores how many storage nodes there are
   * @param tolerance how many machines may be lost
   * @param bounds the members of the settings' object of that name
   */
  Cluster(String deployFile, int edges, int stores, int tolerance, String bounds)
      throws IOException {
    this.tolerance = tolerance;
    this.deployment = stores > 0 ? "queue" : "gateway";
    this.bounds = bounds;
    this.folder = Files.createTempDirectory("review");
    this.commands = commands(Files.readString(Path.of(deployFile)));
    ThreadLocalRandom random = ThreadLocalRandom.current();
    this.network = "127." + random.nextInt(20, 250) + "." + random.nextInt(1, 250) + ".";
    for (int i = 0; i < edges; i++) {
      nodes.add(new Node("edge-" + (i + 1), network + (10 + i), false, zone(i)));
    }
    for (int i = 0; i < stores; i++) {
      nodes.add(new Node("storage-" + (i + 1), network + (100 + i), true, zone(i)));
    }
  }

  /** Returns a loopback address that no node has. */
  String address(int host, int port) {
    return network + host + ":" + port;
  }

  static String zone(int index) {
    return "zone-" + (char) ('a' + index % 4);
  }

  private static Map<String, String> commands(String deployText) {
    Map<String, String> commands = new java.util.HashMap<>();
    Matcher role =
        Pattern.compile("run = \"([^\"]*)\"\\s+on = \"([^\"]*)\"").matcher(deployText);
    while (role.find()) {
      commands.put(role.group(2), role.group(1));
    }
    return commands;
  }

  private String settingsText(Node node, boolean initialStart) {
    String points =
        node.storage
            ? ""
            : String.format(
                "\"front_plain\": \"%s:%d\", \"readiness_point\": \"%s:%d\","
                    + " \"control_point\": \"%s:%d\"",
                node.ip, FRONT_PORT, node.ip, READINESS_PORT, node.ip, CONTROL_PORT);
    String seeds =
        edges().stream().limit(3).map(e -> '"' + e.control() + '"').collect(Collectors.joining(", "));
    String zones =
        Stream.of("a", "b", "c", "d")
            .map(z -> "\"zone-" + z + "\": \"region-1\"")
            .collect(Collectors.joining(", "));
    return "{\"node_name\": \"" + node.name + "\", \"role\": \"" + (node.storage ? "depot" : "quay")
        + "\", \"machine_class\": \"" + (node.storage ? "storage" : "edge")
        + "\", \"serves\": " + (node.storage ? "[\"storage\"]" : "[\"edge\", \"control_plane\"]")
        + ", \"ip\": \"" + node.ip + "\", \"zone\": \"" + node.zone
        + "\", \"region\": \"region-1\", \"zones\": {" + zones + "}, \"listen_points\": {" + points
        + "}, \"internal_port_range\": [7540, 7555], \"seed_peers\": [" + seeds
        + "], \"initial_start\": " + initialStart + ", \"counted\": true, \"limits\": {\"cpu_share\": 0.9,"
        + " \"cpu_cores\": 1, \"memory_mb\": " + (node.storage ? 290 : 248)
        + ", \"file_descriptors\": 4100, \"link_mbps\": 600.0, \"disk_mb\": "
        + (node.storage ? 510 : 64) + "}, \"data_dir\": \"" + folder.resolve("data-" + node.name)
        + "\", \"discovery_source\": \"registration\", \"entry_type\": \"virtual_ip\","
        + " \"heartbeat_ms\": 1200, \"fault_tolerance\": {\"machines\": " + tolerance
        + ", \"zones\": 0, \"regions\": 0}, \"bounds\": {" + bounds + "}, \"deployment\": \""
        + deployment + "\"}";
  }

  List<Node> edges() {
    return nodes.stream().filter(node -> !node.storage).toList();
  }

  List<Node> stores() {
    return nodes.stream().filter(node -> node.storage).toList();
  }

  void startAll() throws IOException {
    for (Node node : nodes) {
      Files.createDirectories(folder.resolve("data-" + node.name));
      node.start(true);
    }
  }

  /** Sends a whole configuration, as the operator does, until it is taken. */
  boolean configure(String text, long timeoutMillis) throws InterruptedException {
    long end = System.currentTimeMillis() + timeoutMillis;
    for (int i = 0; System.currentTimeMillis() < end; i++) {
      Node node = edges().get(i % edges().size());
      try (HttpSocket socket = HttpSocket.connect(node.control(), 1_000)) {
        socket.send(
            "POST /-/Configuration.Replace HTTP/1.1",
            Map.of(
                "Host", node.control(),
                "X-Otterpond-Base-Revision", "0",
                "Content-Type", "application/json"),
            text.getBytes(StandardCharsets.UTF_8));
        HttpSocket.Message answer = socket.receive();
        if (answer != null && answer.status() == 200) {
          return true;
        }
      } catch (IOException e) {
        // The node is not up yet: the next one is asked.
      }
      Thread.sleep(300);
    }
    return false;
  }

  /** Waits until all edge nodes say that they are ready. */
  boolean awaitReady(long timeoutMillis) throws InterruptedException {
    long end = System.currentTimeMillis() + timeoutMillis;
    for (Node node : edges()) {
      while (!ready(node)) {
        if (System.currentTimeMillis() > end) {
          return false;
        }
        Thread.sleep(100);
      }
    }
    return true;
  }

  private static boolean ready(Node node) {
    try (HttpSocket socket = HttpSocket.connect(node.ip + ":" + READINESS_PORT, 1_000)) {
      socket.send("GET /-/readiness HTTP/1.1", Map.of("Host", node.ip), new byte[0]);
      HttpSocket.Message answer = socket.receive();
      return answer != null && answer.status() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  /** Ends all processes and removes their files. */
  @Override
  public void close() throws IOException {
    for (Node node : nodes) {
      if (node.process != null) {
        node.process.destroyForcibly();
      }
    }
    for (Node node : nodes) {
      if (node.process != null) {
        try {
          node.process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      }
    }
    if (System.getenv("KEEP_LOGS") != null) {
      System.out.println("logs: " + folder);
      return;
    }
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(file);
      }
    }
  }
}
