package org.otterpond.server;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;

/** One node over real sockets, with a worker whose responses the tests script. */
abstract class GatewayFixture {
  static int front;
  static int control;
  static ScriptedWorker worker;
  static int attempt;

  @BeforeAll
  static void startNode(@TempDir Path folder) throws Exception {
    LoopbackNode node = new LoopbackNode(folder, "", () -> {});
    front = node.front;
    control = node.control;
    worker = new ScriptedWorker();
    String config =
        "{\"revision\":1,\"route_table\":["
            + route("plain", "/p/", "idempotent", 1)
            + ","
            + route("twice", "/t/", "idempotent", 2)
            + ","
            + route("once", "/o/", "non_idempotent", 2)
            + ","
            + route("keyed", "/k/", "keyed", 2)
            + ","
            + route("tenants", "/s/", "idempotent", 2)
            + ","
            + route("tenants-keyed", "/sk/", "keyed", 2)
            + "],\"subscribers\":["
            + "{\"name\":\"acme\",\"access_keys\":[\"key-a\",\"key-a2\"]},"
            + "{\"name\":\"bolt\",\"access_keys\":[\"key-b\"]},"
            + "{\"name\":\"small\",\"access_keys\":[\"key-s\"],\"rate_per_s\":5,\"burst_size\":4}],"
            + "\"service_table\":[{\"name\":\"s\"}],"
            + "\"limits\":{\"max_header_bytes\":4096,\"max_body_bytes\":10000,"
            + "\"header_timer_ms\":600,\"idle_timer_ms\":15000}}";
    node.configure(config);
    node.beat(worker.port());
    for (int i = 0; i < 100 && status(ask("GET /p/up")) != 200; i++) {
      TimeUnit.MILLISECONDS.sleep(50);
    }
  }

  @BeforeEach
  void plainScript() {
    worker.script = r -> ScriptedWorker.ok(r, "hello");
    worker.requests.clear();
  }

  static String route(String name, String prefix, String type, int attempts) {
    return "{\"name\":\""
        + name
        + "\",\"host_name\":\"h.example\",\"path_prefix\":\""
        + prefix
        + "\",\"public_access\":"
        + !prefix.startsWith("/s")
        + ",\"route_type\":\""
        + type
        + "\",\"guard_timer_ms\":3000,\"target_latency_ms\":1000,"
        + "\"target_service\":\"s\",\"max_attempts\":"
        + attempts
        + "}";
  }

  static int status(String answer) {
    return answer.startsWith("HTTP/1.1 ") ? Integer.parseInt(answer.substring(9, 12)) : -1;
  }

  static String body(String answer) {
    return answer.substring(answer.indexOf("\r\n\r\n") + 4);
  }

  static String head(String line, String more) {
    return line
        + " HTTP/1.1\r\nHost: h.example\r\nX-Otterpond-Attempt-Id: a"
        + ++attempt
        + "\r\n"
        + more
        + "\r\n";
  }

  static String ask(String line) throws IOException {
    return ask(line, "", "");
  }

  static String ask(String line, String headers, String body) throws IOException {
    try (RawClient c = new RawClient(front)) {
      return c.send(head(line, headers) + body).answer(!line.startsWith("HEAD"));
    }
  }
}
