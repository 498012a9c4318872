package org.otterpond.simulation;

import com.google.gson.JsonElement;
import com.google.gson.JsonParser;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.otterpond.protocol.CompressedPayload;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * Sends the requests of operators to any node, as the control API carries them to the primary, and
 * records them in a history. A write without a definite answer in time is sent again unchanged.
 */
final class OperatorClient implements ClientAccess {
  private static final int HTTP_OK = 200;

  /** The time-outs of a request within the cluster and of the operator who waits for its answer. */
  private record Timeouts(long requestMicros, long retryMicros, long operatorMicros) {}

  private static final Timeouts REGULAR = new Timeouts(850_000, 250_000, 1_000_000);
  private static final Timeouts LARGE = new Timeouts(2_500_000, 1_200_000, 3_000_000);
  private static final int LARGE_CHARS = 64 * 1024;

  private static final int MAX_ATTEMPTS_AT_END = 8;
  private static final int LONG_BACKOFF_MICROS = 20_000_000;
  private static final int SHORT_BACKOFF_MICROS = 600_000;
  private static final long RELIABLE_BACKOFF_MICROS = 50_000;
  private static final long NO_NODE_BACKOFF_MICROS = 200_000;
  private static final int END_SPREAD_MICROS = 500_000;

  private final SimulatedCluster cluster;
  private final SimulatedWorld world;
  private final OperationHistory history;
  private final Random random;
  private final int maxChangesBetween;

  /** Writes whose attempts are used up without a definite answer. */
  private final List<PendingWrite> undecided = new ArrayList<>();

  private double answerLoss;
  private long newestSeen;
  private long connections;

  /** Notified when a write is confirmed. */
  Runnable onConfirmed = () -> {};

  /** How many attempts of writes were confirmed. */
  int confirmed;

  /** How many attempts of writes were rejected. */
  int rejected;

  /**
   * A write that is being sent.
   *
   * @param confirmedBefore how many writes were confirmed when it was sent first
   */
  private record PendingWrite(ConfigurationWrite write, int confirmedBefore, int attemptsLeft) {
    private PendingWrite nextAttempt() {
      return new PendingWrite(write, confirmedBefore, attemptsLeft - 1);
    }

    private Timeouts timeouts() {
      return write.text().length() > LARGE_CHARS ? LARGE : REGULAR;
    }
  }

  /**
   * Creates a client.
   *
   * @param answerLoss the probability, from 0 to 1, that an answer never reaches the operator
   * @param maxChangesBetween a write is not sent again once more changes than that were confirmed
   *     since its first attempt
   */
  OperatorClient(
      SimulatedCluster cluster,
      OperationHistory history,
      Random random,
      double answerLoss,
      int maxChangesBetween) {
    this.cluster = cluster;
    this.world = cluster.world;
    this.history = history;
    this.random = random;
    this.answerLoss = answerLoss;
    this.maxChangesBetween = maxChangesBetween;
  }

  /** The newest revision that any operator has seen. */
  long newestSeen() {
    return newestSeen;
  }

  /** Lets all answers arrive from now on and sends the undecided writes again. */
  void settle() {
    answerLoss = 0;
    List<PendingWrite> resent = new ArrayList<>(undecided);
    undecided.clear();
    for (PendingWrite pending : resent) {
      world.schedule(
          random.nextInt(END_SPREAD_MICROS),
          () ->
              send(
                  new PendingWrite(
                      pending.write(), pending.confirmedBefore(), MAX_ATTEMPTS_AT_END)));
    }
  }

  @Override
  public SimulatedNode pickNode() {
    List<SimulatedNode> running = cluster.runningNodes();
    return running.isEmpty() ? null : running.get(random.nextInt(running.size()));
  }

  /** Runs a request on a connection of its own; a frozen node gets it when it resumes. */
  @Override
  public void execute(SimulatedNode node, Runnable request) {
    node.perform("call" + ++connections, request);
  }

  /** Sends a write until it has a definite answer or so many attempts had none. */
  void send(ConfigurationWrite write, int maxAttempts) {
    send(new PendingWrite(write, confirmed, maxAttempts));
  }

