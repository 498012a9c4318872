package org.otterpond.messaging;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.otterpond.control.agent.ControlPlaneAgent;
import org.otterpond.messaging.message.EndedMessage;
import org.otterpond.messaging.message.FailedAttempt;
import org.otterpond.messaging.message.GroupBeacon;
import org.otterpond.messaging.message.GroupBeaconReply;
import org.otterpond.messaging.message.MessageBodyRequest;
import org.otterpond.messaging.message.MessageState;
import org.otterpond.messaging.message.MessageStateRequest;
import org.otterpond.messaging.message.MessageStoreReply;
import org.otterpond.messaging.message.PutMessageRequest;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;
import org.otterpond.replication.GroupConfiguration;
import org.otterpond.replication.ReplicaGroupTimeouts;
import org.otterpond.replication.UpdateListener;
import org.otterpond.runtime.NodeRuntime;
import org.otterpond.storage.SegmentStore;

/**
 * The message partitions of one machine: their replicas, one segmented log, and the messages of
 * other nodes to them. All calls are made on the owner thread.
 */
public final class MessageStore {
  private static final String PARTITION_KEY_PREFIX = "partition:";
  private static final String GROUP = "group";
  private static final String GROUP_KIND_PREFIX = "g.";
  private static final long EXPIRY_INTERVAL_MICROS = 500_000;
  private static final long CLEANING_INTERVAL_MICROS = 5_000_000;
  private static final long STRANDED_CHECK_INTERVAL_MICROS = 2_000_000;
  private static final int TICKS_PER_BEACON = 3;
  private static final int MICROS_PER_MILLI = 1_000;

  private final NodeRuntime runtime;
  private final String member;
  private final TimestampedSegmentStore storage;
  private final MessageStoreSettings settings;
  private final MessagePartition.Resources resources;
  private final Map<Integer, PartitionReplica> partitions = new TreeMap<>();
  private final PartitionReplica.Host host = new ReplicaHost();
  private final GroupBeacons beacons = new GroupBeacons(host, partitions::get);
  private final MessageRequests requests;
  private final SegmentCleaner cleaner;
  private final StrandedMessageMonitor strandedMessages;
  private final Map<String, PeerMessageHandler> handlers = handlers();
  private ControlPlaneAgent agent;
  private long beaconAtMicros;
  private long expiryAtMicros;
  private long cleaningAtMicros;
  private long strandedCheckAtMicros;

  /** Handles the messages of one kind. */
  @FunctionalInterface
  private interface PeerMessageHandler {
    void handle(String from, WireRecord encoded, Consumer<MessageStoreReply> reply)
        throws ProtocolException;
  }

  /**
   * Creates a store without partitions.
   *
   * @param member the name of this machine as a member of groups, by its disk and address
   * @param delivery gets the messages that may be delivered
   */
  public MessageStore(
      NodeRuntime runtime,
      String member,
      SegmentStore storage,
      MessageStoreSettings settings,
      DeliveryListener delivery) {
    this.runtime = runtime;
    this.member = member;
    this.storage = new TimestampedSegmentStore(storage, runtime);
    this.settings = settings;
    this.resources =
        new MessagePartition.Resources(
            this.storage,
            delivery,
            new MessageBodyCache(settings.cacheBytes()),
            settings.endedRetentionMicros());
    this.requests = new MessageRequests(partitions::get, this.storage);
    this.cleaner = new SegmentCleaner(runtime, this.storage, settings.segmentRetentionMicros());
    this.strandedMessages = new StrandedMessageMonitor(runtime, delivery);
  }

  private final class ReplicaHost implements PartitionReplica.Host {
    @Override
    public NodeRuntime runtime() {
      return runtime;
    }

    @Override
    public ControlPlaneAgent agent() {
      return agent;
    }

    @Override
    public SegmentStore storage() {
      return storage;
    }

    @Override
    public String member() {
      return member;
    }

    @Override
    public ReplicaGroupTimeouts timeouts() {
      return settings.times();
    }
  }

