package org.otterpond.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What one node sends to its only worker while that is in slow start, through real sockets. */
class SlowStartLoopbackTest {
  /** At 3.6 a second and a slack of 8, within any one second, from all nodes together. */
  private static final int ARRIVALS_BOUND = 13;

  private static final int REQUESTS = 40;
  private static final Pattern VIOLATIONS =
      Pattern.compile("(?m)^otterpond_slow_start_violations_total (.*)$");

  private LoopbackNode node;
  private ScriptedWorker worker;
  private int lastAttempt;

  @BeforeEach
  void startNodeAndWorker(@TempDir Path folder) throws Exception {
    worker = new ScriptedWorker();
    node = new LoopbackNode(folder, "\"warmup_excess\":1.5,\"warmup_slack\":8", () -> {});
    node.configure(
        "{\"revision\":1,\"route_table\":["
            + LoopbackNode.route("/", "idempotent", "s", 2_000, 200)
            + "],\"service_table\":[{\"name\":\"s\",\"warmup_s\":60,\"warmup_per_s\":3.6}]}");
  }

  @AfterEach
  void noRequestPassedByTheLimit() throws Exception {
    worker.close();
    try (RawClient client = new RawClient(node.control)) {
      String metrics = client.send("GET /-/metrics HTTP/1.1\r\nHost: c\r\n\r\n").answer();
      Matcher violations = VIOLATIONS.matcher(metrics);
      assertTrue(violations.find(), metrics);
      assertEquals(0, Double.parseDouble(violations.group(1)));
    }
  }

  private void heartbeat(int sequence, int slowStartMillis) throws Exception {
    String fields = "\"capacity_slots\":8,\"call_sequence\":" + sequence + ",\"warmup_left_ms\":";
    node.beat("i-1", "s", worker.port(), fields + slowStartMillis);
  }

  private String call() throws IOException {
    try (RawClient client = new RawClient(node.front)) {
      String request =
          "GET /a HTTP/1.1\r\nHost: h.example\r\nX-Otterpond-Attempt-Id: s" + ++lastAttempt;
      return client.send(request + "\r\n\r\n").answer();
    }
  }

  private void callUntilServed() throws Exception {
    for (int i = 0; i < 200 && worker.requests.isEmpty(); i++) {
      call();
    }
    assertTrue(!worker.requests.isEmpty(), "the worker is not used at all");
  }

  /** Returns how many of so many calls, one after the other, have reached the worker. */
  private int arrivalsOf(int calls) throws IOException {
    int before = worker.requests.size();
    for (int i = 0; i < calls; i++) {
      call();
    }
    return worker.requests.size() - before;
  }

  // Guards against the flood of a worker that starts, where no other is there (FAILBACK).
  @Test
  void workerThatStartsGetsNoMoreThanItsBound() throws Exception {
    heartbeat(1, 60_000);
    callUntilServed();
    long begunAtNanos = System.nanoTime();

    int arrivals = arrivalsOf(REQUESTS);

    long seconds = 1 + (System.nanoTime() - begunAtNanos) / 1_000_000_000;
    assertTrue(arrivals <= seconds * ARRIVALS_BOUND, arrivals + " in " + seconds + " s");
    assertTrue(arrivals < REQUESTS, "nothing was held back");
  }

  // Guards against the flood of a worker that becomes cold while it is in service (FAILBACK).
  @Test
  void workerInServiceThatBecomesColdGetsNoMoreThanItsBound() throws Exception {
    heartbeat(1, 0);
    callUntilServed();
    assertEquals(REQUESTS, arrivalsOf(REQUESTS), "a warm worker gets all");

    heartbeat(2, 60_000);
    long begunAtNanos = System.nanoTime();
    int arrivals = arrivalsOf(REQUESTS);

    long seconds = 1 + (System.nanoTime() - begunAtNanos) / 1_000_000_000;
    assertTrue(arrivals <= seconds * ARRIVALS_BOUND, arrivals + " in " + seconds + " s");
  }
}
