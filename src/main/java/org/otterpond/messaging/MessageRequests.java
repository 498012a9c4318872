package org.otterpond.messaging;

import java.util.function.Consumer;
import java.util.function.IntFunction;
import org.otterpond.messaging.message.MessageBodyRequest;
import org.otterpond.messaging.message.MessageContent;
import org.otterpond.messaging.message.MessageState;
import org.otterpond.messaging.message.MessageStateRequest;
import org.otterpond.messaging.message.MessageStoreReply;
import org.otterpond.messaging.message.MessageStoreReply.Body;
import org.otterpond.messaging.message.MessageStoreReply.NoSuchMessage;
import org.otterpond.messaging.message.MessageStoreReply.Rejected;
import org.otterpond.messaging.message.MessageStoreReply.State;
import org.otterpond.messaging.message.PutMessageRequest;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.storage.SegmentStore;

/** Serves what edge nodes ask: to accept a message, and for the state or body of one. */
final class MessageRequests {
  private static final int MAX_QUEUED_UPDATES = 2_000;

  private final IntFunction<PartitionReplica> partitions;
  private final SegmentStore storage;

  /**
   * Creates the service.
   *
   * @param partitions returns the replica of a partition here, or null
   */
  MessageRequests(IntFunction<PartitionReplica> partitions, SegmentStore storage) {
    this.partitions = partitions;
    this.storage = storage;
  }

  /**
   * Accepts a message. A rejection says that the message was not stored by this request.
   *
   * @throws ProtocolException if the message lacks a required field
   */
  void put(PutMessageRequest request, Consumer<MessageStoreReply> reply) throws ProtocolException {
    PartitionReplica partition = partitions.apply(request.group());
    if (partition == null || !partition.primary()) {
      reply.accept(new Rejected(Rejected.NOT_PRIMARY));
    } else if (!partition.serving()) {
      reply.accept(new Rejected(Rejected.NOT_SERVING));
    } else if (storage.nearlyFull() || partition.group().queuedUpdates() > MAX_QUEUED_UPDATES) {
      reply.accept(new Rejected(Rejected.FULL));
    } else {
      partition.pendingWrites().write(request.message(), request.entry(), reply);
    }
  }

  void state(MessageStateRequest request, Consumer<MessageStoreReply> reply) {
    Message message = find(request.group(), request.id(), request.tenant(), reply);
    if (message != null) {
      reply.accept(new State(message.state, message.serverSeal));
    }
  }

  void body(MessageBodyRequest request, Consumer<MessageStoreReply> reply) {
    Message message = find(request.group(), request.id(), request.tenant(), reply);
    if (message == null) {
      return;
    }
    if (message.state == MessageState.COMPLETED) {
      reply.accept(new NoSuchMessage());
      return;
    }
    partitions
        .apply(request.group())
        .messages()
        .whole(message, content -> reply.accept(bodyReply(content)));
  }

  private static MessageStoreReply bodyReply(MessageContent content) {
    return content == null ? new Rejected(Rejected.UNREADABLE) : new Body(content.body());
  }

  /**
   * Returns a message of the tenant, or null after replying that there is none here. The end of a
   * message is not shown while too few replicas hold it.
   */
  private Message find(int group, String id, String tenant, Consumer<MessageStoreReply> reply) {
    PartitionReplica partition = partitions.apply(group);
    if (partition == null || !partition.serving()) {
      reply.accept(new Rejected(Rejected.NOT_PRIMARY));
      return null;
    }
    Message message = partition.messages().get(id);
    if (message == null || !sameTenant(message, tenant)) {
      reply.accept(new NoSuchMessage());
      return null;
    }
    if (!message.queued() && !partition.group().mayAcknowledge()) {
      reply.accept(new Rejected(Rejected.NOT_SERVING));
      return null;
    }
    return message;
  }

  private static boolean sameTenant(Message message, String tenant) {
    return message.tenant() == null ? tenant == null : message.tenant().equals(tenant);
  }
}