  private Map<String, PeerMessageHandler> handlers() {
    return Map.of(
        GroupBeacon.KIND,
        (from, encoded, reply) -> beacons.received(from, GroupBeacon.of(encoded)),
        GroupBeaconReply.KIND,
        (from, encoded, reply) -> beacons.acknowledged(GroupBeaconReply.of(encoded)),
        PutMessageRequest.KIND,
        (from, encoded, reply) -> requests.put(PutMessageRequest.of(encoded), reply),
        MessageStateRequest.KIND,
        (from, encoded, reply) -> requests.state(MessageStateRequest.of(encoded), reply),
        MessageBodyRequest.KIND,
        (from, encoded, reply) -> requests.body(MessageBodyRequest.of(encoded), reply));
  }

  /** Sets the access to the control plane; to be called once, before the start. */
  public void fit(ControlPlaneAgent controlPlaneAgent) {
    agent = controlPlaneAgent;
  }

  private PartitionReplica partition(int id) {
    return partitions.computeIfAbsent(id, key -> new PartitionReplica(key, host, resources));
  }

  // Start.

  /** Takes in one record of the log; to be called for each in their order, before the start. */
  public void replay(WireRecord logRecord, long position) {
    if (logRecord.kind().equals(LogTimestamp.KIND)) {
      storage.replay(logRecord);
    } else if (logRecord.has(GROUP)) {
      partition((int) logRecord.number(GROUP))
          .group()
          .replay(logRecord, position, storage.replayedAtMicros());
    }
  }

  /** Begins to work after the replay. */
  public void start() {
    partitions.values().forEach(partition -> partition.group().replayed());
    tick();
  }

  /** Returns what a new segment must begin with, so that older ones can be dropped. */
  public List<WireRecord> segmentHead() {
    List<WireRecord> head = new ArrayList<>();
    head.add(LogTimestamp.now(runtime).toWireRecord());
    head.addAll(groupHeaders());
    return head;
  }

  /** Returns the header of each group that this machine has completely. */
  List<WireRecord> groupHeaders() {
    List<WireRecord> head = new ArrayList<>();
    for (PartitionReplica partition : partitions.values()) {
      WireRecord groupState = partition.group().meta();
      if (groupState != null) {
        head.add(groupState);
      }
    }
    return head;
  }

  private void tick() {
    long now = runtime.now();
    long beaconMicros = settings.times().beacon();
    if (now - beaconAtMicros >= beaconMicros) {
      beaconAtMicros = now;
      beacons.send(partitions.values());
    }
    new ArrayList<>(partitions.values()).forEach(partition -> partition.group().tick());
    if (now - expiryAtMicros > EXPIRY_INTERVAL_MICROS) {
      expiryAtMicros = now;
      partitions.values().forEach(partition -> expire(partition.messages(), now));
    }
    if (now - cleaningAtMicros > CLEANING_INTERVAL_MICROS) {
      cleaningAtMicros = now;
      cleaner.clean(partitions.values());
    }
    if (now - strandedCheckAtMicros > STRANDED_CHECK_INTERVAL_MICROS) {
      strandedCheckAtMicros = now;
      strandedMessages.check(partitions.values());
    }
    runtime.after(beaconMicros / TICKS_PER_BEACON, this::tick);
  }

  private void expire(MessagePartition messages, long now) {
    for (Message message : messages.expire(now)) {
      ended(messages, message, MessageState.DEAD_LETTER, null);
    }
  }

  // What the control plane and other nodes report.

  /** Takes in an assignment of the control plane; those about other things are ignored. */
  public void assigned(WireRecord entry) {
    if (!entry.text("key").startsWith(PARTITION_KEY_PREFIX)) {
      return;
    }
    GroupConfiguration configuration = GroupConfiguration.of(entry);
    int group = configuration.group();
    if (configuration.has(member) || partitions.containsKey(group)) {
      PartitionReplica partition = partition(group);
      partition.group().learn(configuration);
      if (!partition.group().isInvolved()) {
        partitions.remove(group);
      }
    }
  }

  /** The connection to a node was closed. */
  public void peerLost(String address) {
    partitions.values().forEach(partition -> partition.group().peerLost(address));
  }

  /** Takes a message of another node; returns false if it is not for the message store. */
  public boolean message(String from, WireRecord encoded, Consumer<WireRecord> reply) {
    PeerMessageHandler handler = handlers.get(encoded.kind());
    if (handler != null) {
      try {
        handler.handle(from, encoded, typed -> reply.accept(typed.toWireRecord()));
      } catch (ProtocolException e) {
        runtime.event("event=malformed_message from=" + from + " cause=\"" + e.getMessage() + "\"");
      }
      return true;
    }
    if (!encoded.kind().startsWith(GROUP_KIND_PREFIX)) {
      return false;
    }
    groupMessage(from, encoded);
    return true;
  }

