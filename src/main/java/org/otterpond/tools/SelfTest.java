package org.otterpond.tools;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.otterpond.config.ConfigException;
import org.otterpond.config.NodeSettings;
import org.otterpond.net.EventLoop;
import org.otterpond.net.PeerTransport;
import org.otterpond.server.NodeServer;
import org.otterpond.storage.StorageException;

/**
 * The self-test: runs one node and one worker on the loopback interface, writes a configuration,
 * registers the worker and sends requests through the node. It prints each step.
 *
 * <p>It shows that the program works on a machine. The build also runs it to record which classes a
 * node loads, for the class archive.
 */
public final class SelfTest {
  private static final String HOST = "127.0.0.1";
  private static final String INSTANCE = "i-self-test";
  private static final String SERVICE = "s";
  private static final int KEYED_REQUESTS = 20;

  /** Each idempotency key is sent this often, so that a repeated request is answered too. */
  private static final int REQUESTS_PER_KEY = 2;

  // Free ports, as several self-tests may run on one machine.
  private final int frontPort = freePort();
  private final int readinessPort = freePort();
  private final int controlPort = freePort();
  private final int internalPort = freePort();
  private final int workerPort = freePort();
  private final SelfTestClient front = new SelfTestClient(HOST, frontPort);
  private final SelfTestClient readiness = new SelfTestClient(HOST, readinessPort);
  private final SelfTestClient control = new SelfTestClient(HOST, controlPort);

  private SelfTest() {}

  private static int freePort() {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    } catch (IOException e) {
      throw new IllegalStateException("no free port on " + HOST, e);
    }
  }

  /**
   * Runs the self-test.
   *
   * @return the exit code: 0 if every step succeeded, else 1
   */
  public static int run() {
    SelfTest test = new SelfTest();
    try {
      test.startNode();
      test.startWorker();
      boolean passed = test.runSteps();
      System.out.println("event=self_test_finished passed=" + passed);
      return passed ? 0 : 1;
    } catch (IOException | ConfigException | InterruptedException e) {
      System.err.println("event=self_test_failed cause=\"" + e + "\"");
      return 1;
    }
  }

  private void startNode() throws IOException, ConfigException {
    Path folder = Files.createTempDirectory("otterpond-self-test");
    Path settingsFile = folder.resolve("local.json");
    Files.writeString(settingsFile, settings(folder.resolve("data")).toString());
    NodeServer server = new NodeServer(settingsFile, NodeSettings.load(settingsFile));
    startDaemon("self-test-node", () -> runNode(server));
  }

  private static void runNode(NodeServer server) {
    try {
      server.run();
    } catch (IOException | StorageException e) {
      System.err.println("event=self_test_node_failed cause=\"" + e + "\"");
    }
  }

  private void startWorker() throws IOException {
    EventLoop eventLoop = new EventLoop();
    new SampleWorkerServer(eventLoop, INSTANCE, PeerTransport.address(HOST + ":" + workerPort));
    startDaemon("self-test-worker", eventLoop);
  }

  private static void startDaemon(String name, Runnable task) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    thread.start();
  }

  private boolean runSteps() throws InterruptedException {
    return step("write a configuration", this::writeConfiguration)
        && step("register a worker", this::sendHeartbeat)
        && step("wait until the node is ready", () -> readiness.get("/-/readiness", Map.of()))
        && step("send an idempotent request", this::sendIdempotentRequest)
        && step("send requests with idempotency keys", this::sendKeyedRequests)
        && step("read the configuration", () -> control.get("/-/Configuration.Read", Map.of()));
  }

  /** One step of the test; returns whether it succeeded. */
  private interface Step {
    boolean run() throws InterruptedException;
  }

  private static boolean step(String name, Step step) throws InterruptedException {
    boolean passed = step.run();
    System.out.println("event=self_test_step name=\"" + name + "\" passed=" + passed);
    return passed;
  }

  private boolean writeConfiguration() throws InterruptedException {
    return control.post(
        "/-/Configuration.Replace",
        configuration().toString(),
        Map.of("X-Otterpond-Base-Revision", "0"));
  }

  private boolean sendHeartbeat() throws InterruptedException {
    return control.post("/-/Instances.Heartbeat/" + INSTANCE, heartbeat().toString(), Map.of());
  }

  private boolean sendIdempotentRequest() throws InterruptedException {
    return front.get("/a/1", Map.of("X-Otterpond-Attempt-Id", "1"));
  }

  private boolean sendKeyedRequests() throws InterruptedException {
    for (int i = 0; i < KEYED_REQUESTS; i++) {
      Map<String, String> headers =
          Map.of(
              "X-Otterpond-Attempt-Id",
              "k" + i,
              "X-Otterpond-Operation-Key",
              "key" + i / REQUESTS_PER_KEY);
      if (!front.post("/k/1", "body", headers)) {
        return false;
      }
    }
    return true;
  }

  private static JsonObject configuration() {
    JsonArray routes = new JsonArray();
    routes.add(route("r", "/a/", "idempotent"));
    routes.add(route("k", "/k/", "keyed"));
    JsonObject service = new JsonObject();
    service.addProperty("name", SERVICE);
    JsonArray services = new JsonArray();
    services.add(service);
    JsonObject configuration = new JsonObject();
    configuration.addProperty("revision", 1);
    configuration.add("route_table", routes);
    configuration.add("service_table", services);
    return configuration;
  }

  private static JsonObject route(String name, String pathPrefix, String type) {
    JsonObject route = new JsonObject();
    route.addProperty("name", name);
    route.addProperty("host_name", HOST);
    route.addProperty("path_prefix", pathPrefix);
    route.addProperty("route_type", type);
    route.addProperty("guard_timer_ms", 2_000);
    route.addProperty("target_service", SERVICE);
    route.addProperty("max_attempts", 2);
    return route;
  }

  private JsonObject heartbeat() {
    JsonObject heartbeat = new JsonObject();
    heartbeat.addProperty("target_service", SERVICE);
    heartbeat.addProperty("address", HOST + ":" + workerPort);
    heartbeat.addProperty("zone", "z");
    heartbeat.addProperty("capacity_slots", 4);
    heartbeat.addProperty("state", "in_service");
    heartbeat.addProperty("warmup_left_ms", 0);
    heartbeat.addProperty("call_sequence", 1);
    return heartbeat;
  }

  private JsonObject settings(Path dataDirectory) {
    JsonObject listenPoints = new JsonObject();
    listenPoints.addProperty("front_plain", HOST + ":" + frontPort);
    listenPoints.addProperty("readiness_point", HOST + ":" + readinessPort);
    listenPoints.addProperty("control_point", HOST + ":" + controlPort);
    JsonArray internalPorts = new JsonArray();
    internalPorts.add(internalPort);
    internalPorts.add(internalPort + 1);
    JsonArray seeds = new JsonArray();
    seeds.add(HOST + ":" + controlPort);
    JsonObject settings = new JsonObject();
    settings.addProperty("node_name", "self-test");
    settings.addProperty("ip", HOST);
    settings.addProperty("zone", "z");
    settings.add("listen_points", listenPoints);
    settings.add("internal_port_range", internalPorts);
    settings.add("seed_peers", seeds);
    settings.addProperty("initial_start", true);
    settings.addProperty("data_dir", dataDirectory.toString());
    return settings;
  }
}
