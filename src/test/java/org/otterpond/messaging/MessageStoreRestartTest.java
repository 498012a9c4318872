package org.otterpond.messaging;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.otterpond.control.epoch.ManualRuntime;
import org.otterpond.messaging.message.MessageState;
import org.otterpond.protocol.Fixtures;
import org.otterpond.protocol.WireRecord;
import org.otterpond.replication.GroupConfiguration;
import org.otterpond.replication.ReplicaGroupTimeouts;
import org.otterpond.storage.SegmentedLog;
import org.otterpond.storage.SegmentedLogWriter;
import org.otterpond.storage.StorageException;

/** Times of messages go on while the process of a store ends and starts again on its segments. */
class MessageStoreRestartTest {
  private static final String DISK = "5c0ffee2";
  private static final String ADDRESS = "10.2.0.1:7600";
  private static final String MEMBER = GroupConfiguration.member(DISK, ADDRESS);
  private static final int GROUP = 0;
  private static final String CLIENT = "10.3.0.1:7600";
  private static final String TENANT = "t";
  private static final long SECOND_MICROS = 1_000_000;
  private static final long STATUS_MICROS = 100 * SECOND_MICROS;
  private static final long KEY_WINDOW_MICROS = 30 * SECOND_MICROS;
  private static final long RETENTION_MICROS = 70 * SECOND_MICROS;

  /** How much later than without restarts: the interval of the timestamps, for each restart. */
  private static final long TOLERANCE_MICROS =
      2 * TimestampedSegmentStore.TIMESTAMP_INTERVAL_MICROS;

  @TempDir private Path directory;

  private final ManualRuntime runtime = new ManualRuntime();
  private final Set<String> offered = new TreeSet<>();
  private long version = 1;
  private SegmentedLog log;
  private InMemorySegmentStore disk;
  private MessageStore store;

  @BeforeEach
  void createEmptyDisk() throws StorageException {
    log = new SegmentedLog(directory);
    log.open((record, position) -> {});
    log.begin(List.of(SegmentedLogWriter.identity(DISK)));
  }

  /** Starts a process that leads its partition alone. */
  private void startProcess(Path segments) throws StorageException {
    offered.clear();
    log = new SegmentedLog(segments);
    disk = new InMemorySegmentStore(log, runtime);
    store =
        new MessageStore(
            runtime,
            MEMBER,
            disk,
            new MessageStoreSettings(
                STATUS_MICROS, KEY_WINDOW_MICROS, 0, ReplicaGroupTimeouts.standard()),
            new OfferCollector((partition, message) -> offered.add(message.id())));
    store.fit(AgentWithoutCore.create(runtime, ADDRESS, DISK));
    log.open(store::replay);
    store.start();
    lead();
  }

  private void lead() {
    GroupConfiguration alone =
        new GroupConfiguration(GROUP, version++, MEMBER, List.of(), List.of(MEMBER));
    store.assigned(alone.toWireRecord("assign").with("key", "partition:" + GROUP));
    runtime.run(TOLERANCE_MICROS / 4);
  }

  private void put(String id, long delayMicros) {
    List<WireRecord> replies = new ArrayList<>();
    WireRecord message =
        new WireRecord("put")
            .with("id", id)
            .with("tenant", TENANT)
            .with("host", "h")
            .with("target", "/m")
            .with("method", "POST")
            .with("headers", List.of())
            .with("body", id.getBytes(StandardCharsets.UTF_8))
            .with("delay", delayMicros)
            .with("keep", RETENTION_MICROS)
            .with("cfg", 1);
    store.message(
        CLIENT,
        new WireRecord("m.put").with("group", GROUP).with("message", message),
        replies::add);
    runtime.run(1_000);
    assertTrue(replies.get(0).has("taken"));
  }

  private WireRecord ask(String kind, String id) {
    List<WireRecord> replies = new ArrayList<>();
    store.message(
        CLIENT,
        new WireRecord(kind).with("group", GROUP).with("id", id).with("tenant", TENANT),
        replies::add);
    return replies.get(0);
  }

  @ParameterizedTest
  @ValueSource(longs = {0, 3 * SECOND_MICROS, -3 * SECOND_MICROS})
  void givenDelay_whenProcessRestartsAndTimeOfDayJumps_thenItGoesOn(long jumpMicros)
      throws StorageException {
    startProcess(directory);
    put("0.delayed", 40 * SECOND_MICROS);
    runtime.run(34 * SECOND_MICROS);
    runtime.jumpTimeOfDay(jumpMicros);
    startProcess(directory);

    runtime.run(5 * SECOND_MICROS);
    assertEquals(Set.of(), offered);
    runtime.run(SECOND_MICROS + TOLERANCE_MICROS);

    assertEquals(Set.of("0.delayed"), offered);
  }

  @Test
  void givenRetention_whenProcessRestarts_thenMessageEndsInItsTime() throws StorageException {
    startProcess(directory);
    put("0.kept", 0);
    runtime.run(50 * SECOND_MICROS);
    startProcess(directory);

    runtime.run(19 * SECOND_MICROS);
    assertEquals(MessageState.QUEUED.name(), ask("m.state", "0.kept").text("state"));
    runtime.run(2 * SECOND_MICROS);

    assertEquals(MessageState.DEAD_LETTER.name(), ask("m.state", "0.kept").text("state"));
  }

  @Test
  void givenEndedMessage_whenProcessRestarts_thenItsEndIsShownForTheStatusTimeOnly()
      throws StorageException {
    startProcess(directory);
    put("0.ended", 0);
    runtime.run(RETENTION_MICROS + SECOND_MICROS);
    startProcess(directory);

    runtime.run(STATUS_MICROS - 5 * SECOND_MICROS);
    assertEquals(MessageState.DEAD_LETTER.name(), ask("m.state", "0.ended").text("state"));
    runtime.run(KEY_WINDOW_MICROS + STATUS_MICROS);

    assertEquals(null, ask("m.state", "0.ended").text("state"));
  }

  @Test
  void givenRewrittenMessage_whenOldSegmentIsGoneAndProcessRestarts_thenDelayGoesOn()
      throws StorageException {
    startProcess(directory);
    put("0.delayed", 40 * SECOND_MICROS);
    log.begin(newSegment());
    runtime.run(20 * SECOND_MICROS);
    disk.oldestMayGo = true;
    runtime.run(6 * SECOND_MICROS);
    disk.oldestMayGo = false;
    assertEquals(2, log.oldest());
    runtime.run(8 * SECOND_MICROS);
    startProcess(directory);

    runtime.run(5 * SECOND_MICROS);
    assertEquals(Set.of(), offered);
    runtime.run(SECOND_MICROS + TOLERANCE_MICROS);

    assertEquals(Set.of("0.delayed"), offered);
  }

  private List<WireRecord> newSegment() {
    List<WireRecord> records = new ArrayList<>();
    records.add(SegmentedLogWriter.identity(DISK));
    records.addAll(store.segmentHead());
    return records;
  }

  @Test
  void givenFolderWithoutTimestamps_whenRead_thenItsMessagesAreServed() throws StorageException {
    version = 2;
    startProcess(Fixtures.copy("23f0e03", "store", directory));

    assertEquals(Set.of("0.due", "0.next"), offered);
    assertEquals(MessageState.COMPLETED.name(), ask("m.state", "0.done").text("state"));
    assertEquals("seal-1", ask("m.state", "0.done").text("seal"));
    runtime.run(40 * SECOND_MICROS);

    assertEquals(Set.of("0.due", "0.next", "0.delayed"), offered);
  }
}
