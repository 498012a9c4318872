package org.otterpond.messaging;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.otterpond.control.epoch.ManualRuntime;
import org.otterpond.protocol.Fixtures;
import org.otterpond.protocol.RecordText;
import org.otterpond.protocol.WireRecord;
import org.otterpond.replication.GroupConfiguration;
import org.otterpond.replication.ReplicaGroupTimeouts;
import org.otterpond.storage.SegmentedLog;
import org.otterpond.storage.StorageException;

/**
 * Segments of a message store that an earlier version wrote hold the same records and make the same
 * messages.
 */
class MessageStoreFixtureTest {
  private static final String DISK = "5c0ffee1";
  private static final String ADDRESS = "10.2.0.1:7600";
  private static final String MEMBER = GroupConfiguration.member(DISK, ADDRESS);
  private static final int GROUPS = 3;
  private static final long STATUS_MICROS = 3_600_000_000L;
  private static final long KEY_WINDOW_MICROS = 30_000_000;
  private static final long LONGEST_DELAY_MICROS = 600_000_000;
  private static final String DELAYED = "0.a3";
  private static final String BEHIND_ANOTHER_OF_ITS_ORDER = "2.c4";

  @TempDir private Path directory;

  private final ManualRuntime runtime = new ManualRuntime();
  private final TreeSet<String> offered = new TreeSet<>();
  private final Map<String, MessagePartition> partitions = new HashMap<>();
  private InMemorySegmentStore disk;
  private MessageStore store;

  /** Messages by their columns: id, group, tenant, state, seal, attempts, body, target. */
  private static List<String[]> expectedMessages(String fixture) {
    return Fixtures.lines(fixture + "-state.txt").stream()
        .map(l -> l.substring("message ".length()).split("\t"))
        .toList();
  }

  private static Set<String> idsIn(List<String[]> messages, String state) {
    Set<String> ids = new TreeSet<>();
    messages.stream().filter(m -> m[3].equals(state)).forEach(m -> ids.add(m[0]));
    return ids;
  }

  private void replay(String fixture) throws StorageException {
    SegmentedLog log = new SegmentedLog(Fixtures.copy(fixture, directory));
    disk = new InMemorySegmentStore(log, runtime);
    store =
        new MessageStore(
            runtime,
            MEMBER,
            disk,
            new MessageStoreSettings(
                STATUS_MICROS, KEY_WINDOW_MICROS, 0, ReplicaGroupTimeouts.standard()),
            new OfferCollector(this::collect));
    store.fit(AgentWithoutCore.create(runtime, ADDRESS, DISK));
    log.open(store::replay);
    assertTrue(log.sound());
    store.start();
  }

  private void collect(MessagePartition partition, Message message) {
    offered.add(message.id());
    partitions.put(message.id().substring(0, 1), partition);
  }

  /** Makes the store the only member of each group, so that it serves all of them. */
  private void leadAlone() {
    for (int group = 0; group < GROUPS; group++) {
      GroupConfiguration alone =
          new GroupConfiguration(group, 100, MEMBER, List.of(), List.of(MEMBER));
      store.assigned(alone.toWireRecord("assign").with("key", "partition:" + group));
    }
    runtime.run(1_000);
  }

  private WireRecord ask(String kind, String[] message) {
    List<WireRecord> replies = new ArrayList<>();
    store.message(
        "10.3.0.1:7600",
        new WireRecord(kind)
            .with("group", Integer.parseInt(message[1]))
            .with("id", message[0])
            .with("tenant", message[2].equals("-") ? null : message[2]),
        replies::add);
    assertEquals(1, replies.size(), message[0]);
    return replies.get(0);
  }

  private static String orDash(Object value) {
    return value == null ? "-" : value.toString();
  }

  private String actualColumns(String[] expected) {
    WireRecord state = ask("m.state", expected);
    byte[] body = ask("m.body", expected).bytes("body");
    Message message = partitions.get(expected[1]).get(expected[0]);
    return String.join(
        "\t",
        message.id(),
        expected[1],
        orDash(message.tenant()),
        orDash(state.text("state")),
        orDash(state.text("seal")),
        "" + message.attempts(),
        body == null ? "-" : new String(body, StandardCharsets.UTF_8),
        message.target());
  }

