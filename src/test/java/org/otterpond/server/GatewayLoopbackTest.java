package org.otterpond.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.otterpond.cli.OtterpondCommand;

/** One node over real sockets: what a client, a worker and an operator may do to HTTP. */
class GatewayLoopbackTest {
  private static int front;
  private static int control;
  private static ScriptedWorker worker;
  private static int attempt;

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

  private static String route(String name, String prefix, String type, int attempts) {
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

  private static int status(String answer) {
    return answer.startsWith("HTTP/1.1 ") ? Integer.parseInt(answer.substring(9, 12)) : -1;
  }

  private static String body(String answer) {
    return answer.substring(answer.indexOf("\r\n\r\n") + 4);
  }

  private static String head(String line, String more) {
    return line
        + " HTTP/1.1\r\nHost: h.example\r\nX-Otterpond-Attempt-Id: a"
        + ++attempt
        + "\r\n"
        + more
        + "\r\n";
  }

  private static String ask(String line) throws IOException {
    return ask(line, "", "");
  }

  private static String ask(String line, String headers, String body) throws IOException {
    try (RawClient c = new RawClient(front)) {
      return c.send(head(line, headers) + body).answer(!line.startsWith("HEAD"));
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 5\r\nContent-Length: 5\r\n",
        "Content-Length: +5\r\n",
        "Content-Length: 5, 5\r\n",
        "X-Folded: a\r\n b\r\n",
        "Bad Name: a\r\n",
        "X-Space : a\r\n",
        "X-Lf: a\nX-Other: b\r\n",
        "X-Ctl: a\u0001b\r\n",
        "Host: other.example\r\n"
      })
  void ambiguousFramingIsRefusedAndTheConnectionClosed(String headers) throws IOException {
    try (RawClient c = new RawClient(front)) {
      assertEquals(400, status(c.send(head("POST /p/x", headers) + "hello").answer()));
      assertTrue(c.ended());
    }
    assertEquals(0, worker.requests.size());
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "zz\r\nhello\r\n0\r\n\r\n",
        "-5\r\nhello\r\n0\r\n\r\n",
        "+5\r\nhello\r\n0\r\n\r\n",
        "5\r\nhelloX\r\n0\r\n\r\n",
        "fffffffffffffffff\r\n"
      })
  void badChunksAreRefused(String chunks) throws IOException {
    try (RawClient c = new RawClient(front)) {
      assertEquals(
          400,
          status(c.send(head("POST /p/x", "Transfer-Encoding: chunked\r\n") + chunks).answer()));
      assertTrue(c.ended());
    }
    assertEquals(0, worker.requests.size());
  }

  @Test
  void chunkedRequestArrivesWhole() throws IOException {
    assertEquals(
        200,
        status(
            ask(
                "POST /p/x",
                "Transfer-Encoding: chunked\r\n",
                "5\r\nhello\r\n6;ext=1\r\n world\r\n0\r\n\r\n")));
    assertEquals("hello world", body(worker.requests.get(0)));
    assertNull(ScriptedWorker.header(worker.requests.get(0), "Transfer-Encoding"));
  }

  @Test
  void limitsAndUnknownRoutesHaveTheirOwnAnswers() throws IOException {
    assertEquals(431, status(ask("GET /p/x", "X-Big: " + "a".repeat(5000) + "\r\n", "")));
    assertEquals(413, status(ask("POST /p/x", "Content-Length: 20000\r\n", "")));
    assertEquals(404, status(ask("GET /nowhere/x")));
    assertEquals(404, status(ask("GET /p")));
    try (RawClient c = new RawClient(front)) {
      assertEquals(408, status(c.send("GET /p/x HTTP/1.1\r\nHost: h.exa").answer()));
      assertTrue(c.ended());
    }
    assertEquals(0, worker.requests.size());
  }

  @Test
  void pipelinedRequestsAreAnsweredInOrder() throws IOException {
    worker.script = r -> ScriptedWorker.ok(r, ScriptedWorker.target(r));
    try (RawClient c = new RawClient(front)) {
      c.send(head("GET /p/one", "") + head("GET /p/two", "") + head("GET /p/three", ""));
      assertEquals("/p/one", body(c.answer()));
      assertEquals("/p/two", body(c.answer()));
      assertEquals("/p/three", body(c.answer()));
    }
  }

  @Test
  void headGetsNoBodyAndTheConnectionGoesOn() throws IOException {
    worker.script =
        r ->
            r.startsWith("HEAD")
                ? ScriptedWorker.ok(r, "hello").replace("\r\n\r\nhello", "\r\n\r\n")
                : ScriptedWorker.ok(r, "hello");
    try (RawClient c = new RawClient(front)) {
      String a = c.send(head("HEAD /p/x", "")).answer(false);
      assertEquals(200, status(a));
      assertEquals("5", ScriptedWorker.header(a, "Content-Length"));
      assertEquals("hello", body(c.send(head("GET /p/x", "")).answer()));
    }
  }

