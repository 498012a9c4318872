package org.otterpond.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Requests with operation keys, through the real sockets of one node. */
class OperationKeyLoopbackTest extends GatewayFixture {
  @Test
  void operationKeyIsScopedToItsTenant() throws IOException {
    worker.script = r -> ScriptedWorker.ok(r, "run " + worker.requests.size());
    String key = "X-Otterpond-Operation-Key: same\r\nContent-Length: 1\r\nAuthorization: Bearer ";
    assertEquals("run 1", body(ask("POST /sk/x", key + "key-a\r\n", "b")));
    assertEquals("run 2", body(ask("POST /sk/x", key + "key-b\r\n", "b")));
    assertEquals("run 1", body(ask("POST /sk/x", key + "key-a2\r\n", "b")));
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
}
