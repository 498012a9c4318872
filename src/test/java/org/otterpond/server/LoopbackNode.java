package org.otterpond.server;

import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.otterpond.config.NodeSettings;

/** A node over real sockets on free ports, and the control API calls that tests begin with. */
final class LoopbackNode {
  final int front = freePort();
  final int control = freePort();
  final NodeServer server;
  private final int internal = freePort();

  /**
   * Starts a gateway node with a core disk.
   *
   * @param bounds fields of the settings' bounds, as JSON without braces
   */
  LoopbackNode(Path folder, String bounds, Runnable end) throws Exception {
    Path file = folder.resolve("local.json");
    Files.writeString(
        file,
        "{\"node_name\":\"n\",\"ip\":\"127.0.0.1\",\"zone\":\"z\",\"listen_points\":{"
            + "\"front_plain\":\"127.0.0.1:"
            + front
            + "\",\"control_point\":\"127.0.0.1:"
            + control
            + "\"},\"internal_port_range\":["
            + internal
            + ","
            + internal
            + "],\"seed_peers\":[\"127.0.0.1:"
            + control
            + "\"],\"initial_start\":true,\"data_dir\":\""
            + folder.resolve("data")
            + "\",\"bounds\":{"
            + bounds
            + "}}");
    server = run(file, end);
  }

  static NodeServer run(Path file, Runnable end) throws Exception {
    NodeServer server = new NodeServer(file, NodeSettings.load(file), end);
    Thread t =
        new Thread(
            () -> {
              try {
                server.run();
              } catch (Exception e) {
                throw new IllegalStateException(e);
              }
            });
    t.setDaemon(true);
    t.start();
    return server;
  }

  /** Starts a storage node at another loopback address. */
  NodeServer store(Path folder, String ip, String bounds, Runnable end) throws Exception {
    Path file = folder.resolve("store-" + ip + ".json");
    Files.writeString(
        file,
        "{\"node_name\":\"store-"
            + ip
            + "\",\"ip\":\""
            + ip
            + "\",\"zone\":\"z\",\"serves\":"
            + "[\"storage\"],\"deployment\":\"queue\",\"listen_points\":{},"
            + "\"internal_port_range\":["
            + internal
            + ","
            + internal
            + "],\"seed_peers\":[\"127.0.0.1:"
            + control
            + "\"],\"initial_start\":true,\"data_dir\":\""
            + folder.resolve("data-" + ip)
            + "\",\"limits\":{\"disk_mb\":64},\"bounds\":{"
            + bounds
            + "}}");
    return run(file, end);
  }

  static int freePort() throws IOException {
    try (ServerSocket s = new ServerSocket(0)) {
      return s.getLocalPort();
    }
  }

  void configure(String config) throws Exception {
    untilAnswered(
        control,
        "POST /-/Configuration.Replace HTTP/1.1\r\nHost: c\r\nX-Otterpond-Base-Revision: 0\r\n"
            + "Content-Length: "
            + config.length()
            + "\r\n\r\n"
            + config);
  }

  void beat(int workerPort) throws Exception {
    beat("i-1", "s", workerPort, 8);
  }

  /** Registers a worker instance of a service. */
  void beat(String instance, String service, int workerPort, int slots) throws Exception {
    beat(instance, service, workerPort, "\"call_sequence\":1,\"capacity_slots\":" + slots);
  }

  /**
   * Sends a heartbeat of a worker in service.
   *
   * @param moreFields the other fields, as JSON without braces
   */
  void beat(String instance, String service, int workerPort, String moreFields) throws Exception {
    String beat =
        "{\"target_service\":\""
            + service
            + "\",\"address\":\"127.0.0.1:"
            + workerPort
            + "\",\"zone\":\"z\",\"state\":\"in_service\","
            + moreFields
            + "}";
    untilAnswered(
        control,
        "POST /-/Instances.Heartbeat/"
            + instance
            + " HTTP/1.1\r\nHost: c\r\nContent-Length: "
            + beat.length()
            + "\r\n\r\n"
            + beat);
  }

  /** Returns a route of the host {@code h.example} as JSON. */
  static String route(String prefix, String type, String service, int timeoutMs, int targetMs) {
    return "{\"name\":\"r"
        + prefix
        + "\",\"host_name\":\"h.example\",\"path_prefix\":\""
        + prefix
        + "\",\"route_type\":\""
        + type
        + "\",\"guard_timer_ms\":"
        + timeoutMs
        + ",\"target_latency_ms\":"
        + targetMs
        + ",\"target_service\":\""
        + service
        + "\",\"max_attempts\":2}";
  }

  /** Calls again and again until the answer is 200, and returns it. */
  static String untilAnswered(int port, String call) throws Exception {
    String last = "";
    for (int i = 0; i < 200; i++) {
      try (RawClient c = new RawClient(port)) {
        last = c.send(call).answer();
        if (last.startsWith("HTTP/1.1 200")) {
          return last;
        }
      } catch (IOException e) {
        last = e.toString();
      }
      TimeUnit.MILLISECONDS.sleep(50);
    }
    throw new IllegalStateException("never answered 200: " + last);
  }
}
