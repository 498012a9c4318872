package org.otterpond.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What a node makes of the responses and connections of a worker, through real sockets. */
class WorkerResponseLoopbackTest extends GatewayFixture {
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
}
