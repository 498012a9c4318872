package org.otterpond.messaging;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.otterpond.messaging.message.AcceptedMessage;
import org.otterpond.messaging.message.EndedMessage;
import org.otterpond.messaging.message.FailedAttempt;
import org.otterpond.messaging.message.MessageContent;
import org.otterpond.messaging.message.MessageEntry;
import org.otterpond.messaging.message.MessageSnapshot;
import org.otterpond.messaging.message.MessageState;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;
import org.otterpond.replication.ReplicaGroupRuntime;
import org.otterpond.replication.StateMachine;
import org.otterpond.storage.RecordReader;

/**
 * The messages of one partition: which there are, in what order they may be delivered, what has
 * become of them. Replicated by the partition's group; only the primary's replica offers messages
 * for delivery.
 */
public final class MessagePartition implements StateMachine {
  private static final String ENTRY = "entry";
  private static final String SNAPSHOT = "piece";

  private final ReplicaGroupRuntime runtime;
  private final Resources resources;
  private final MessageIndex index = new MessageIndex();
  private final OrderedMessages ordered = new OrderedMessages();
  private final DeliveryStages delivery;

  /** During a refresh: the messages of the state before that nothing has replaced yet. */
  private final Set<Message> outdated = new HashSet<>();

  /**
   * What the partitions of one machine share.
   *
   * @param records reads the content of messages from the disk
   * @param delivery gets the messages that may be delivered
   * @param cache keeps the content of new messages
   * @param endedRetentionMicros how long a message that has ended stays in the index
   */
  record Resources(
      RecordReader records,
      DeliveryListener delivery,
      MessageBodyCache cache,
      long endedRetentionMicros) {}

  MessagePartition(ReplicaGroupRuntime runtime, Resources resources, BooleanSupplier leaseValid) {
    this.runtime = runtime;
    this.resources = resources;
    this.delivery = new DeliveryStages(this, runtime, resources.delivery(), leaseValid);
  }

  /** Returns the message with an id, or null. */
  public Message get(String id) {
    return index.get(id);
  }

  /** Returns the index, to be read only. */
  MessageIndex index() {
    return index;
  }

  /** Returns the queued messages with an ordering key, to be read only. */
  OrderedMessages orderedMessages() {
    return ordered;
  }

  /** Returns the stages of the delivery. */
  DeliveryStages delivery() {
    return delivery;
  }

  // Entries that the group has committed.

  @Override
  public void apply(WireRecord encoded, long serial, long position, long writtenAtMicros) {
    MessageEntry entry;
    try {
      entry = MessageEntry.of(encoded);
    } catch (ProtocolException e) {
      runtime.event("event=message_entry_unknown cause=\"" + e.getMessage() + "\"");
      return;
    }
    if (entry instanceof AcceptedMessage accepted) {
      accept(accepted, serial, position, writtenAtMicros);
    } else if (entry instanceof FailedAttempt failed) {
      countAttempts(index.get(failed.id()), failed.attempts());
    } else if (entry instanceof EndedMessage ended) {
      end(ended, writtenAtMicros);
    }
  }

  private void accept(AcceptedMessage entry, long serial, long position, long writtenAtMicros) {
    Message known = index.get(entry.keys().id());
    if (known != null && !outdated.remove(known)) {
      return;
    }
    if (known != null) {
      remove(known);
    }
    Message message = Message.accepted(entry, serial, position, writtenAtMicros);
    add(message);
    if (delivery.isActive()) {
      resources.cache().put(message, entry.content());
      delivery.offer(message);
    }
  }

  private void add(Message message) {
    index.add(message);
    if (message.queued() && message.ordered()) {
      ordered.add(message);
    }
  }

  private void remove(Message message) {
    if (index.remove(message)) {
      resources.cache().remove(message);
      if (message.queued() && message.ordered()) {
        ordered.removeAndPeek(message);
      }
    }
  }

  private static void countAttempts(Message message, int attempts) {
    if (message != null) {
      message.attempts = Math.max(message.attempts, attempts);
    }
  }

  private void end(EndedMessage entry, long writtenAtMicros) {
    Message message = index.get(entry.keys().id());
    if (message == null) {
      add(Message.ended(entry, writtenAtMicros));
      return;
    }
    boolean superseded = outdated.remove(message) && message.state != entry.state();
    if (superseded && !message.queued()) {
      // The end that was known before the refresh was never acknowledged.
      index.remove(message);
      message.state = MessageState.QUEUED;
      index.add(message);
    }
    if (!message.queued()) {
      return;
    }
    message.state = entry.state();
    message.serverSeal = entry.serverSeal();
    message.endedAtMicros = writtenAtMicros;
    index.ended(message);
    delivery.ended(message);
    if (message.state == MessageState.COMPLETED) {
      resources.cache().remove(message);
    }
    if (message.ordered()) {
      offerNext(message);
    }
  }

