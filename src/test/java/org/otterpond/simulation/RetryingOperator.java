package org.otterpond.simulation;

import java.util.ArrayList;
import java.util.List;
import org.otterpond.protocol.WireRecord;

/**
 * An operator that writes one revision after another and sends each write unchanged, every time to
 * another node, until it is confirmed. Beside each attempt it reads the configuration.
 */
final class RetryingOperator {
  private static final int HTTP_OK = 200;
  private static final int NO_ANSWER = 0;
  private static final long REQUEST_TIMEOUT_MICROS = 850_000;
  private static final long RETRY_MICROS = 250_000;
  private static final long ATTEMPT_TIMEOUT_MICROS = 1_000_000;
  private static final long PAUSE_MICROS = 50_000;

  private final SimulatedCluster cluster;
  private final SimulatedWorld world;

  /** Answers other than a confirmation, none of which may be given. */
  final List<String> wrongAnswers = new ArrayList<>();

  private boolean running = true;
  private long confirmedRevision;
  private long confirmedMicros;
  private long longestGapMicros;
  private SimulatedNode lastNode;

  RetryingOperator(SimulatedCluster cluster) {
    this.cluster = cluster;
    this.world = cluster.world;
    this.confirmedMicros = world.now();
  }

  void start() {
    writeNext();
  }

  /** Sends no further write after the one that is being sent. */
  void stop() {
    running = false;
  }

  long confirmedRevision() {
    return confirmedRevision;
  }

  /** Measures the longest time without a confirmation from now on. */
  void restartGapMeasurement() {
    longestGapMicros = 0;
    confirmedMicros = world.now();
  }

  /** The longest time without a confirmation, up to now. */
  long longestGapMicros() {
    return Math.max(longestGapMicros, world.now() - confirmedMicros);
  }

  private void writeNext() {
    if (!running) {
      return;
    }
    long revision = confirmedRevision + 1;
    cluster.checker.writeSent(revision);
    send(revision);
  }

  private void send(long revision) {
    WireRecord write =
        ControlRequests.replaceConfiguration(
            revision - 1,
            "{\"revision\":" + revision + ",\"route_table\":[],\"service_table\":[]}");
    SimulatedNode node = pickOtherNode();
    boolean[] ended = {false};
    node.perform(
        () ->
            node.agent.ask(
                write,
                REQUEST_TIMEOUT_MICROS,
                RETRY_MICROS,
                reply -> answered(revision, reply, ended)));
    world.schedule(ATTEMPT_TIMEOUT_MICROS, () -> timedOut(revision, ended));
    read();
  }

  private SimulatedNode pickOtherNode() {
    SimulatedNode node = cluster.randomRunningNode();
    while (node == lastNode) {
      node = cluster.randomRunningNode();
    }
    lastNode = node;
    return node;
  }

  private void answered(long revision, WireRecord reply, boolean[] ended) {
    int status = reply == null ? NO_ANSWER : (int) reply.number("status");
    if (status == NO_ANSWER) {
      return;
    }
    if (status != HTTP_OK) {
      wrongAnswers.add(
          world.now() / 1000
              + " write "
              + revision
              + " got "
              + status
              + ": "
              + reply.text("cause"));
      return;
    }
    if (confirmedRevision < revision) {
      confirmed(revision);
    }
    if (!ended[0]) {
      ended[0] = true;
      world.schedule(PAUSE_MICROS, this::writeNext);
    }
  }

  private void confirmed(long revision) {
    cluster.checker.writeAcknowledged(revision - 1, revision);
    confirmedRevision = revision;
    longestGapMicros = Math.max(longestGapMicros, world.now() - confirmedMicros);
    confirmedMicros = world.now();
  }

  private void timedOut(long revision, boolean[] ended) {
    if (ended[0]) {
      return;
    }
    ended[0] = true;
    if (confirmedRevision < revision) {
      send(revision);
    } else {
      world.schedule(PAUSE_MICROS, this::writeNext);
    }
  }

  private void read() {
    SimulatedNode node = cluster.randomRunningNode();
    long acknowledgedBefore = cluster.checker.newestAcknowledged();
    node.perform(
        () ->
            node.agent.ask(
                ControlRequests.readConfiguration(),
                REQUEST_TIMEOUT_MICROS,
                RETRY_MICROS,
                reply -> {
                  if (reply != null) {
                    cluster.checker.readReturned(acknowledgedBefore, reply.number("rev"));
                  }
                }));
  }
}
