package org.otterpond.messaging;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.otterpond.messaging.message.AcceptedMessage;
import org.otterpond.messaging.message.MessageKeys;
import org.otterpond.messaging.message.MessageStoreReply;
import org.otterpond.messaging.message.MessageStoreReply.Accepted;
import org.otterpond.messaging.message.MessageStoreReply.Rejected;
import org.otterpond.protocol.WireRecord;
import org.otterpond.replication.ReplicaGroup;
import org.otterpond.replication.UpdateListener;

/**
 * The messages of one partition that are being replicated. A repeat of one of them, or of its
 * operation, waits for the first and gets its id.
 */
final class PendingWrites {
  private final MessagePartition messages;
  private final ReplicaGroup group;

  /** The id of the first pending message of an operation. */
  private final Map<String, String> idByOperation = new HashMap<>();

  /** Who waits for a pending message, by its id. */
  private final Map<String, List<Consumer<Boolean>>> waitersById = new HashMap<>();

  PendingWrites(MessagePartition messages, ReplicaGroup group) {
    this.messages = messages;
    this.group = group;
  }

  /**
   * Replicates a message unless it or one of its operation is there already.
   *
   * @param entry the message as it was received
   * @param reply gets {@link Accepted} once all replicas have it, or {@link Rejected}
   */
  void write(AcceptedMessage message, WireRecord entry, Consumer<MessageStoreReply> reply) {
    MessageKeys keys = message.keys();
    String operation = keys.scopedOperationKey();
    Message stored = operation == null ? null : messages.index().ofOperation(operation);
    if (stored != null || messages.get(keys.id()) != null) {
      String storedId = stored != null ? stored.id() : keys.id();
      group.awaitFullReplication(new RepeatListener(storedId, reply));
      return;
    }
    String first = operation == null ? null : idByOperation.get(operation);
    String id = first != null ? first : keys.id();
    Consumer<Boolean> waiter =
        committed ->
            reply.accept(committed ? new Accepted(id) : new Rejected(Rejected.PRIMARY_CHANGED));
    List<Consumer<Boolean>> waiters = waitersById.get(id);
    if (waiters != null) {
      waiters.add(waiter);
    } else {
      replicate(keys.id(), operation, entry, waiter);
    }
  }

  private void replicate(String id, String operation, WireRecord entry, Consumer<Boolean> waiter) {
    List<Consumer<Boolean>> waiters = new ArrayList<>(List.of(waiter));
    waitersById.put(id, waiters);
    if (operation != null) {
      idByOperation.put(operation, id);
    }
    group.update(entry, true, new WriteListener(id, operation, waiters));
  }

  /**
   * Answers the repeat of a stored message. If the outcome stays open nobody is answered, as a
   * rejection would promise that the message is not stored.
   */
  private record RepeatListener(String storedId, Consumer<MessageStoreReply> reply)
      implements UpdateListener {
    @Override
    public void committed() {
      reply.accept(new Accepted(storedId));
    }

    @Override
    public void rejected() {
      // Nothing was submitted.
    }

    @Override
    public void undecided() {
      // The node that waits asks the next primary.
    }
  }

  /** Ends a pending write and answers all that wait for it, as far as its outcome is known. */
  private final class WriteListener implements UpdateListener {
    private final String id;
    private final String operation;
    private final List<Consumer<Boolean>> waiters;

    WriteListener(String id, String operation, List<Consumer<Boolean>> waiters) {
      this.id = id;
      this.operation = operation;
      this.waiters = waiters;
    }

    @Override
    public void committed() {
      remove();
      waiters.forEach(waiter -> waiter.accept(true));
    }

    @Override
    public void rejected() {
      remove();
      waiters.forEach(waiter -> waiter.accept(false));
    }

    /**
     * Answers nobody, as a rejection would promise that the message is not stored: the nodes that
     * wait ask the next primary when their time is over.
     */
    @Override
    public void undecided() {
      remove();
    }

    private void remove() {
      waitersById.remove(id, waiters);
      if (operation != null) {
        idByOperation.remove(operation, id);
      }
    }
  }
}
