package org.otterpond.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.otterpond.server.HoldingWorker.HeldRequest;

/** Clients that leave while a request is hedged, or about to be. */
class HedgedRequestDepartureTest extends ClientDepartureFixture {
  /** The hedged request would be sent after 0.9 of the latency target of 400 ms. */
  @Test
  void noHedgedRequestIsSentAfterTheClientLeft() throws Exception {
    try (HoldingWorker second = startWorker("second", 1)) {
      earnRetries(second);
      RawClient client = send("GET", "quick/hedged", "");
      next(second);

      client.close();

      TimeUnit.MILLISECONDS.sleep(2 * ALLOWED_MILLIS);
      assertEquals(1, worker.requests.size() + second.requests.size());
    }
  }

  @Test
  void bothAttemptsOfHedgedRequestAreCancelled() throws Exception {
    try (HoldingWorker second = startWorker("second", 1)) {
      earnRetries(second);
      RawClient client = send("GET", "quick/hedged", "");
      HeldRequest first = next(second);
      HeldRequest hedged = next(second);

      client.close();

      assertTrue(first.brokenOffWithin(ALLOWED_MILLIS));
      assertTrue(hedged.brokenOffWithin(ALLOWED_MILLIS));
    }
  }

  /** The client reads nothing, so that the response of the hedged request stays in the node. */
  @Test
  void slowerAttemptIsCancelledWhenTheClientLeavesBeforeItHasTakenTheResponse() throws Exception {
    try (HoldingWorker second = startWorker("second", 1)) {
      earnRetries(second);
      RawClient client = send("GET", "quick/large-response", "");
      HeldRequest slower = next(second);
      HeldRequest hedged = next(second);
      hedged.answer(ScriptedWorker.ok(hedged.text, "x".repeat(20_000_000)));
      assertFalse(slower.brokenOffWithin(ALLOWED_MILLIS), "it has its time while the client waits");

      client.reset();

      assertTrue(slower.brokenOffWithin(ALLOWED_MILLIS));
    }
  }

  private void earnRetries(HoldingWorker second) throws Exception {
    for (int i = 0; i < 30; i++) {
      try (RawClient client = send("GET", "quick/earns-retries", "")) {
        next(second).answer();
        client.answer();
      }
    }
    worker.requests.clear();
    second.requests.clear();
  }
}
