package org.otterpond.simulation;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.otterpond.protocol.WireRecord;
import org.otterpond.replication.GroupConfiguration;

/**
 * Clients that send messages to any edge node, as the ingest of a production node does, and query
 * the state of every accepted message at the end.
 */
final class SimulatedProducers {
  private static final int ORDERING_KEYS = 6;
  private static final int MIN_PAUSE_MICROS = 4_000;
  private static final int PAUSE_SPREAD_MICROS = 12_000;
  private static final int MAX_DELAY_MICROS = 2_000_000;
  private static final int MAX_PADDING = 400;
  private static final long RETENTION_MICROS = 600_000_000;
  private static final long INGEST_DEADLINE_MICROS = 1_500_000;
  private static final long INGEST_TIMEOUT_MICROS = 600_000;
  private static final long INGEST_RETRY_MICROS = 40_000;
  private static final long QUERY_TIMEOUT_MICROS = 500_000;
  private static final long QUERY_RETRY_MICROS = 100_000;
  private static final int QUERY_RETRIES = 30;

  private final SimulatedCluster cluster;
  private final SimulatedWorld world;
  private final MessageInvariantChecker checker;
  private final List<String> idempotencyKeys = new ArrayList<>();
  private boolean running = true;

  /** Numbers messages and idempotency keys alike. */
  private int lastNumber;

  SimulatedProducers(SimulatedCluster cluster, MessageInvariantChecker checker) {
    this.cluster = cluster;
    this.world = cluster.world;
    this.checker = checker;
  }

  void start() {
    world.schedule(0, this::sendNext);
  }

  void stop() {
    running = false;
  }

  /** Sends messages that are not to run before a delay is over. */
  void sendDelayed(int count, long delayMicros) {
    for (int i = 0; i < count; i++) {
      SimulatedNode edge = cluster.randomRunningNode();
      String idempotencyKey = "delayed" + ++lastNumber;
      edge.perform(() -> send(edge, null, idempotencyKey, delayMicros));
    }
  }

  private void sendNext() {
    if (!running) {
      return;
    }
    world.schedule(MIN_PAUSE_MICROS + world.random.nextInt(PAUSE_SPREAD_MICROS), this::sendNext);
    SimulatedNode edge = cluster.randomRunningNode();
    if (edge == null || edge.isFrozen()) {
      return;
    }
    if (world.random.nextInt(3) == 0) {
      String orderingKey = "line" + world.random.nextInt(ORDERING_KEYS);
      edge.perform(() -> send(edge, orderingKey, null, 0));
      return;
    }
    String idempotencyKey = newOrRepeatedKey();
    long delayMicros = world.random.nextInt(4) == 0 ? world.random.nextInt(MAX_DELAY_MICROS) : 0;
    edge.perform(() -> send(edge, null, idempotencyKey, delayMicros));
  }

  private String newOrRepeatedKey() {
    if (!idempotencyKeys.isEmpty() && world.random.nextInt(6) == 0) {
      return idempotencyKeys.get(world.random.nextInt(idempotencyKeys.size()));
    }
    String key = "op" + ++lastNumber;
    idempotencyKeys.add(key);
    return key;
  }

  /** Sends one message, which has either an ordering key or an idempotency key. */
  private void send(
      SimulatedNode edge, String orderingKey, String idempotencyKey, long delayMicros) {
    if (edge.partitions.isEmpty()) {
      return;
    }
    String partitionKey = orderingKey != null ? orderingKey : idempotencyKey;
    int partition = Math.floorMod(partitionKey.hashCode(), edge.partitions.size());
    String id = partition + ".m" + ++lastNumber;
    String body = "body of " + id + " " + "x".repeat(world.random.nextInt(MAX_PADDING));
    MessageInvariantChecker.SentMessage sent = checker.sent(id, orderingKey, delayMicros, body);
    WireRecord message =
        new WireRecord("put")
            .with("id", id)
            .with("order", orderingKey)
            .with("op", idempotencyKey)
            .with("host", "h")
            .with("target", "/m")
            .with("method", "POST")
            .with("headers", List.of())
            .with("body", body.getBytes(StandardCharsets.UTF_8))
            .with("delay", delayMicros)
            .with("keep", RETENTION_MICROS)
            .with("cfg", 1);
    new Ingest(edge, partition, message, sent, idempotencyKey).attempt();
  }

  /** Sends one message to the primary of its partition until that accepts it or time is up. */
  private final class Ingest {
    private final SimulatedNode edge;
    private final int partition;
    private final WireRecord message;
    private final MessageInvariantChecker.SentMessage sent;
    private final String idempotencyKey;
    private final long deadlineMicros = world.now() + INGEST_DEADLINE_MICROS;

    /** Whether an attempt had no answer, so that the message may have been accepted. */
    private boolean unknown;

    Ingest(
        SimulatedNode edge,
        int partition,
        WireRecord message,
        MessageInvariantChecker.SentMessage sent,
        String idempotencyKey) {
      this.edge = edge;
      this.partition = partition;
      this.message = message;
      this.sent = sent;
      this.idempotencyKey = idempotencyKey;
    }

    void attempt() {
      if (world.now() > deadlineMicros) {
        if (!unknown) {
          checker.rejected(sent);
        }
        return;
      }
      edge.agent.requestNodeOnce(
          GroupConfiguration.addressOf(edge.partitions.get(partition).primary()),
          new WireRecord("m.put").with("group", partition).with("message", message),
          INGEST_TIMEOUT_MICROS,
          this::answered);
    }

    private void answered(WireRecord reply) {
      if (reply != null && reply.has("taken")) {
        checker.accepted(idempotencyKey, reply.text("taken"));
        return;
      }
      unknown |= reply == null;
      world.schedule(INGEST_RETRY_MICROS, () -> edge.perform(this::attempt));
    }
  }

  /** Queries the state, and the body where it is still stored, of every accepted message. */
  void queryAll() {
    checker.accepted.values().forEach(sent -> query(sent, QUERY_RETRIES));
  }

  private void query(MessageInvariantChecker.SentMessage sent, int retriesLeft) {
    SimulatedNode edge = cluster.randomRunningNode();
    int partition = Integer.parseInt(sent.id.substring(0, sent.id.indexOf('.')));
    String primary = GroupConfiguration.addressOf(edge.partitions.get(partition).primary());
    edge.agent.requestNodeOnce(
        primary,
        new WireRecord("m.state").with("group", partition).with("id", sent.id),
        QUERY_TIMEOUT_MICROS,
        reply -> {
          if (reply == null || reply.has("no")) {
            retryQuery(sent, retriesLeft);
            return;
          }
          checker.stateQueried(sent, reply.text("state"), reply.text("seal"));
          if ("QUEUED".equals(reply.text("state"))) {
            queryBody(edge, primary, partition, sent);
          }
        });
  }

  private void retryQuery(MessageInvariantChecker.SentMessage sent, int retriesLeft) {
    if (retriesLeft > 0) {
      world.schedule(QUERY_RETRY_MICROS, () -> query(sent, retriesLeft - 1));
    } else {
      checker.addViolation("LOST " + sent.id + ": nobody answers for it");
    }
  }

  private void queryBody(
      SimulatedNode edge, String primary, int partition, MessageInvariantChecker.SentMessage sent) {
    edge.agent.requestNodeOnce(
        primary,
        new WireRecord("m.body").with("group", partition).with("id", sent.id),
        QUERY_TIMEOUT_MICROS,
        reply -> {
          if (reply != null && reply.has("body")) {
            checker.bodyQueried(sent, new String(reply.bytes("body"), StandardCharsets.UTF_8));
          }
        });
  }
}
