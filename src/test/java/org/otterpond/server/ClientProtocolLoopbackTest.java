package org.otterpond.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What a client may send to a node, through real sockets. */
class ClientProtocolLoopbackTest extends GatewayFixture {
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
}
