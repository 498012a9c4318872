package org.otterpond.simulation;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.otterpond.messaging.DeliveryListener;
import org.otterpond.messaging.Message;
import org.otterpond.messaging.MessagePartition;
import org.otterpond.messaging.MessageStore;
import org.otterpond.messaging.message.MessageState;

/**
 * Delivers the messages of one storage node to simulated workers, most of which succeed; some
 * reject the message or fail, and some answers are lost.
 */
final class SimulatedDelivery implements DeliveryListener {
  private static final int MAX_ATTEMPTS = 3;
  private static final int MIN_PICKUP_MICROS = 500;
  private static final int PICKUP_SPREAD_MICROS = 3_000;
  private static final long LATENCY_MICROS = 300;
  private static final long MIN_EXECUTION_MICROS = 5_000;
  private static final int EXECUTION_SPREAD_MICROS = 40_000;
  private static final long RETRY_AFTER_FAILURE_MICROS = 20_000;
  private static final long RETRY_AFTER_TIMEOUT_MICROS = 50_000;

  /** What becomes of one attempt. */
  private enum AttemptOutcome {
    SUCCEEDED,
    SUCCEEDED_ANSWER_LOST,
    REJECTED,
    FAILED,
    /** The worker has not executed the message, and its node does not learn of that. */
    NOT_EXECUTED_ANSWER_LOST;

    static AttemptOutcome ofPercentile(int percentile) {
      if (percentile < 85) {
        return SUCCEEDED;
      }
      if (percentile < 88) {
        return SUCCEEDED_ANSWER_LOST;
      }
      if (percentile < 90) {
        return REJECTED;
      }
      return percentile < 96 ? FAILED : NOT_EXECUTED_ANSWER_LOST;
    }
  }

  private final SimulatedWorld world;
  private final MessageInvariantChecker checker;
  private final Consumer<Runnable> ownerThread;

  /** The store whose messages are delivered; set once, right after it has been created. */
  MessageStore messageStore;

  private final Map<MessagePartition, Integer> inFlight = new HashMap<>();
  private final Map<MessagePartition, Runnable> stopping = new HashMap<>();
  private final Map<Message, MessagePartition> ready = new LinkedHashMap<>();

  /**
   * Creates a delivery.
   *
   * @param ownerThread runs a task on the owner thread of the node's process
   */
  SimulatedDelivery(
      SimulatedWorld world, MessageInvariantChecker checker, Consumer<Runnable> ownerThread) {
    this.world = world;
    this.checker = checker;
    this.ownerThread = ownerThread;
  }

  @Override
  public void ready(MessagePartition partition, Message message) {
    ready.put(message, partition);
    world.schedule(
        MIN_PICKUP_MICROS + world.random.nextInt(PICKUP_SPREAD_MICROS),
        () ->
            ownerThread.accept(
                () -> {
                  if (ready.remove(message, partition)) {
                    deliver(partition, message);
                  }
                }));
  }

  private void deliver(MessagePartition partition, Message message) {
    if (!partition.serving()) {
      partition.later(message, 0);
      return;
    }
    inFlight.merge(partition, 1, Integer::sum);
    partition.deliveryBegan(message);
    partition.whole(
        message,
        body -> {
          if (body == null) {
            checker.addViolation("bytes of " + message.id() + " cannot be read");
          } else {
            attempt(partition, message);
          }
        });
  }

  private void attempt(MessagePartition partition, Message message) {
    AttemptOutcome outcome = AttemptOutcome.ofPercentile(world.random.nextInt(100));
    long executionMicros = MIN_EXECUTION_MICROS + world.random.nextInt(EXECUTION_SPREAD_MICROS);
    String result = "seal-" + message.id() + "-" + executionMicros;
    world.schedule(
        LATENCY_MICROS,
        () -> {
          checker.executionStarted(message.id());
          world.schedule(
              executionMicros,
              () -> {
                reportExecution(message, outcome, result);
                world.schedule(
                    LATENCY_MICROS,
                    () -> ownerThread.accept(() -> answered(partition, message, outcome, result)));
              });
        });
  }

  private void reportExecution(Message message, AttemptOutcome outcome, String result) {
    switch (outcome) {
      case SUCCEEDED, SUCCEEDED_ANSWER_LOST -> checker.executionSucceeded(message.id(), result);
      case REJECTED -> checker.executionRejected(message.id());
      case FAILED -> checker.executionFailed(message.id(), MAX_ATTEMPTS);
      case NOT_EXECUTED_ANSWER_LOST -> {
        // No worker knows of the message.
      }
      default -> throw new AssertionError(outcome);
    }
  }

  private void answered(
      MessagePartition partition, Message message, AttemptOutcome outcome, String result) {
    switch (outcome) {
      case SUCCEEDED -> {
        checker.successAnswered(message.id());
        messageStore.ended(partition, message, MessageState.COMPLETED, result);
      }
      case REJECTED -> messageStore.ended(partition, message, MessageState.DEAD_LETTER, null);
      case FAILED -> attemptFailed(partition, message);
      case SUCCEEDED_ANSWER_LOST, NOT_EXECUTED_ANSWER_LOST ->
          partition.later(message, RETRY_AFTER_TIMEOUT_MICROS);
      default -> throw new AssertionError(outcome);
    }
    attemptEnded(partition);
  }

  private void attemptFailed(MessagePartition partition, Message message) {
    messageStore.attemptFailed(partition, message);
    if (message.attempts() >= MAX_ATTEMPTS) {
      messageStore.ended(partition, message, MessageState.DEAD_LETTER, null);
    } else {
      partition.later(message, RETRY_AFTER_FAILURE_MICROS);
    }
  }

  private void attemptEnded(MessagePartition partition) {
    if (inFlight.merge(partition, -1, Integer::sum) > 0) {
      return;
    }
    inFlight.remove(partition);
    Runnable stopped = stopping.remove(partition);
    if (stopped != null) {
      stopped.run();
    }
  }

  @Override
  public void stop(MessagePartition partition, Runnable stopped) {
    List<Message> waiting =
        ready.keySet().stream().filter(message -> ready.get(message) == partition).toList();
    ready.keySet().removeAll(waiting);
    waiting.forEach(message -> partition.later(message, 0));
    if (inFlight.containsKey(partition)) {
      stopping.put(partition, stopped);
    } else {
      stopped.run();
    }
  }

  @Override
  public Map<MessagePartition, Integer> countByPartition() {
    Map<MessagePartition, Integer> counts = new HashMap<>(inFlight);
    ready.values().forEach(partition -> counts.merge(partition, 1, Integer::sum));
    return counts;
  }
}