  @ParameterizedTest
  @ValueSource(strings = {"store", "store-cleaned"})
  void givenStoredSegments_whenRead_thenEachRecordIsAtItsPositionAsItWasWritten(String fixture)
      throws StorageException {
    List<String> records = new ArrayList<>();
    SegmentedLog log = new SegmentedLog(Fixtures.copy(fixture, directory));
    Map<Long, String> byPosition = new TreeMap<>();
    log.open(
        (record, position) -> {
          records.add(Long.toHexString(position) + "\t" + RecordText.of(record));
          byPosition.put(position, RecordText.of(record));
        });
    assertEquals(
        String.join("\n", Fixtures.lines(fixture + "-records.txt")), String.join("\n", records));
    for (Map.Entry<Long, String> stored : byPosition.entrySet()) {
      assertEquals(stored.getValue(), RecordText.of(log.read(stored.getKey())));
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"store", "store-cleaned"})
  void givenStoredSegments_whenReplayed_thenEachMessageHasItsStateAndBody(String fixture)
      throws StorageException {
    List<String[]> expected = expectedMessages(fixture);
    replay(fixture);
    leadAlone();
    assertEquals(
        String.join("\n", expected.stream().map(m -> String.join("\t", m)).toList()),
        String.join("\n", expected.stream().map(this::actualColumns).toList()));
    Map<String, Long> figures = store.figures();
    assertEquals(GROUPS, figures.get("led"));
    assertEquals(idsIn(expected, "QUEUED").size(), figures.get("queued"));
    assertEquals(idsIn(expected, "DEAD_LETTER").size(), figures.get("dead"));
    assertEquals(
        List.of(),
        runtime.events().stream()
            .filter(e -> e.contains("skipped") || e.contains("unknown"))
            .toList());
  }

  @ParameterizedTest
  @ValueSource(strings = {"store", "store-cleaned"})
  void givenDelayedAndOrderedMessages_whenReplayed_thenTheyAreOfferedInTheirTime(String fixture)
      throws StorageException {
    Set<String> due = idsIn(expectedMessages(fixture), "QUEUED");
    assertTrue(due.remove(DELAYED) && due.remove(BEHIND_ANOTHER_OF_ITS_ORDER));
    replay(fixture);
    leadAlone();
    assertEquals(due, offered);
    runtime.run(LONGEST_DELAY_MICROS);
    due.add(DELAYED);
    assertEquals(due, offered);
  }

  /** Group, version and committed serial number of each group that this store is a member of. */
  private List<String> groups() {
    return store.groupHeaders().stream()
        .map(
            meta ->
                meta.number("group")
                    + " "
                    + meta.nested("view").number("version")
                    + " "
                    + meta.number("point"))
        .toList();
  }

  @ParameterizedTest
  @CsvSource({
    "store, 0 1 16; 1 2 2, 0 100 17; 1 100 4; 2 100 7",
    "store-cleaned, 0 1 17; 1 2 3; 2 6 6, 0 100 18; 1 100 4; 2 100 7"
  })
  void givenStoredSegments_whenReplayed_thenGroupsHaveTheirVersionsAndSerials(
      String fixture, String replayed, String leading) throws StorageException {
    replay(fixture);
    assertEquals(List.of(replayed.split("; ")), groups());
    leadAlone();
    assertEquals(List.of(leading.split("; ")), groups());
  }

  /** A record without its numbers, which differ from one record to the next. */
  private static String form(WireRecord record) {
    return RecordText.of(record).replaceAll("(version|serial|point)=\\d+", "$1=");
  }

  @Test
  void givenStoredMessage_whenAcceptedAgainUnderAnotherName_thenItIsWrittenInTheSameForm()
      throws StorageException {
    List<WireRecord> stored = new ArrayList<>();
    new SegmentedLog(Fixtures.copy("store", directory))
        .open((record, position) -> stored.add(record));
    final WireRecord view = stored.get(1);
    final WireRecord prepared = stored.get(2);
    replay("store");
    leadAlone();
    WireRecord entry = prepared.nested("entry").with("id", "0.new");
    store.message(
        "10.3.0.1:7600",
        new WireRecord("m.put").with("group", 0).with("message", entry),
        reply -> {});
    runtime.run(1_000);
    List<String> written = disk.appended.stream().map(MessageStoreFixtureTest::form).toList();
    assertTrue(written.contains(form(view)), () -> form(view) + " in " + written);
    assertEquals(form(prepared.with("entry", entry)), written.get(written.size() - 1));
  }
}