  private void offerNext(Message ended) {
    Message next = ordered.removeAndPeek(ended);
    if (next != null) {
      delivery.offer(next);
    }
  }

  // Delivery.

  /** Notes that the listener has begun an attempt to deliver a message. */
  public void deliveryBegan(Message message) {
    delivery.began(message);
  }

  /** Takes a message back from the delivery; it is offered again after a pause. */
  public void later(Message message, long pauseMicros) {
    delivery.later(message, pauseMicros);
  }

  /**
   * Returns whether deliveries may begin at this moment. To be called anew each time, as a lease
   * may just have expired.
   */
  public boolean serving() {
    return delivery.isServing();
  }

  @Override
  public void serving(boolean nowServing) {
    delivery.setActive(nowServing);
  }

  /** Reads the content of a message from memory or from the disk; null if it cannot be read. */
  public void whole(Message message, Consumer<MessageContent> use) {
    if (message.cachedContent != null) {
      use.accept(message.cachedContent);
    } else if (message.position < 0) {
      use.accept(null);
    } else {
      resources.records().read(message.position, stored -> use.accept(contentOf(stored)));
    }
  }

  /** A content is stored as an entry of the group, or in a snapshot. */
  private MessageContent contentOf(WireRecord stored) {
    if (stored == null) {
      return null;
    }
    try {
      return MessageContent.of(stored.requiredNested(stored.has(ENTRY) ? ENTRY : SNAPSHOT));
    } catch (ProtocolException e) {
      runtime.event("event=message_unreadable cause=\"" + e.getMessage() + "\"");
      return null;
    }
  }

  @Override
  public void quiesce(Runnable done) {
    resources.delivery().stop(this, done);
  }

  // Retention.

  /** Removes messages that ended long ago; returns the queued ones whose retention is over. */
  List<Message> expire(long nowMicros) {
    index
        .removeEndedBefore(nowMicros - resources.endedRetentionMicros())
        .forEach(resources.cache()::remove);
    return delivery.expired(nowMicros);
  }

  // Snapshots.

  @Override
  public void clear() {
    index.all().forEach(resources.cache()::remove);
    index.clear();
    ordered.clear();
    delivery.clear();
    outdated.clear();
  }

  @Override
  public void beginRefresh() {
    outdated.clear();
    outdated.addAll(index.all());
  }

  @Override
  public void finishRefresh() {
    outdated.forEach(this::remove);
    outdated.clear();
  }

  @Override
  public void cancelRefresh() {
    outdated.clear();
  }

  @Override
  public void export(Consumer<WireRecord> snapshots) {
    export(new ArrayList<>(index.all()).iterator(), snapshots);
  }

  private void export(Iterator<Message> rest, Consumer<WireRecord> snapshots) {
    while (rest.hasNext()) {
      Message message = rest.next();
      if (message.state == MessageState.COMPLETED || message.position < 0) {
        snapshots.accept(encodedSnapshot(message, null));
      } else if (message.cachedContent != null) {
        snapshots.accept(encodedSnapshot(message, message.cachedContent));
      } else {
        whole(message, content -> exportRead(message, content, rest, snapshots));
        return;
      }
    }
    snapshots.accept(null);
  }

  private void exportRead(
      Message message,
      MessageContent content,
      Iterator<Message> rest,
      Consumer<WireRecord> snapshots) {
    if (content == null) {
      // Without the message the copy would be incomplete: it is never ended, so the candidate times
      // out and asks elsewhere.
      runtime.event("event=message_unreadable id=" + message.id());
      return;
    }
    snapshots.accept(encodedSnapshot(message, content));
    export(rest, snapshots);
  }

  private WireRecord encodedSnapshot(Message message, MessageContent content) {
    return message.snapshot(content, runtime.now()).toWireRecord();
  }

  @Override
  public void load(WireRecord encoded, long position, long writtenAtMicros) {
    MessageSnapshot snapshot;
    try {
      snapshot = MessageSnapshot.of(encoded);
    } catch (ProtocolException e) {
      runtime.event("event=message_entry_unknown cause=\"" + e.getMessage() + "\"");
      return;
    }
    Message known = index.get(snapshot.keys().id());
    if (known != null && outdated.remove(known) && !known.matches(snapshot.progress())) {
      remove(known);
      known = null;
    }
    if (known == null) {
      add(Message.restored(snapshot, position, writtenAtMicros));
      return;
    }
    countAttempts(known, snapshot.progress().attempts());
    if (snapshot.content() != null) {
      // The same message, further on in the log.
      known.position = position;
    }
  }

  /** Returns the messages whose content is stored before a position and still needed. */
  List<Message> storedBefore(long position) {
    List<Message> stored = new ArrayList<>();
    for (Message message : index.all()) {
      if (message.state != MessageState.COMPLETED
          && message.position >= 0
          && message.position < position) {
        stored.add(message);
      }
    }
    return stored;
  }
}
