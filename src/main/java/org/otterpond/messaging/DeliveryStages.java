package org.otterpond.messaging;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.otterpond.replication.ReplicaGroupRuntime;

/**
 * Moves the queued messages of one partition through the stages of their delivery. Only the
 * primary's replica delivers; elsewhere all messages are idle.
 */
final class DeliveryStages {
  private final MessagePartition partition;
  private final ReplicaGroupRuntime runtime;
  private final DeliveryListener listener;
  private final BooleanSupplier leaseValid;
  private final MessageIndex index;
  private final OrderedMessages ordered;
  private final DelayedMessages delayed;

  /** The group's last report. */
  private boolean active;

  /**
   * Creates the stages of a partition that does not serve yet.
   *
   * @param leaseValid whether the primary may serve at this moment
   */
  DeliveryStages(
      MessagePartition partition,
      ReplicaGroupRuntime runtime,
      DeliveryListener listener,
      BooleanSupplier leaseValid) {
    this.partition = partition;
    this.runtime = runtime;
    this.listener = listener;
    this.leaseValid = leaseValid;
    this.index = partition.index();
    this.ordered = partition.orderedMessages();
    this.delayed = new DelayedMessages(runtime, this::due);
  }

  /** Returns whether messages are offered: the group has reported that this replica serves. */
  boolean isActive() {
    return active;
  }

  /**
   * Returns whether deliveries may begin at this moment. The lease may have expired although the
   * group has not noticed yet, and may be renewed without any report.
   */
  boolean isServing() {
    return active && leaseValid.getAsBoolean();
  }

  /** Takes in the group's report that this replica serves, or does so no more. */
  void setActive(boolean nowActive) {
    if (active == nowActive) {
      return;
    }
    active = nowActive;
    if (nowActive) {
      new ArrayList<>(index.all()).forEach(this::offer);
    } else {
      listener.stop(partition, () -> {});
      clear();
    }
  }

  /** Forgets the messages that are not due, as their partition ceases to serve or is cleared. */
  void clear() {
    delayed.removeAll().forEach(message -> message.stage = DeliveryStage.IDLE);
  }

  /** Offers an idle message for delivery if it is due and the first of its ordering key. */
  void offer(Message message) {
    if (!active
        || !message.queued()
        || message.stage != DeliveryStage.IDLE
        || isBehindAnother(message)) {
      return;
    }
    if (message.dueAtMicros > runtime.now()) {
      message.stage = DeliveryStage.DELAYED;
      delayed.add(message);
      return;
    }
    message.stage = DeliveryStage.READY;
    message.offers++;
    listener.ready(partition, message);
  }

  /** Returns whether an earlier queued message of its ordering key goes first. */
  private boolean isBehindAnother(Message message) {
    return message.ordered() && !ordered.isFirst(message);
  }

  private void due(Message message) {
    message.stage = DeliveryStage.IDLE;
    offer(message);
  }

  /** The listener has begun an attempt. */
  void began(Message message) {
    message.stage = DeliveryStage.IN_FLIGHT;
  }

  /** Takes a message back from the listener and offers it again after a pause. */
  void later(Message message, long pauseMicros) {
    boolean handedOver =
        message.stage == DeliveryStage.READY || message.stage == DeliveryStage.IN_FLIGHT;
    if (!handedOver || !isPresent(message)) {
      return;
    }
    message.stage = DeliveryStage.IDLE;
    if (active && message.queued()) {
      message.dueAtMicros = Math.max(message.dueAtMicros, runtime.now() + pauseMicros);
      offer(message);
    }
  }

  /**
   * Begins to end a message, whichever stage it is in.
   *
   * @return false if it has ended, is about to, or is not of this partition any more
   */
  boolean beginEnd(Message message) {
    if (!isPresent(message) || !message.queued() || message.stage == DeliveryStage.ENDING) {
      return false;
    }
    leave(message);
    message.stage = DeliveryStage.ENDING;
    return true;
  }

  /** The end of a message was not committed, or that is not known: it is still queued here. */
  void endFailed(Message message) {
    if (message.stage == DeliveryStage.ENDING && isPresent(message)) {
      message.stage = DeliveryStage.IDLE;
      offer(message);
    }
  }

  /** The end of a message was committed. */
  void ended(Message message) {
    leave(message);
    message.stage = DeliveryStage.IDLE;
  }

  private void leave(Message message) {
    if (message.stage == DeliveryStage.DELAYED) {
      delayed.remove(message);
    }
  }

  /** A copy of the state that was dropped since may have left messages with the listener. */
  private boolean isPresent(Message message) {
    return index.get(message.id()) == message;
  }

  /** Returns the queued messages whose retention is over, apart from those at a worker. */
  List<Message> expired(long nowMicros) {
    if (!active) {
      return List.of();
    }
    return index.all().stream()
        .filter(message -> message.queued() && nowMicros > message.retainUntilMicros)
        .filter(message -> message.stage != DeliveryStage.IN_FLIGHT)
        .filter(message -> message.stage != DeliveryStage.ENDING)
        .toList();
  }

  /**
   * Counts the queued messages that no event will move on. None must be: what is counted here is a
   * fault of the program.
   *
   * @param heldByListener how many messages of the partition the listener has
   * @param updatesPending whether updates of the group are not committed yet
   */
  int countStranded(int heldByListener, boolean updatesPending) {
    if (!isServing()) {
      return 0;
    }
    int idle = 0;
    int waitingForTime = 0;
    int handedOver = 0;
    int ending = 0;
    for (Message message : index.all()) {
      if (message.queued()) {
        switch (message.stage) {
          case IDLE -> idle += isBehindAnother(message) ? 0 : 1;
          case DELAYED -> waitingForTime++;
          case READY, IN_FLIGHT -> handedOver++;
          case ENDING -> ending++;
          default -> throw new AssertionError(message.stage);
        }
      }
    }
    int scheduled = delayed.isScheduled() ? delayed.size() : 0;
    return idle
        + Math.max(0, waitingForTime - scheduled)
        + Math.max(0, handedOver - heldByListener)
        + (updatesPending ? 0 : ending);
  }
}
