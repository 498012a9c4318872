package org.otterpond.tools;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
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
 * One node alone on the loopback, a worker beside it and a few requests through both. The build
 * runs it to record which classes a node loads; for anybody else it is a check that the program
 * works on this machine.
 */
public final class SelfTest {
  private static final String HOST = "127.0.0.1";
  private static final int FRONT = freePort();
  private static final int READY = freePort();
  private static final int CONTROL = freePort();
  private static final int INTERNAL = freePort();
  private static final int WORKER = freePort();
  private static final long PATIENCE_MILLIS = 20_000;

  private SelfTest() {}

  /** Several rehearsals may run on one machine. */
  private static int freePort() {
    try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
      return s.getLocalPort();
    } catch (IOException e) {
      throw new IllegalStateException("no free port", e);
    }
  }

  public static int run() {
    try {
      Path folder = Files.createTempDirectory("otterpond-rehearsal");
      Path file = folder.resolve("local.json");
      Files.writeString(file, settings(folder.resolve("data")));
      NodeServer server = new NodeServer(file, NodeSettings.load(file));
      Thread node =
          new Thread(
              () -> {
                try {
                  server.run();
                } catch (IOException | StorageException e) {
                  System.err.println("event=rehearsal_node_failed cause=\"" + e + "\"");
                }
              },
              "rehearsal-node");
      node.setDaemon(true);
      node.start();
      EventLoop eventLoop = new EventLoop();
      new SampleWorkerServer(eventLoop, "i-rehearsal", PeerTransport.address(HOST + ":" + WORKER));
      Thread worker = new Thread(eventLoop, "rehearsal-worker");
      worker.setDaemon(true);
      worker.start();
      return play() ? 0 : 1;
    } catch (IOException | ConfigException | InterruptedException e) {
      System.err.println("event=rehearsal_failed cause=\"" + e + "\"");
      return 1;
    }
  }

  private static boolean play() throws InterruptedException {
    String config =
        "{\"revision\":1,\"route_table\":[{\"name\":\"r\",\"host_name\":\"127.0.0.1\","
            + "\"path_prefix\":\"/a/\",\"route_type\":\"idempotent\",\"guard_timer_ms\":2000,"
            + "\"target_service\":\"s\",\"max_attempts\":2},{\"name\":\"k\",\"host_name\":\"127.0.0.1\","
            + "\"path_prefix\":\"/k/\",\"route_type\":\"keyed\",\"guard_timer_ms\":2000,"
            + "\"target_service\":\"s\",\"max_attempts\":2}],\"service_table\":[{\"name\":\"s\"}]}";
    String beat =
        "{\"target_service\":\"s\",\"address\":\""
            + HOST
            + ":"
            + WORKER
            + "\",\"zone\":\"z\","
            + "\"capacity_slots\":4,\"state\":\"in_service\",\"warmup_left_ms\":0,\"call_sequence\":1}";
    boolean ok =
        until(
            "POST",
            CONTROL,
            "/-/Configuration.Replace",
            config,
            Map.of("X-Otterpond-Base-Revision", "0"));
    ok = ok && until("POST", CONTROL, "/-/Instances.Heartbeat/i-rehearsal", beat, Map.of());
    ok = ok && until("GET", READY, "/-/readiness", null, Map.of());
    ok = ok && until("GET", FRONT, "/a/1", null, Map.of("X-Otterpond-Attempt-Id", "1"));
    for (int i = 0; i < 20; i++) {
      ok =
          ok
              && until(
                  "POST",
                  FRONT,
                  "/k/1",
                  "body",
                  Map.of(
                      "X-Otterpond-Attempt-Id",
                      "k" + i,
                      "X-Otterpond-Operation-Key",
                      "key" + i / 2));
    }
    ok = ok && until("GET", CONTROL, "/-/Configuration.Read", null, Map.of());
    System.out.println("event=rehearsed ok=" + ok);
    return ok;
  }

  /** Calls until it is answered 200, for as long as patience lasts. */
  private static boolean until(
      String method, int port, String path, String body, Map<String, String> headers)
      throws InterruptedException {
    long end = System.nanoTime() + PATIENCE_MILLIS * 1_000_000;
    while (System.nanoTime() < end) {
      try {
        HttpURLConnection c =
            (HttpURLConnection)
                URI.create("http://" + HOST + ":" + port + path).toURL().openConnection();
        c.setRequestMethod(method);
        c.setConnectTimeout(500);
        c.setReadTimeout(2_000);
        headers.forEach(c::setRequestProperty);
        if (body != null) {
          c.setDoOutput(true);
          c.getOutputStream().write(body.getBytes(StandardCharsets.UTF_8));
        }
        if (c.getResponseCode() == 200) {
          c.getInputStream().readAllBytes();
          return true;
        }
      } catch (IOException e) {
        // Not up yet, or an answer other than 200: asked again until patience ends.
      }
      Thread.sleep(100);
    }
    System.err.println("event=rehearsal_step_failed call=\"" + method + " " + path + "\"");
    return false;
  }

  private static String settings(Path data) {
    return "{\"node_name\":\"rehearsal\",\"ip\":\""
        + HOST
        + "\",\"zone\":\"z\",\"listen_points\":{"
        + "\"front_plain\":\""
        + HOST
        + ":"
        + FRONT
        + "\",\"readiness_point\":\""
        + HOST
        + ":"
        + READY
        + "\",\"control_point\":\""
        + HOST
        + ":"
        + CONTROL
        + "\"},\"internal_port_range\":["
        + INTERNAL
        + ","
        + (INTERNAL + 1)
        + "],\"seed_peers\":[\""
        + HOST
        + ":"
        + CONTROL
        + "\"],\"initial_start\":true,"
        + "\"data_dir\":\""
        + data
        + "\"}";
  }
}
