package org.otterpond.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import org.otterpond.server.HoldingWorker.HeldRequest;

/**
 * One node with real sockets and a worker for each test, for clients that leave before their
 * responses are complete. After each test the node must have kept nothing for them.
 */
abstract class ClientDepartureFixture {
  static final long ALLOWED_MILLIS = 500;
  static final long ARRIVAL_MILLIS = 5_000;

  /** Each test case has a service of its own. */
  private static final int SERVICES = 40;

  private static final Pattern VIOLATIONS =
      Pattern.compile("(?m)^otterpond_departures_violations_total (.*)$");

  static LoopbackNode node;
  static int lastService;
  private static int lastAttempt;

  String service;
  HoldingWorker worker;

  @BeforeAll
  static void startNode(@TempDir Path folder) throws Exception {
    node = new LoopbackNode(folder, "\"retry_ratio\":0.9", () -> {});
    node.configure(configuration(1));
  }

  static String configuration(int revision) {
    return "{\"revision\":"
        + revision
        + ",\"route_table\":["
        + services(ClientDepartureFixture::routes)
        + "],\"service_table\":["
        + services(name -> "{\"name\":\"" + name + "\"}")
        + "]}";
  }

  private static String services(Function<String, String> json) {
    return IntStream.rangeClosed(1, SERVICES)
        .mapToObj(number -> json.apply("s" + number))
        .collect(Collectors.joining(","));
  }

  private static String routes(String name) {
    return String.join(
        ",",
        LoopbackNode.route("/" + name + "/i/", "idempotent", name, 10_000, 8_000),
        LoopbackNode.route("/" + name + "/quick/", "idempotent", name, 10_000, 400),
        LoopbackNode.route("/" + name + "/n/", "non_idempotent", name, 10_000, 8_000),
        LoopbackNode.route("/" + name + "/k/", "keyed", name, 10_000, 8_000));
  }

  @BeforeEach
  void startWorker() throws Exception {
    service = "s" + ++lastService;
    worker = startWorker("first", 1);
  }

  /** Starts a worker of the service of this test, which the node knows when this returns. */
  HoldingWorker startWorker(String name, int slots) throws Exception {
    HoldingWorker started = new HoldingWorker();
    node.beat(service + "-" + name, service, started.port(), slots);
    for (int i = 0; i < 200; i++) {
      try (RawClient client = send("GET", "i/up", "")) {
        HeldRequest up = worker == null ? started.next(ARRIVAL_MILLIS) : next(started);
        assertNotNull(up, "no request reached any worker");
        up.answer();
        assertTrue(client.answer().startsWith("HTTP/1.1 200"));
        if (started.requests.remove(up)) {
          return started;
        }
        worker.requests.remove(up);
      }
    }
    throw new IllegalStateException("the worker never got a request");
  }

  @AfterEach
  void nothingWasKeptForClientsThatHadLeft() throws Exception {
    worker.close();
    try (RawClient client = new RawClient(node.control)) {
      String metrics = client.send("GET /-/metrics HTTP/1.1\r\nHost: c\r\n\r\n").answer();
      Matcher violations = VIOLATIONS.matcher(metrics);
      assertTrue(violations.find(), metrics);
      assertEquals(0, Double.parseDouble(violations.group(1)));
    }
  }

  RawClient send(String method, String path, String headers) throws IOException {
    return new RawClient(node.front).send(request(method, path, headers));
  }

  String request(String method, String path, String headers) {
    return method
        + " /"
        + service
        + "/"
        + path
        + " HTTP/1.1\r\nHost: h.example\r\nX-Otterpond-Attempt-Id: d"
        + ++lastAttempt
        + "\r\n"
        + headers
        + "\r\n";
  }

  RawClient sendKeyed(String key) throws IOException {
    return send("POST", "k/order", "X-Otterpond-Operation-Key: " + service + key + "\r\n");
  }

  HeldRequest arrival() throws InterruptedException {
    HeldRequest request = worker.next(ARRIVAL_MILLIS);
    assertNotNull(request, "no request reached the worker");
    return request;
  }

  /** Returns the next request that arrives at either worker. */
  HeldRequest next(HoldingWorker second) throws InterruptedException {
    for (int i = 0; i < 500; i++) {
      HeldRequest request = worker.next(5);
      request = request == null ? second.next(5) : request;
      if (request != null) {
        return request;
      }
    }
    throw new IllegalStateException("no request reached either worker");
  }
}
