package org.otterpond.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks what producers and workers observe of messages against the guarantees of the message
 * store. It knows nothing of partitions and replicas.
 */
final class MessageInvariantChecker {
  private static final long NOT_ACCEPTED = Long.MAX_VALUE;

  private final SimulatedWorld world;

  /** What contradicts a guarantee, each with its time in milliseconds. */
  final List<String> violations = new ArrayList<>();

  /** The accepted messages by their ids, in the order of their acceptance. */
  final Map<String, SentMessage> accepted = new LinkedHashMap<>();

  private final Map<String, SentMessage> sentById = new HashMap<>();
  private final Map<String, String> idByIdempotencyKey = new HashMap<>();

  /**
   * Whether a message that runs again after a success was answered is a violation, as it is while
   * no fault is injected.
   */
  boolean requiresSingleExecution;

  /** One message as its producer knows it. */
  static final class SentMessage {
    final String id;
    private final String orderingKey;
    private final long sentMicros;
    private final long notBeforeMicros;
    private final String body;
    private long acceptedMicros = NOT_ACCEPTED;
    private boolean rejected;
    private boolean started;

    /** Whether it has succeeded, was rejected by a worker or has failed too often. */
    private boolean ended;

    private boolean successAnswered;
    private int failures;
    private final Set<String> results = new HashSet<>();

    private SentMessage(
        String id, String orderingKey, long sentMicros, long notBeforeMicros, String body) {
      this.id = id;
      this.orderingKey = orderingKey;
      this.sentMicros = sentMicros;
      this.notBeforeMicros = notBeforeMicros;
      this.body = body;
    }

    boolean hasEnded() {
      return ended;
    }
  }

  MessageInvariantChecker(SimulatedWorld world) {
    this.world = world;
  }

  /** Records something that contradicts a guarantee. */
  void addViolation(String description) {
    violations.add(world.now() / 1000 + " " + description);
  }

  /**
   * Records that a producer sends a message.
   *
   * @param orderingKey messages of one key are delivered in order; null if any order will do
   * @param delayMicros the message must not run before this time has passed
   */
  SentMessage sent(String id, String orderingKey, long delayMicros, String body) {
    SentMessage message =
        new SentMessage(id, orderingKey, world.now(), world.now() + delayMicros, body);
    sentById.put(id, message);
    return message;
  }

  /**
   * Records that a message was accepted.
   *
   * @param idempotencyKey the key that the producer has sent, or null
   * @param id the id that the answer gives: of this message or of an earlier one of the same key
   */
  void accepted(String idempotencyKey, String id) {
    if (idempotencyKey != null) {
      String first = idByIdempotencyKey.putIfAbsent(idempotencyKey, id);
      if (first != null && !first.equals(id)) {
        addViolation("idempotency key " + idempotencyKey + " is " + first + " and " + id);
      }
    }
    SentMessage message = sentById.get(id);
    if (message == null) {
      addViolation("accepted under an id never sent: " + id);
      return;
    }
    message.acceptedMicros = Math.min(message.acceptedMicros, world.now());
    accepted.putIfAbsent(id, message);
  }

  /** Records that a message was certainly not accepted, and never will be. */
  void rejected(SentMessage message) {
    message.rejected = true;
  }

  /** Records that a worker begins to execute a message. */
  void executionStarted(String id) {
    SentMessage message = sentById.get(id);
    if (message == null) {
      addViolation("a worker gets what nobody sent: " + id);
      return;
    }
    message.started = true;
    if (message.rejected) {
      addViolation("REJECTED " + id + " runs though it was rejected");
    }
    if (world.now() < message.notBeforeMicros) {
      addViolation("EARLY " + id);
    }
    if (message.successAnswered && requiresSingleExecution) {
      addViolation("TWICE " + id);
    }
    if (message.orderingKey != null) {
      checkOrder(message);
    }
  }

  /** A message must not begin before those that were accepted before it was sent have ended. */
  private void checkOrder(SentMessage message) {
    for (SentMessage earlier : accepted.values()) {
      if (earlier != message
          && message.orderingKey.equals(earlier.orderingKey)
          && (earlier.rejected || earlier.acceptedMicros < message.sentMicros)
          && !earlier.ended) {
        addViolation("ORDER " + message.id + " begins before the end of " + earlier.id);
      }
    }
  }

  /** Records that a worker has executed a message, and with which result. */
  void executionSucceeded(String id, String result) {
    SentMessage message = sentById.get(id);
    message.ended = true;
    message.results.add(result);
  }

  /** Records that a storage node has received the answer of a successful execution. */
  void successAnswered(String id) {
    sentById.get(id).successAnswered = true;
  }

  /** Records that a worker has rejected a message for good. */
  void executionRejected(String id) {
    sentById.get(id).ended = true;
  }

  /** Records a failed execution; the last of so many attempts ends the message. */
  void executionFailed(String id, int maxAttempts) {
    SentMessage message = sentById.get(id);
    message.failures++;
    message.ended |= message.failures >= maxAttempts;
  }

  /** Checks that every accepted message was started that fell due so long ago, or longer. */
  void checkStartedWithin(long micros) {
    for (SentMessage message : accepted.values()) {
      if (!message.started && message.notBeforeMicros + micros < world.now()) {
        addViolation("LATE " + message.id + " has not started");
      }
    }
  }

  /** Checks that every accepted message has ended, long after the last fault and the last send. */
  void checkAllEnded() {
    for (SentMessage message : accepted.values()) {
      if (!message.ended) {
        addViolation("STUCK " + message.id + " has not ended");
      }
    }
  }

  /** Checks the final state of an accepted message, or null if the store does not know it. */
  void stateQueried(SentMessage message, String state, String result) {
    if (state == null) {
      addViolation("LOST " + message.id + ": unknown at the end");
    } else if (state.equals("COMPLETED") && !message.results.contains(result)) {
      addViolation("MIXED " + message.id + " completed with a result that no execution gave");
    } else if (state.equals("DEAD_LETTER") && !message.ended) {
      addViolation("MIXED " + message.id + " is a dead letter and has not ended");
    }
  }

  /** Checks the stored body of an accepted message. */
  void bodyQueried(SentMessage message, String body) {
    if (!message.body.equals(body)) {
      addViolation("MIXED bytes of " + message.id);
    }
  }
}
