package org.otterpond.messaging;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.otterpond.control.epoch.ManualRuntime;
import org.otterpond.messaging.message.AcceptedMessage;
import org.otterpond.messaging.message.MessageDestination;
import org.otterpond.messaging.message.MessageKeys;
import org.otterpond.messaging.message.MessageState;
import org.otterpond.messaging.message.MessageStoreReply;
import org.otterpond.messaging.message.PutMessageRequest;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;
import org.otterpond.replication.GroupConfiguration;
import org.otterpond.replication.PreparedMessage;
import org.otterpond.replication.ReconcileMessage;
import org.otterpond.replication.ReplicaGroupTimeouts;
import org.otterpond.storage.SegmentedLog;

/**
 * Guards against operation keys that stay held, and messages that stay queued, after a primary's
 * role has ended between the preparation of an entry and its commit.
 */
class InterruptedWritesTest {
  private static final int GROUP = 0;
  private static final String ADDRESS = "10.2.0.1:7600";
  private static final String MEMBER = GroupConfiguration.member("d1", ADDRESS);
  private static final String OTHER = GroupConfiguration.member("d2", "10.2.0.2:7600");
  private static final long RETENTION_MICROS = 600_000_000;

  @TempDir private Path directory;

  private final ManualRuntime runtime = new ManualRuntime();
  private final List<Message> offered = new ArrayList<>();
  private final Map<Integer, MessagePartition> partitions = new HashMap<>();
  private final List<WireRecord> replies = new ArrayList<>();
  private MessageStore store;

  private void collect(MessagePartition partition, Message message) {
    offered.add(message);
    partitions.put(GROUP, partition);
  }

  @BeforeEach
  void becomePrimary() throws Exception {
    SegmentedLog log = new SegmentedLog(directory);
    log.open((logRecord, position) -> {});
    log.begin(List.of());
    store =
        new MessageStore(
            runtime,
            MEMBER,
            new InMemorySegmentStore(log, runtime),
            new MessageStoreSettings(
                RETENTION_MICROS, RETENTION_MICROS, 1 << 20, ReplicaGroupTimeouts.standard()),
            new OfferCollector(this::collect));
    store.fit(AgentWithoutCore.create(runtime, ADDRESS, "d1"));
    store.start();
    install(1, MEMBER);
    acknowledge(1, 0);
  }

  /** Installs a version of the configuration; the other member is its secondary or its primary. */
  private void install(long version, String primary) {
    List<String> members = List.of(MEMBER, OTHER);
    List<String> secondaries = members.stream().filter(member -> !member.equals(primary)).toList();
    GroupConfiguration configuration =
        new GroupConfiguration(GROUP, version, primary, secondaries, members);
    store.assigned(configuration.toWireRecord("assign").with("key", "partition:" + GROUP));
    runtime.run(1_000);
  }

  /** The other member has all entries up to a serial number. */
  private void acknowledge(long version, long serial) {
    PreparedMessage message =
        new PreparedMessage(GROUP, version, OTHER, serial, OptionalLong.empty(), false);
    store.message(
        GroupConfiguration.addressOf(OTHER), message.toWireRecord().with("to", MEMBER), r -> {});
    runtime.run(1_000);
  }

  private void put(String id, String operationKey, Consumer<WireRecord> reply) {
    AcceptedMessage message =
        new AcceptedMessage(
            new MessageKeys(id, "tenant", null, operationKey),
            new MessageDestination("host", "/x", 1),
            Messages.content(1),
            0,
            RETENTION_MICROS);
    store.message("10.3.0.1:7600", PutMessageRequest.of(GROUP, message).toWireRecord(), reply);
    runtime.run(1_000);
  }

  @Test
  void givenWriteWasInterruptedAndIsKept_whenItsKeyIsRepeated_thenTheRepeatGetsTheFirstId()
      throws ProtocolException {
    put("m1", "key", replies::add);
    install(2, OTHER);
    assertEquals(List.of(), replies, "a rejection would promise that the message is not stored");
    install(3, MEMBER);
    acknowledge(3, 1);

    put("m2", "key", replies::add);

    assertEquals(1, replies.size());
    assertEquals(new MessageStoreReply.Accepted("m1"), MessageStoreReply.of(replies.get(0)));
  }

  @Test
  void givenWriteWasInterruptedAndIsLost_whenItsKeyIsRepeated_thenTheRepeatIsStored()
      throws ProtocolException {
    put("m1", "key", replies::add);
    install(2, OTHER);
    replaceEntriesAfter(0);
    install(3, MEMBER);
    acknowledge(3, 0);

    put("m2", "key", replies::add);
    acknowledge(3, 1);

    assertEquals(1, replies.size());
    assertEquals(new MessageStoreReply.Accepted("m2"), MessageStoreReply.of(replies.get(0)));
  }

  @Test
  void givenEndOfMessageWasInterrupted_whenReplicaIsPrimaryAgain_thenTheMessageEndsOrIsOffered() {
    put("m1", null, replies::add);
    acknowledge(1, 1);
    assertEquals(List.of("m1"), offered.stream().map(Message::id).toList());
    final Message message = offered.get(0);

    store.ended(partitions.get(GROUP), message, MessageState.COMPLETED, "seal");
    install(2, OTHER);
    replaceEntriesAfter(1);
    install(3, MEMBER);
    acknowledge(3, 1);

    assertTrue(message.queued());
    assertEquals(List.of("m1", "m1"), offered.stream().map(Message::id).toList());
  }

  /** The other member, as the primary of version 2, has no entries after a committed point. */
  private void replaceEntriesAfter(long committedPoint) {
    GroupConfiguration version2 =
        new GroupConfiguration(GROUP, 2, OTHER, List.of(MEMBER), List.of(MEMBER, OTHER));
    WireRecord reconcile =
        new ReconcileMessage(GROUP, version2, committedPoint, List.of())
            .toWireRecord()
            .with("to", MEMBER);
    store.message(GroupConfiguration.addressOf(OTHER), reconcile, reply -> {});
    runtime.run(1_000);
  }
}