  private void send(PendingWrite pending) {
    if (confirmed - pending.confirmedBefore() > maxChangesBetween) {
      return;
    }
    if (pending.attemptsLeft() == 0) {
      undecided.add(pending);
      return;
    }
    SimulatedNode node = pickNode();
    if (node == null) {
      world.schedule(NO_NODE_BACKOFF_MICROS, () -> send(pending));
      return;
    }
    new WriteAttempt(node, pending).start();
  }

  /** One attempt of a write, which ends with its answer or with the operator's time-out. */
  private final class WriteAttempt {
    private final SimulatedNode node;
    private final PendingWrite pending;
    private final Operation operation;
    private boolean ended;

    WriteAttempt(SimulatedNode node, PendingWrite pending) {
      this.node = node;
      this.pending = pending;
      this.operation = history.writeInvoked(node.address, pending.write());
    }

    void start() {
      ConfigurationWrite write = pending.write();
      Timeouts timeouts = pending.timeouts();
      world.schedule(timeouts.operatorMicros(), this::endWithoutAnswer);
      WireRecord request =
          ControlRequests.writeConfiguration(write.kind(), write.base(), write.text());
      execute(
          node,
          () ->
              node.agent.ask(
                  request,
                  timeouts.requestMicros(),
                  timeouts.retryMicros(),
                  reply -> answerOperator(() -> answered(reply))));
    }

    private void answered(WireRecord reply) {
      if (ended) {
        return;
      }
      if (reply == null) {
        endWithoutAnswer();
        return;
      }
      ended = true;
      recordAnswer(operation, (int) reply.number("status"));
    }

    private void endWithoutAnswer() {
      if (ended) {
        return;
      }
      ended = true;
      long backoffMicros =
          random.nextInt(random.nextInt(3) == 0 ? LONG_BACKOFF_MICROS : SHORT_BACKOFF_MICROS);
      world.schedule(
          answerLoss == 0 ? RELIABLE_BACKOFF_MICROS : backoffMicros,
          () -> send(pending.nextAttempt()));
    }
  }

  private void recordAnswer(Operation operation, int status) {
    history.writeReturned(operation, status);
    if (status != HTTP_OK) {
      rejected++;
      return;
    }
    confirmed++;
    ConfigurationWrite write = operation.write;
    newestSeen = Math.max(newestSeen, write.revision());
    cluster.checker.writeAcknowledged(write.base(), write.revision());
    onConfirmed.run();
  }

  /** Carries an answer to the operator; some are lost. */
  private void answerOperator(Runnable arrived) {
    if (random.nextDouble() >= answerLoss) {
      world.schedule(200 + random.nextInt(500), arrived);
    }
  }

  /** Reads the configuration from any node. */
  void read() {
    SimulatedNode node = pickNode();
    if (node == null) {
      return;
    }
    Operation operation = history.readInvoked(node.address);
    execute(
        node,
        () ->
            node.agent.ask(
                ControlRequests.readConfiguration(),
                REGULAR.requestMicros(),
                REGULAR.retryMicros(),
                reply -> answerOperator(() -> readAnswered(operation, reply))));
  }

  private void readAnswered(Operation operation, WireRecord reply) {
    if (reply == null || world.now() - operation.invokedMicros > REGULAR.operatorMicros()) {
      return;
    }
    List<String> content = reply.has("text") ? markers(reply.bytes("text")) : List.of();
    history.readReturned(operation, reply.number("rev"), content);
    newestSeen = Math.max(newestSeen, operation.revision);
  }

  /** The names of all tenants of a configuration. */
  private static List<String> markers(byte[] compressedText) {
    try {
      List<String> names = new ArrayList<>();
      for (JsonElement tenant :
          JsonParser.parseString(CompressedPayload.decompressText(compressedText))
              .getAsJsonObject()
              .getAsJsonArray("subscribers")) {
        names.add(tenant.getAsJsonObject().get("name").getAsString());
      }
      return names;
    } catch (ProtocolException e) {
      throw new SimulationException("The configuration that a read returned is malformed", e);
    }
  }
}
