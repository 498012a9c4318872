import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * Nodes of a small deployment as separate processes, each on a loopback address of its own, started
 * by the commands of the deploy file. Also the record of what was seen.
 */
final class Cluster implements AutoCloseable {
  static final int FRONT = 18248;
  static final int READINESS = 18245;
  static final int CONTROL = 18244;
  static final int FIRST_INTERNAL = 17040;

  final Map<String, Node> nodes = new LinkedHashMap<>();

  final Path folder;
  private final String network;
  private final Path root;
  private final PrintWriter record;
  private final long beganAt = System.nanoTime();
  private final String deployment;
  private final int faults;
  private final String bounds;

  /** One machine: an edge node, with a disk or without, or a store. */
  final class Node {
    final String name;
    final String ip;
    final boolean store;
    final boolean disk;
    Process process;

    private Node(String name, String ip, boolean store, boolean disk) {
      this.name = name;
      this.ip = ip;
      this.store = store;
      this.disk = disk;
    }

    String front() {
      return ip + ":" + FRONT;
    }

    String control() {
      return ip + ":" + CONTROL;
    }

    Path data() {
      return folder.resolve("data-" + name);
    }

    Path log() {
      return folder.resolve(name + ".log");
    }

    void start(boolean first) throws IOException {
      Path settings = folder.resolve(name + ".json");
      Files.writeString(settings, settings(this, first));
      ProcessBuilder builder = new ProcessBuilder(command(store ? "depot" : "quay"));
      builder.directory(root.toFile());
      builder.environment().put("OTTERPOND_CONFIG", settings.toString());
      builder.redirectErrorStream(true);
      builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()));
      process = builder.start();
      note("start " + name + " pid " + process.pid());
    }

    /** SIGKILL; the files stay as they are. */
    void kill() throws InterruptedException {
      process.destroyForcibly();
      process.waitFor(5, TimeUnit.SECONDS);
      note("kill " + name);
    }

    /** Sends a signal to the process that this object started. */
    void signal(String signal) throws IOException, InterruptedException {
      new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
      note(signal + " " + name);
    }

    /** Empties the data directory of a process that has ended: its disk is lost. */
    void wipe() throws IOException {
      deleteTree(data());
      note("wipe the disk of " + name);
    }
  }

  Cluster(Path recordFile, String deployment, int faults, String bounds) throws IOException {
    this.root = Path.of("").toAbsolutePath();
    this.folder = Files.createTempDirectory("review-");
    this.record = new PrintWriter(recordFile.toFile(), StandardCharsets.UTF_8);
    this.deployment = deployment;
    this.faults = faults;
    this.bounds = bounds;
    this.network = freeNetwork();
    Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
  }

  /** Returns the first two numbers behind 127 of addresses whose ports nobody uses. */
  private static String freeNetwork() throws IOException {
    Random random = new Random();
    for (int i = 0; i < 50; i++) {
      String candidate = "127." + (20 + random.nextInt(200)) + "." + random.nextInt(250) + ".";
      try (ServerSocket front = new ServerSocket(FRONT, 1, InetAddress.getByName(candidate + "1"));
          ServerSocket control = new ServerSocket(CONTROL, 1, InetAddress.getByName(candidate + "1"))) {
        if (front.isBound() && control.isBound()) {
          return candidate;
        }
      } catch (IOException e) {
        // Try another.
      }
    }
    throw new IOException("no free network");
  }

  String ip(int number) {
    return network + number;
  }

  Node edge(int number, boolean disk) {
    Node node = new Node("edge-" + number, ip(number), false, disk);
    nodes.put(node.name, node);
    return node;
  }

  Node store(int number) {
    Node node = new Node("store-" + number, ip(100 + number), true, true);
    nodes.put(node.name, node);
    return node;
  }

  List<Node> edges() {
    return nodes.values().stream().filter(node -> !node.store).toList();
  }

  void startAll() throws IOException {
    for (Node node : nodes.values()) {
      node.start(true);
    }
  }

  private List<String> command(String role) throws IOException {
    String text = Files.readString(root.resolve("deploy/system.toml"));
    Matcher run =
        Pattern.compile("\\[roles\\." + role + "\\]\\s*run = \"([^\"]*)\"").matcher(text);
    if (!run.find()) {
      throw new IOException("no role " + role + " in the deploy file");
    }
    return new ArrayList<>(Arrays.asList(run.group(1).split(" ")));
  }

  private String settings(Node node, boolean first) {
    StringBuilder seeds = new StringBuilder();
    edges().stream()
        .filter(edge -> edge.disk)
        .limit(3)
        .forEach(
            edge ->
                seeds.append(seeds.length() == 0 ? "" : ", ").append('"' + edge.control() + '"'));
    String points =
        node.store
            ? "{}"
            : "{\"front_plain\": \""
                + node.front()
                + "\", \"readiness_point\": \""
                + node.ip
                + ":"
                + READINESS
                + "\", \"control_point\": \""
                + node.control()
                + "\"}";
    return "{\"node_name\": \""
        + node.name
        + "\", \"role\": \""
        + (node.store ? "depot" : "quay")
        + "\", \"machine_class\": \""
        + (node.store ? "storage" : "edge")
        + "\", \"serves\": "
        + (node.store ? "[\"storage\"]" : "[\"edge\", \"control_plane\"]")
        + ", \"ip\": \""
        + node.ip
        + "\", \"zone\": \"z1\", \"region\": \"r1\", \"zones\": {\"z1\": \"r1\"}, "
        + "\"listen_points\": "
        + points
        + ", \"internal_port_range\": ["
        + FIRST_INTERNAL
        + ", "
        + (FIRST_INTERNAL + 15)
        + "], \"seed_peers\": ["
        + seeds
        + "], \"initial_start\": "
        + first
        + ", \"counted\": "
        + node.disk
        + ", \"limits\": {\"cpu_share\": 0.9, \"cpu_cores\": 1, \"memory_mb\": "
        + (node.store ? 290 : 248)
        + ", \"file_descriptors\": 4100, \"link_mbps\": 1000.0, \"disk_mb\": "
        + (node.store ? 310 : 64)
        + "}, "
        + (node.disk ? "\"data_dir\": \"" + node.data() + "\", " : "")
        + "\"heartbeat_ms\": 1200, \"deployment\": \""
        + deployment
        + "\", \"fault_tolerance\": {\"machines\": "
        + faults
        + ", \"zones\": 0, \"regions\": 0}, \"bounds\": "
        + bounds
        + "}";
  }

  /** Sends a configuration until one node acknowledges it. */
  void configure(String base, String body, int seconds) throws Exception {
    long until = System.nanoTime() + seconds * 1_000_000_000L;
    String last = "";
    while (System.nanoTime() < until) {
      for (Node edge : edges()) {
        try {
          Http.Message answer =
              Http.call(
                  edge.control(),
                  1500,
                  Http.request(
                      "POST",
                      "/-/Configuration.Replace",
                      body.getBytes(StandardCharsets.UTF_8),
                      "Host: control",
                      "Content-Type: application/json",
                      "X-Otterpond-Base-Revision: " + base));
          if (answer.status() == 200) {
            note("configuration acknowledged by " + edge.name);
            return;
          }
          last = answer.status() + " " + answer.text();
        } catch (IOException e) {
          last = e.toString();
        }
      }
      Thread.sleep(200);
    }
    throw new CannotRun("no configuration was acknowledged: " + last);
  }

  /** Waits until a condition holds. */
  static boolean await(int seconds, Predicate<Void> condition) throws InterruptedException {
    long until = System.nanoTime() + seconds * 1_000_000_000L;
    while (System.nanoTime() < until) {
      if (condition.test(null)) {
        return true;
      }
      Thread.sleep(100);
    }
    return condition.test(null);
  }

  double seconds() {
    return (System.nanoTime() - beganAt) / 1e9;
  }

  /** Writes a line to the record. */
  synchronized void note(String line) {
    record.printf("%8.3f %s%n", seconds(), line);
    record.flush();
  }

  static void deleteTree(Path tree) throws IOException {
    if (!Files.exists(tree)) {
      return;
    }
    try (Stream<Path> paths = Files.walk(tree)) {
      paths.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
    }
  }

  private void endProcesses() {
    for (Node node : nodes.values()) {
      if (node.process != null) {
        node.process.destroyForcibly();
      }
    }
    for (Node node : nodes.values()) {
      try {
        if (node.process != null) {
          node.process.waitFor(5, TimeUnit.SECONDS);
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  @Override
  public void close() {
    endProcesses();
    record.flush();
    record.close();
    if (System.getenv("KEEP") == null) {
      try {
        deleteTree(folder);
      } catch (IOException e) {
        // A temporary folder is left.
      }
    } else {
      System.err.println("kept " + folder);
    }
  }

  /** The case could not be run. */
  static final class CannotRun extends Exception {
    private static final long serialVersionUID = 1;

    CannotRun(String cause) {
      super(cause);
    }
  }
}