  @Test
  void expectationIsMetBeforeTheBodyComes() throws IOException {
    try (RawClient c = new RawClient(front)) {
      String interim =
          c.send(head("POST /p/x", "Expect: 100-continue\r\nContent-Length: 5\r\n")).answer();
      assertEquals(100, status(interim));
      assertEquals(200, status(c.send("hello").answer()));
    }
    assertNull(ScriptedWorker.header(worker.requests.get(0), "Expect"));
  }

  @Test
  void connectionHeadersStayBehindAndTheInstanceIsNamed() throws IOException {
    ask(
        "GET /p/x?q=1&r=%20",
        "Connection: X-Mine\r\nX-Mine: 1\r\nKeep-Alive: 5\r\nX-Kept: 2"
            + "\r\nX-Otterpond-Time-Remaining: 2500\r\n",
        "");
    String r = worker.requests.get(0);
    assertTrue(r.startsWith("GET /p/x?q=1&r=%20 HTTP/1.1\r\n"), r);
    assertNull(ScriptedWorker.header(r, "X-Mine"));
    assertNull(ScriptedWorker.header(r, "Keep-Alive"));
    assertEquals("2", ScriptedWorker.header(r, "X-Kept"));
    assertEquals("i-1", ScriptedWorker.header(r, "X-Otterpond-Expected-Instance"));
    assertTrue(Integer.parseInt(ScriptedWorker.header(r, "X-Otterpond-Time-Remaining")) <= 2500);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 OK\r\nX-Otterpond-Server-Seal: s\r\nContent-Length: 50\r\n\r\nshort\u0000",
        "HTTP/1.1 200 OK\r\nX-Otterpond-Server-Seal: s"
            + "\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel\u0000",
        "rubbish that is no answer\r\n\r\n\u0000",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nX-Otterpond-Server-Seal: s\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 503 Busy\r\nX-Otterpond-Attempt-Id: other"
            + "\r\nX-Otterpond-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX-Otterpond-Attempt-Id: other"
            + "\r\nX-Otterpond-Server-Seal: s\r\nContent-Length: 2\r\n\r\nok",
        "\u0000"
      })
  void brokenResponsesAreAnsweredWithBadGateway(String answer) throws IOException {
    worker.script = r -> answer;
    assertEquals(502, status(ask("GET /p/x")));
    assertEquals(502, status(ask("POST /o/x", "Content-Length: 1\r\n", "b")));
    assertEquals(2, worker.requests.size(), "neither may be sent a second time");
    // What failed made the worker suspect for a moment only.
    worker.script = r -> ScriptedWorker.ok(r, "well");
    assertEquals("well", body(ask("GET /p/x")));
  }

  /** As when a worker stuttered: the answer to an older request comes in the place of the next. */
  @Test
  void lateResponseIsDroppedAndItsConnectionIsNotReused() throws IOException {
    String[] late = {null};
    worker.script =
        r -> {
          String mine =
              ScriptedWorker.ok(r, "mine " + ScriptedWorker.header(r, "X-Otterpond-Attempt-Id"));
          String answer = late[0] == null ? mine : late[0];
          late[0] = mine;
          return answer;
        };
    for (int i = 0; i < 6; i++) {
      String a = ask("GET /p/x");
      String id = "a" + attempt;
      assertTrue(status(a) == 502 || body(a).equals("mine " + id), a);
    }
  }

  @Test
  void nonIdempotentRequestDoesNotReuseAnIdleConnection() throws Exception {
    worker.forgetsAfterNanos = 100_000_000;
    try {
      for (int i = 0; i < 3; i++) {
        assertEquals(200, status(ask("POST /o/x", "Content-Length: 1\r\n", "b")));
        TimeUnit.MILLISECONDS.sleep(200);
      }
    } finally {
      worker.forgetsAfterNanos = Long.MAX_VALUE;
    }
  }

  @Test
  void accessKeysIdentifyTenants() throws IOException {
    assertEquals(401, status(ask("GET /s/x")));
    assertEquals(401, status(ask("GET /s/x", "Authorization: Bearer nobody\r\n", "")));
    assertEquals(401, status(ask("GET /s/x", "Authorization: Basic key-a\r\n", "")));
    assertEquals(
        401,
        status(
            ask("GET /s/x", "Authorization: Bearer key-a\r\nAuthorization: Bearer key-b\r\n", "")));
    assertEquals(0, worker.requests.size());
    try (RawClient c = new RawClient(front)) {
      String refused = c.send(head("GET /s/x", "")).answer();
      assertEquals("Bearer", ScriptedWorker.header(refused, "WWW-Authenticate"));
      assertEquals(
          200,
          status(
              c.send(
                      head(
                          "GET /s/x",
                          "Authorization: bearer key-a\r\nX-Otterpond-Tenant-Id: other\r\n"))
                  .answer()));
    }
    String seen = worker.requests.get(0);
    assertEquals("acme", ScriptedWorker.header(seen, "X-Otterpond-Tenant-Id"));
    assertNull(ScriptedWorker.header(seen, "Authorization"));
    ask("GET /p/x", "Authorization: Bearer key-a\r\nX-Otterpond-Tenant-Id: other\r\n", "");
    assertNull(ScriptedWorker.header(worker.requests.get(1), "X-Otterpond-Tenant-Id"));
    assertNull(ScriptedWorker.header(worker.requests.get(1), "Authorization"));
  }

  @Test
  void operationKeyIsScopedToItsTenant() throws IOException {
    worker.script = r -> ScriptedWorker.ok(r, "run " + worker.requests.size());
    String key = "X-Otterpond-Operation-Key: same\r\nContent-Length: 1\r\nAuthorization: Bearer ";
    assertEquals("run 1", body(ask("POST /sk/x", key + "key-a\r\n", "b")));
    assertEquals("run 2", body(ask("POST /sk/x", key + "key-b\r\n", "b")));
    assertEquals("run 1", body(ask("POST /sk/x", key + "key-a2\r\n", "b")));
  }

  @Test
  void requestsBeyondTheQuotaAreRejectedWithRetryAfter() throws IOException {
    long began = System.nanoTime();
    int over = 0;
    for (int i = 0; i < 40 && over < 3; i++) {
      String a =
          ask("GET /s/x", "Authorization: Bearer key-s\r\nX-Otterpond-Time-Remaining: 400\r\n", "");
      if (status(a) == 429) {
        over++;
        assertTrue(Double.parseDouble(ScriptedWorker.header(a, "Retry-After")) > 0);
      }
    }
    double most = 4 + 5 * (System.nanoTime() - began) / 1e9 + 1;
    assertEquals(3, over);
    assertTrue(worker.requests.size() <= most, worker.requests.size() + " ran, of " + most);
    assertTrue(worker.requests.size() >= 3, "what is within the quota is served");
  }

  @Test
  void bytesAfterTheResponseAreDropped() throws IOException {
    worker.script =
        r ->
            ScriptedWorker.ok(r, "first")
                + "HTTP/1.1 200 OK\r\nX-Otterpond-Server-Seal: s\r\nContent-Length: 5\r\n\r\nstale";
    assertEquals("first", body(ask("GET /p/x")));
    worker.script = r -> ScriptedWorker.ok(r, "second");
    assertEquals("second", body(ask("GET /p/x")));
  }

  @Test
  void onlyRejectedRequestIsReportedAsNotExecuted() throws IOException {
    worker.script = ScriptedWorker::full;
    String a = ask("POST /o/x", "Content-Length: 1\r\n", "b");
    assertEquals(503, status(a));
    assertTrue(Double.parseDouble(ScriptedWorker.header(a, "Retry-After")) > 0);
    worker.script = r -> "HTTP/1.1 503 Ran\r\nContent-Length: 0\r\n\r\n";
    assertEquals(502, status(ask("POST /o/x", "Content-Length: 1\r\n", "b")));
  }

  @Test
  void repeatedOperationKeyGetsTheFirstResponse() throws IOException {
    worker.script = r -> ScriptedWorker.ok(r, "run " + worker.requests.size());
    String first =
        ask("POST /k/x", "X-Otterpond-Operation-Key: key-1\r\nContent-Length: 1\r\n", "b");
    String again =
        ask("POST /k/x", "X-Otterpond-Operation-Key: key-1\r\nContent-Length: 1\r\n", "b");
    assertEquals(200, status(again));
    assertEquals(body(first), body(again));
    assertEquals(
        ScriptedWorker.header(first, "X-Otterpond-Server-Seal"),
        ScriptedWorker.header(again, "X-Otterpond-Server-Seal"));
    assertNotEquals(
        ScriptedWorker.header(first, "X-Otterpond-Attempt-Id"),
        ScriptedWorker.header(again, "X-Otterpond-Attempt-Id"));
    assertEquals(1, worker.requests.size());
    assertEquals(400, status(ask("POST /k/x", "Content-Length: 1\r\n", "b")), "a key is wanted");
  }

  @Test
  void requestWithUnknownOutcomeIsNotRepeated() throws IOException {
    String headers = "X-Otterpond-Operation-Key: key-2\r\nContent-Length: 1\r\n";
    worker.script = r -> ScriptedWorker.HANG_UP;
    assertEquals(502, status(ask("POST /k/x", headers, "b")));
    worker.script = r -> ScriptedWorker.ok(r, "a second run");
    int again = status(ask("POST /k/x", headers, "b"));
    assertTrue(again == 502 || again == 409, "got " + again);
    assertEquals(1, worker.requests.size());
  }

  @Test
  void keyOfRejectedRequestIsReleasedForTheNextAttempt() throws IOException {
    String headers = "X-Otterpond-Operation-Key: key-3\r\nContent-Length: 1\r\n";
    worker.script = ScriptedWorker::full;
    assertEquals(503, status(ask("POST /k/x", headers, "b")));
    worker.script = r -> ScriptedWorker.ok(r, "ran");
    String a = "";
    for (int i = 0; i < 20 && status(a) != 200; i++) {
      a = ask("POST /k/x", headers, "b");
    }
    assertEquals("ran", body(a));
  }

  @Test
  void requestWithLockedKeyIsNotExecutedConcurrently() throws Exception {
    CountDownLatch release = new CountDownLatch(1);
    worker.script =
        r -> {
          try {
            release.await(5, TimeUnit.SECONDS);
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
          return ScriptedWorker.ok(r, "slow");
        };
    String headers =
        "X-Otterpond-Operation-Key: key-4\r\nX-Otterpond-Time-Remaining: 2000"
            + "\r\nContent-Length: 1\r\n";
    try (RawClient one = new RawClient(front);
        RawClient two = new RawClient(front)) {
      one.send(head("POST /k/x", headers) + "b");
      for (int i = 0; i < 2_000 && worker.requests.isEmpty(); i++) {
        TimeUnit.MILLISECONDS.sleep(1);
      }
      assertEquals(1, worker.requests.size(), "the first one is at work");
      two.send(head("POST /k/x", headers) + "b");
      assertEquals(409, status(two.answer()));
      release.countDown();
      assertEquals("slow", body(one.answer()));
    }
    assertEquals(1, worker.requests.size());
  }

  @Test
  void invalidConfigurationsNameTheirField() throws IOException {
    assertProblem(400, "body", "{\"revision\":");
    assertProblem(400, "revision", "{\"revision\":1,\"route_table\":[],\"service_table\":[]}");
    assertProblem(
        400,
        "route_table[0].guard_timer_ms",
        "{\"revision\":9,\"service_table\":[{\"name\":\"s\"}],"
            + "\"route_table\":["
            + route("r", "/a/", "keyed", 1).replace("3000", "0")
            + "]}");
    assertProblem(
        400,
        "route_table[0].target_service",
        "{\"revision\":9,\"service_table\":[],\"route_table\":["
            + route("r", "/a/", "keyed", 1)
            + "]}");
  }

  private static void assertProblem(int status, String names, String config) throws IOException {
    try (RawClient c = new RawClient(control)) {
      String a =
          c.send(
                  "POST /-/Configuration.Replace HTTP/1.1\r\nHost: c\r\n"
                      + "X-Otterpond-Base-Revision: 1\r\n"
                      + "Content-Length: "
                      + config.length()
                      + "\r\n\r\n"
                      + config)
              .answer();
      assertEquals(status, status(a), a);
      assertTrue(body(a).contains("\"cause\":\"" + names), a);
    }
  }

  @Test
  void clientReadsChecksAndReportsByExitCode(@TempDir Path folder) throws IOException {
    String node = "127.0.0.1:" + control;
    assertEquals(0, OtterpondCommand.execute("status", "--node", node));
    assertEquals(0, OtterpondCommand.execute("config", "get", "-n", node));
    Path file = folder.resolve("c.json");
    Files.writeString(file, "{\"revision\":8,\"route_table\":[],\"service_table\":[]}");
    assertEquals(0, OtterpondCommand.execute("config", "validate", file.toString()));
    assertEquals(
        1,
        OtterpondCommand.execute("config", "replace", "-n", node, "--base", "77", file.toString()),
        "lost race");
    Files.writeString(file, "{\"revision\":8}");
    assertEquals(1, OtterpondCommand.execute("config", "validate", file.toString()));
    assertEquals(2, OtterpondCommand.execute("config", "replace"));
    assertEquals(2, OtterpondCommand.execute());
    assertEquals(3, OtterpondCommand.execute("status", "-n", "127.0.0.1:1"));
  }

  @Test
  void metricsAndStatusAreServed() throws IOException {
    try (RawClient c = new RawClient(control)) {
      String a = c.send("GET /-/metrics HTTP/1.1\r\nHost: c\r\n\r\n").answer();
      assertTrue(body(a).contains("otterpond_requests_total"), a);
      String s = c.send("GET /-/status HTTP/1.1\r\nHost: c\r\n\r\n").answer();
      assertTrue(body(s).contains("\"primary\":\"n\""), s);
      assertFalse(body(s).contains("\"epoch\":0"), s);
    }
  }
}