  /** A message for the disk that this machine had before is dropped. */
  private void groupMessage(String from, WireRecord encoded) {
    if (member.equals(encoded.text("to"))) {
      int id = (int) encoded.number(GROUP);
      if (partitions.containsKey(id) || encoded.has("view")) {
        partition(id).group().onMessage(from, encoded);
      }
    }
  }

  // Outcomes of deliveries.

  private PartitionReplica replicaOf(MessagePartition messages) {
    for (PartitionReplica partition : partitions.values()) {
      if (partition.messages() == messages) {
        return partition;
      }
    }
    return null;
  }

  /**
   * Replicates the end of a message; the next of its ordering key is offered once that is
   * committed.
   *
   * @param serverSeal the seal of the worker that executed it, or null
   */
  public void ended(
      MessagePartition messages, Message message, MessageState state, String serverSeal) {
    PartitionReplica partition = replicaOf(messages);
    if (partition == null || !messages.delivery().beginEnd(message)) {
      return;
    }
    EndedMessage entry = new EndedMessage(message.keys(), state, serverSeal, message.destination());
    partition.group().update(entry.toWireRecord(), false, new EndListener(messages, message));
  }

  /** An end that was not committed leaves the message queued, to be offered again. */
  private record EndListener(MessagePartition messages, Message message) implements UpdateListener {
    @Override
    public void committed() {
      // The entry has been applied.
    }

    @Override
    public void rejected() {
      messages.delivery().endFailed(message);
    }

    @Override
    public void undecided() {
      messages.delivery().endFailed(message);
    }
  }

  /** Counts a failed attempt, on all replicas. */
  public void attemptFailed(MessagePartition messages, Message message) {
    PartitionReplica partition = replicaOf(messages);
    message.attempts++;
    if (partition != null && messages.get(message.id()) == message) {
      FailedAttempt entry = new FailedAttempt(message.id(), message.attempts);
      partition.group().update(entry.toWireRecord(), false, UpdateListener.NONE);
    }
  }

  // Shutdown and status.

  /** Hands the partitions that this machine leads to others. */
  public void retire() {
    partitions.values().forEach(partition -> partition.group().handOver());
  }

  /** Returns whether this machine leads no partition any more that another could lead. */
  public boolean isDrained() {
    for (PartitionReplica partition : partitions.values()) {
      if (partition.primary() && !partition.group().view().secondaries().isEmpty()) {
        return false;
      }
    }
    return true;
  }

  /** Returns whether this machine serves a partition at this moment. */
  public boolean serves(int partition) {
    PartitionReplica replica = partitions.get(partition);
    return replica != null && replica.serving();
  }

  /** Returns the state of a partition's group in one line; null if there is no replica here. */
  public String describe(int partition) {
    PartitionReplica replica = partitions.get(partition);
    return replica == null ? null : replica.group().toString();
  }

  /**
   * Returns what this machine reports of itself, by field name: partitions led and held, messages
   * queued and dead in those that it serves, how many of the queued ones nothing will move on (0
   * unless the program is at fault), and how long the oldest has waited, in milliseconds.
   */
  public Map<String, Long> figures() {
    long now = runtime.now();
    long led = 0;
    long queued = 0;
    long dead = 0;
    long oldestMicros = 0;
    for (PartitionReplica partition : partitions.values()) {
      if (partition.messages().serving()) {
        MessageIndex index = partition.messages().index();
        led++;
        queued += index.queuedCount();
        dead += index.deadCount();
        oldestMicros = Math.max(oldestMicros, index.oldestWaitMicros(now));
      }
    }
    Map<String, Long> figures = new LinkedHashMap<>();
    figures.put("led", led);
    figures.put("held", (long) partitions.size());
    figures.put("queued", queued);
    figures.put("dead", dead);
    figures.put("stranded", strandedMessages.stranded());
    figures.put("oldest_ms", oldestMicros / MICROS_PER_MILLI);
    return figures;
  }
}
