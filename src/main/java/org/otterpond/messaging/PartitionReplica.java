package org.otterpond.messaging;

import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.otterpond.control.agent.ControlPlaneAgent;
import org.otterpond.control.message.CandidateFailedRequest;
import org.otterpond.control.message.ReconfigureGroupReply;
import org.otterpond.control.message.ReconfigureGroupRequest;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;
import org.otterpond.replication.GroupConfiguration;
import org.otterpond.replication.ReplicaGroup;
import org.otterpond.replication.ReplicaGroupRuntime;
import org.otterpond.replication.ReplicaGroupTimeouts;
import org.otterpond.runtime.NodeRuntime;
import org.otterpond.storage.SegmentStore;

/** This machine's replica of one partition: the group, its messages and their pending writes. */
final class PartitionReplica implements ReplicaGroupRuntime {
  private static final long REQUEST_TIMEOUT_MICROS = 700_000;
  private static final long REQUEST_RESEND_MICROS = 200_000;

  private final int id;
  private final Host host;
  private final MessagePartition messages;
  private final ReplicaGroup group;
  private final PendingWrites pendingWrites;

  /** The machine as its replicas see it. */
  interface Host {
    NodeRuntime runtime();

    ControlPlaneAgent agent();

    SegmentStore storage();

    /** Returns the name of this machine as a member of groups. */
    String member();

    ReplicaGroupTimeouts timeouts();
  }

  PartitionReplica(int id, Host host, MessagePartition.Resources resources) {
    this.id = id;
    this.host = host;
    this.messages = new MessagePartition(this, resources, this::serving);
    this.group = new ReplicaGroup(id, host.member(), this, host.timeouts(), messages);
    this.pendingWrites = new PendingWrites(messages, group);
  }

  int id() {
    return id;
  }

  MessagePartition messages() {
    return messages;
  }

  ReplicaGroup group() {
    return group;
  }

  PendingWrites pendingWrites() {
    return pendingWrites;
  }

  /** Returns whether this machine may serve the partition at this moment. */
  boolean serving() {
    return group.serving();
  }

  /** Returns whether the configuration known here names this machine as the primary. */
  boolean primary() {
    GroupConfiguration configuration = group.view();
    return configuration != null && configuration.primary().equals(host.member());
  }

  @Override
  public long now() {
    return host.runtime().now();
  }

  @Override
  public void send(String member, WireRecord message) {
    host.runtime().send(GroupConfiguration.addressOf(member), message.with("to", member));
  }

  @Override
  public void journal(WireRecord record, LongConsumer done) {
    host.storage().append(record, done);
  }

  @Override
  public void after(long delayMicros, Runnable task) {
    host.runtime().after(delayMicros, task);
  }

  @Override
  public void propose(GroupConfiguration next, Consumer<GroupConfiguration> outcome) {
    host.agent()
        .ask(
            new ReconfigureGroupRequest(next).toWireRecord(),
            REQUEST_TIMEOUT_MICROS,
            REQUEST_RESEND_MICROS,
            reply -> outcome.accept(configurationOf(reply)));
  }

  /** Returns the configuration in force by a reply, or null if the reply does not say. */
  private GroupConfiguration configurationOf(WireRecord reply) {
    try {
      return reply == null ? null : ReconfigureGroupReply.of(reply).configuration();
    } catch (ProtocolException e) {
      event("event=malformed_message from=primary cause=\"" + e.getMessage() + "\"");
      return null;
    }
  }

  @Override
  public void candidateFailed(int ofGroup, String member) {
    host.agent()
        .ask(
            new CandidateFailedRequest(ofGroup, member).toWireRecord(),
            REQUEST_TIMEOUT_MICROS,
            REQUEST_RESEND_MICROS,
            reply -> {});
  }

  @Override
  public void event(String line) {
    host.runtime().event(line);
  }
}
