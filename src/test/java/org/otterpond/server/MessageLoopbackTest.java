package org.otterpond.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.otterpond.cli.OtterpondCommand;

/** The message tier over real sockets and disks: an edge node and two stores. */
class MessageLoopbackTest {
  private static LoopbackNode node;
  private static ScriptedWorker worker;
  private static int attempt;

  @BeforeAll
  static void start(@TempDir Path folder) throws Exception {
    node = new LoopbackNode(folder, "\"status_s\":60", () -> {});
    node.store(folder, "127.0.0.2", "\"status_s\":60", () -> {});
    node.store(folder, "127.0.0.3", "\"status_s\":60", () -> {});
    worker = new ScriptedWorker();
    node.configure(
        "{\"revision\":1,\"route_table\":["
            + route("free", "/m/", false)
            + ","
            + route("line", "/l/", true)
            + "],\"subscribers\":[{\"name\":\"acme\",\"access_keys\":[\"key-a\"]},"
            + "{\"name\":\"bolt\","
            + "\"access_keys\":[\"key-b\"]}],\"service_table\":[{\"name\":\"s\"}]}");
    node.beat(worker.port());
    String last = hand("/m/up", "", "warm");
    for (int i = 1; i < 200 && status(last) != 202; i++) {
      TimeUnit.MILLISECONDS.sleep(50);
      last = hand("/m/up", "", "warm");
    }
    assertEquals(202, status(last), last);
  }

  @BeforeEach
  void plainScript() {
    worker.script = r -> ScriptedWorker.ok(r, "done");
  }

  private static String route(String name, String prefix, boolean ordered) {
    return "{\"name\":\""
        + name
        + "\",\"host_name\":\"h.example\",\"path_prefix\":\""
        + prefix
        + "\",\"route_type\":\"asynchronous\",\"guard_timer_ms\":2000,"
        + "\"target_latency_ms\":100,\"target_service\":\"s\","
        + "\"max_attempts\":2,\"retention_s\":30,\"ordered_delivery\":"
        + ordered
        + "}";
  }

  private static int status(String answer) {
    return answer.startsWith("HTTP/1.1 ") ? Integer.parseInt(answer.substring(9, 12)) : -1;
  }

  private static String call(String line, String headers, String body) throws IOException {
    try (RawClient c = new RawClient(node.front)) {
      return c.send(
              line
                  + " HTTP/1.1\r\nHost: h.example\r\nX-Otterpond-Attempt-Id: m"
                  + ++attempt
                  + "\r\n"
                  + headers
                  + "Content-Length: "
                  + body.length()
                  + "\r\n\r\n"
                  + body)
          .answer();
    }
  }

  private static String hand(String path, String headers, String body) throws IOException {
    return call("POST " + path, "Authorization: Bearer key-a\r\n" + headers, body);
  }

  private static String idOf(String answer) {
    assertEquals(202, status(answer), answer);
    return ScriptedWorker.header(answer, "X-Otterpond-Message-Id");
  }

  private static String state(String id) throws IOException {
    return call("GET /-/message/" + id, "Authorization: Bearer key-a\r\n", "");
  }

  private static String stateWhen(String id, String wanted) throws Exception {
    String last = state(id);
    for (int i = 1; i < 100 && !last.contains(wanted); i++) {
      TimeUnit.MILLISECONDS.sleep(30);
      last = state(id);
    }
    assertTrue(last.contains(wanted), last);
    return last;
  }

  @Test
  void messageIsDeliveredUnchangedAndItsStateHasTheSeal() throws Exception {
    String id =
        idOf(hand("/m/x?y=1", "X-Extra: kept\r\nX-Otterpond-Tenant-Id: somebody\r\n", "bytes"));
    assertTrue(stateWhen(id, "completed").contains("\"timestamp\":\"seal\""));
    List<String> got =
        worker.requests.stream().filter(r -> r.startsWith("POST /m/x?y=1 ")).toList();
    assertEquals(1, got.size());
    String r = got.get(0);
    assertTrue(r.endsWith("\r\n\r\nbytes"), r);
    assertEquals("kept", ScriptedWorker.header(r, "X-Extra"));
    assertEquals("acme", ScriptedWorker.header(r, "X-Otterpond-Tenant-Id"));
    assertEquals("i-1", ScriptedWorker.header(r, "X-Otterpond-Expected-Instance"));
    assertEquals("2000", ScriptedWorker.header(r, "X-Otterpond-Time-Remaining"));
    assertEquals(null, ScriptedWorker.header(r, "Authorization"));
  }

  @Test
  void repeatedRequestGetsTheFirstIdAndIsDeliveredOnce() throws Exception {
    String first = idOf(hand("/m/once", "X-Otterpond-Operation-Key: op1\r\n", "a"));
    stateWhen(first, "completed");
    assertEquals(first, idOf(hand("/m/once", "X-Otterpond-Operation-Key: op1\r\n", "a")));
    assertEquals(1, worker.requests.stream().filter(r -> r.startsWith("POST /m/once ")).count());
  }

