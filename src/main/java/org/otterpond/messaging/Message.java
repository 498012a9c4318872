package org.otterpond.messaging;

import org.otterpond.messaging.message.AcceptedMessage;
import org.otterpond.messaging.message.EndedMessage;
import org.otterpond.messaging.message.MessageContent;
import org.otterpond.messaging.message.MessageDestination;
import org.otterpond.messaging.message.MessageKeys;
import org.otterpond.messaging.message.MessageProgress;
import org.otterpond.messaging.message.MessageSnapshot;
import org.otterpond.messaging.message.MessageState;

/** One message in the index in memory; its content is on the disk. Times are in microseconds. */
public final class Message {
  /** The position of a message whose content is not on this disk. */
  static final long NO_POSITION = -1;

  private final MessageKeys keys;
  private final MessageDestination destination;

  /** The serial number of its acceptance in the partition. */
  long serial;

  long dueAtMicros;
  long retainUntilMicros;
  MessageState state = MessageState.QUEUED;
  int attempts;
  String serverSeal;
  long endedAtMicros;

  /** Where the content begins in the segmented log. */
  long position = NO_POSITION;

  /** The content, while there is room for it in memory. */
  MessageContent cachedContent;

  /** Where it is on its way to a worker; changed by {@link DeliveryStages} only. */
  DeliveryStage stage = DeliveryStage.IDLE;

  /** How often it has been offered for delivery; tells an earlier offer from the present one. */
  long offers;

  private Message(MessageKeys keys, MessageDestination destination) {
    this.keys = keys;
    this.destination = destination;
  }

  /** Creates the message that was accepted with a serial number and stored at a position. */
  static Message accepted(AcceptedMessage entry, long serial, long position, long writtenAtMicros) {
    Message message = new Message(entry.keys(), entry.destination());
    message.serial = serial;
    message.position = position;
    message.dueAtMicros = writtenAtMicros + entry.delayMicros();
    message.retainUntilMicros = writtenAtMicros + entry.retentionMicros();
    return message;
  }

  /** Creates a message of which only the end is known. */
  static Message ended(EndedMessage entry, long writtenAtMicros) {
    Message message = new Message(entry.keys(), entry.destination());
    message.dueAtMicros = writtenAtMicros;
    message.retainUntilMicros = writtenAtMicros;
    message.state = entry.state();
    message.serverSeal = entry.serverSeal();
    message.endedAtMicros = writtenAtMicros;
    return message;
  }

  /** Creates the message of a snapshot that was stored at a position. */
  static Message restored(MessageSnapshot snapshot, long position, long writtenAtMicros) {
    MessageProgress progress = snapshot.progress();
    Message message = new Message(snapshot.keys(), snapshot.destination());
    message.serial = progress.serial();
    message.dueAtMicros = writtenAtMicros + progress.delayMicros();
    message.retainUntilMicros = writtenAtMicros + progress.retentionMicros();
    message.state = progress.state();
    message.attempts = progress.attempts();
    message.serverSeal = progress.serverSeal();
    message.endedAtMicros = writtenAtMicros - progress.endedForMicros();
    message.position = snapshot.content() == null ? NO_POSITION : position;
    return message;
  }

  /** Returns the message as it goes to another replica; the content may be null. */
  MessageSnapshot snapshot(MessageContent content, long nowMicros) {
    MessageProgress progress =
        new MessageProgress(
            serial,
            Math.max(0, dueAtMicros - nowMicros),
            Math.max(0, retainUntilMicros - nowMicros),
            state,
            attempts,
            serverSeal,
            nowMicros - endedAtMicros);
    return new MessageSnapshot(keys, destination, progress, content);
  }

  /** Returns whether a snapshot was made of this message in the same state. */
  boolean matches(MessageProgress progress) {
    return serial == progress.serial() && state == progress.state();
  }

  MessageKeys keys() {
    return keys;
  }

  MessageDestination destination() {
    return destination;
  }

  /** Returns its unique id. */
  public String id() {
    return keys.id();
  }

  /** Returns the tenant that submitted it, or null. */
  public String tenant() {
    return keys.tenant();
  }

  /** Returns the host that the client named. */
  public String host() {
    return destination.host();
  }

  /** Returns the request target without its query. */
  public String path() {
    return destination.path();
  }

  /** Returns the request target. */
  public String target() {
    return destination.target();
  }

  /** Returns the configuration under which it was accepted; an older one may lack its route. */
  public long revision() {
    return destination.revision();
  }

  /** Returns the number of failed attempts. */
  public int attempts() {
    return attempts;
  }

  /** Returns what has become of it. */
  public MessageState state() {
    return state;
  }

  boolean queued() {
    return state == MessageState.QUEUED;
  }

  boolean ordered() {
    return keys.orderingKey() != null;
  }
}