  @Test
  void messageIsDeadLetteredUnchangedAfterItsLastFailedAttempt() throws Exception {
    worker.script =
        r ->
            "HTTP/1.1 500 No\r\nX-Otterpond-Attempt-Id: "
                + ScriptedWorker.header(r, "X-Otterpond-Attempt-Id")
                + "\r\nContent-Length: 0\r\n\r\n";
    String id = idOf(hand("/m/dead", "", "the bytes"));
    stateWhen(id, "dead_letter");
    assertEquals(2, worker.requests.stream().filter(r -> r.startsWith("POST /m/dead ")).count());
    String body = call("GET /-/message-body/" + id, "Authorization: Bearer key-a\r\n", "");
    assertTrue(status(body) == 200 && body.endsWith("the bytes"), body);
  }

  @Test
  void permanentlyRejectedMessageIsDeadLetteredAfterOneAttempt() throws Exception {
    worker.script =
        r ->
            "HTTP/1.1 422 Never\r\nX-Otterpond-Attempt-Id: "
                + ScriptedWorker.header(r, "X-Otterpond-Attempt-Id")
                + "\r\nContent-Length: 0\r\n\r\n";
    String id = idOf(hand("/m/never", "", "x"));
    stateWhen(id, "dead_letter");
    assertEquals(1, worker.requests.stream().filter(r -> r.startsWith("POST /m/never ")).count());
  }

  @Test
  void rejectedAndInterruptedDeliveriesAreRetriedWithoutCountingAsAttempts() throws Exception {
    int[] n = {0};
    worker.script =
        request -> {
          if (!request.startsWith("POST /m/again")) {
            return ScriptedWorker.ok(request, "");
          }
          return switch (n[0]++) {
            case 0, 1, 2 -> ScriptedWorker.full(request);
            case 3 -> "HTTP/1.1 200 OK\r\n" + ScriptedWorker.HANG_UP;
            default -> ScriptedWorker.ok(request, "");
          };
        };
    stateWhen(idOf(hand("/m/again", "", "x")), "completed");
    assertEquals(5, worker.requests.stream().filter(r -> r.startsWith("POST /m/again ")).count());
  }

  @Test
  void messagesOfOneOrderingKeyAreDeliveredInOrder() throws Exception {
    int[] n = {0};
    // The first fails once; the second must not pass it.
    worker.script =
        r ->
            r.startsWith("POST /l/a") && n[0]++ == 0
                ? ScriptedWorker.full(r)
                : ScriptedWorker.ok(r, "");
    String a = idOf(hand("/l/a", "X-Otterpond-Ordering-Key: card\r\n", "a"));
    String b = idOf(hand("/l/b", "X-Otterpond-Ordering-Key: card\r\n", "b"));
    stateWhen(b, "completed");
    stateWhen(a, "completed");
    List<String> order =
        worker.requests.stream()
            .filter(r -> r.startsWith("POST /l/"))
            .map(r -> r.substring(8, 9))
            .toList();
    assertEquals(List.of("a", "a", "b"), order);
  }

  @Test
  void delayedMessageIsQueuedUntilItsTime() throws Exception {
    long from = System.nanoTime();
    String id = idOf(hand("/m/later", "X-Otterpond-Not-Before: 700\r\n", "x"));
    assertTrue(state(id).contains("queued"));
    stateWhen(id, "completed");
    assertTrue(System.nanoTime() - from >= 700_000_000L);
  }

  @ParameterizedTest
  @CsvSource({
    "/m/x,X-Otterpond-Not-Before: -1",
    "/m/x,X-Otterpond-Not-Before: soon",
    "/l/x,X-Plain: no order",
    "/m/x,X-Otterpond-Time-Remaining: long"
  })
  void malformedRequestIsRejectedAndNotStored(String path, String header) throws Exception {
    String answer = hand(path, header + "\r\n", "x");
    assertEquals(400, status(answer), answer);
    assertTrue(answer.contains("\"cause\""), answer);
  }

  @Test
  void messageStateIsVisibleToItsTenantOnly() throws Exception {
    String id = idOf(hand("/m/mine", "", "x"));
    assertEquals(404, status(call("GET /-/message/" + id, "Authorization: Bearer key-b\r\n", "")));
    assertEquals(401, status(call("GET /-/message/" + id, "", "")));
    assertEquals(401, status(call("POST /m/x", "", "x")));
    assertNotEquals(404, status(state(id)));
  }

  @ParameterizedTest
  @ValueSource(strings = {"0.none", "nothing", "99999.a.b", "-1.a.b", "x.y", "0"})
  void unknownIdsAreNotFound(String id) throws Exception {
    assertEquals(404, status(state(id)));
  }

  @Test
  void commandLineReadsStatesAndRetiresNodes() throws Exception {
    String id = idOf(hand("/m/cli", "", "x"));
    stateWhen(id, "completed");
    assertEquals(
        0,
        OtterpondCommand.execute(
            "message",
            "state",
            "-n",
            "127.0.0.1:" + node.front,
            "--host",
            "h.example",
            "--key",
            "key-a",
            id));
    // Two stores hold two copies each: neither can go.
    assertEquals(
        1,
        OtterpondCommand.execute(
            "retire", "begin", "-n", "127.0.0.1:" + node.control, "store-127.0.0.2"));
    assertEquals(
        1,
        OtterpondCommand.execute(
            "retire", "status", "-n", "127.0.0.1:" + node.control, "store-127.0.0.2"));
    assertEquals(0, OtterpondCommand.execute("status", "-n", "127.0.0.1:" + node.control));
  }
}
