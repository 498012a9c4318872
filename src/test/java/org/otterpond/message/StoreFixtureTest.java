package org.otterpond.message;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.otterpond.chart.Configuration;
import org.otterpond.harbour.HarbourNode;
import org.otterpond.harbour.HarbourTerms;
import org.otterpond.harbour.LossTolerance;
import org.otterpond.harbour.ManualDeck;
import org.otterpond.harbour.NodeIdentity;
import org.otterpond.harbour.QuotaTerms;
import org.otterpond.harbour.Shore;
import org.otterpond.harbour.Vessel;
import org.otterpond.logbook.LogbookException;
import org.otterpond.logbook.SegmentLog;
import org.otterpond.replica.GroupTimes;
import org.otterpond.replica.GroupView;
import org.otterpond.signal.Fixtures;
import org.otterpond.signal.Flag;
import org.otterpond.signal.RecordText;

/** Segments of a message store that an earlier version wrote hold the same records and make the same messages. */
class StoreFixtureTest {
    private static final String DISK = "5c0ffee1";
    private static final String ADDRESS = "10.2.0.1:7600";
    private static final String MEMBER = GroupView.member(DISK, ADDRESS);
    private static final int GROUPS = 3;
    private static final long STATUS_MICROS = 3_600_000_000L;
    private static final long KEY_WINDOW_MICROS = 30_000_000;
    private static final long LONGEST_DELAY_MICROS = 600_000_000;
    private static final String DELAYED = "0.a3";
    private static final String BEHIND_ANOTHER_OF_ITS_ORDER = "2.c4";

    @TempDir
    private Path folder;

    private final ManualDeck deck = new ManualDeck();
    private final TreeSet<String> offered = new TreeSet<>();
    private final Map<String, MessageQueue> queues = new HashMap<>();
    private SegmentDisk disk;
    private Depot depot;

    /** Messages by their columns: id, group, tenant, state, seal, attempts, body, target. */
    private static List<String[]> expectedMessages(String store) {
        return Fixtures.lines(store + "-state.txt").stream().map(l -> l.substring("message ".length()).split("\t"))
                .toList();
    }

    private static TreeSet<String> idsIn(List<String[]> messages, String state) {
        TreeSet<String> ids = new TreeSet<>();
        messages.stream().filter(m -> m[3].equals(state)).forEach(m -> ids.add(m[0]));
        return ids;
    }

    private void replay(String store) throws LogbookException {
        SegmentLog log = new SegmentLog(Fixtures.copy(store, folder));
        disk = new SegmentDisk(log, deck);
        depot = new Depot(deck, DISK, ADDRESS, disk, new StoreTerms(STATUS_MICROS,
                KEY_WINDOW_MICROS, 0, GroupTimes.standard()), new OfferCollector());
        depot.fit(controlOutOfReach());
        log.open(depot::replay);
        assertTrue(log.sound());
        depot.start();
    }

    /** The control side of a node that finds no core: nothing that the store proposes is answered. */
    private HarbourNode controlOutOfReach() {
        NodeIdentity self = new NodeIdentity(ADDRESS, "store", "z", null, false, false, List.of(), 1, DISK);
        HarbourTerms terms = new HarbourTerms(1_500_000, KEY_WINDOW_MICROS, LossTolerance.ofMachines(0),
                new QuotaTerms(5_000_000, 0.1, 20, 2_000_000));
        return new HarbourNode(deck, self, new NoDataPlane(), terms);
    }

    private static final class NoDataPlane implements Shore {
        @Override
        public void configured(Configuration configuration) {
            // Nothing is routed here.
        }

        @Override
        public void worker(Vessel vessel) {
            // Nothing is routed here.
        }

        @Override
        public void fleet(Map<String, Integer> nodesInZone, int rank) {
            // Nothing is routed here.
        }

        @Override
        public Flag outcome(String key, String token) {
            return null;
        }
    }

    private final class OfferCollector implements Courier {
        @Override
        public void ready(MessageQueue queue, Message message) {
            offered.add(message.id());
            queues.put(message.id().substring(0, 1), queue);
        }

        @Override
        public void stop(MessageQueue queue, Runnable quiet) {
            quiet.run();
        }
    }

    /** Makes the store the only member of each group, so that it serves what it holds. */
    private void leadAlone() {
        for (int group = 0; group < GROUPS; group++) {
            GroupView alone = new GroupView(group, 100, MEMBER, List.of(), List.of(MEMBER));
            depot.assigned(alone.toFlag("assign").with("key", "partition:" + group));
        }
        deck.run(1_000);
    }

    private Flag ask(String kind, String[] message) {
        List<Flag> replies = new ArrayList<>();
        depot.message("10.3.0.1:7600", new Flag(kind).with("group", Integer.parseInt(message[1]))
                .with("id", message[0]).with("tenant", message[2].equals("-") ? null : message[2]), replies::add);
        assertEquals(1, replies.size(), message[0]);
        return replies.get(0);
    }

    private static String orDash(Object value) {
        return value == null ? "-" : value.toString();
    }

    private String held(String[] expected) {
        Flag state = ask("m.state", expected);
        byte[] body = ask("m.body", expected).bytes("body");
        Message message = queues.get(expected[1]).get(expected[0]);
        return String.join("\t", message.id(), expected[1], orDash(message.tenant()), orDash(state.text("state")),
                orDash(state.text("seal")), "" + message.attempts(),
                body == null ? "-" : new String(body, StandardCharsets.UTF_8), message.target());
    }

    @ParameterizedTest
    @ValueSource(strings = {"store", "store-cleaned"})
    void givenStoredSegments_whenRead_thenEachRecordIsAtItsPlaceAsItWasWritten(String store) throws LogbookException {
        List<String> records = new ArrayList<>();
        SegmentLog log = new SegmentLog(Fixtures.copy(store, folder));
        Map<Long, String> byPlace = new TreeMap<>();
        log.open((record, place) -> {
            records.add(Long.toHexString(place) + "\t" + RecordText.of(record));
            byPlace.put(place, RecordText.of(record));
        });
        assertEquals(String.join("\n", Fixtures.lines(store + "-records.txt")), String.join("\n", records));
        byPlace.forEach((place, text) -> assertEquals(text, RecordText.of(log.read(place))));
    }

    @ParameterizedTest
    @ValueSource(strings = {"store", "store-cleaned"})
    void givenStoredSegments_whenReplayed_thenEachMessageHasItsStateAndBody(String store) throws LogbookException {
        List<String[]> expected = expectedMessages(store);
        replay(store);
        leadAlone();
        assertEquals(String.join("\n", expected.stream().map(m -> String.join("\t", m)).toList()),
                String.join("\n", expected.stream().map(this::held).toList()));
        Map<String, Long> figures = depot.figures();
        assertEquals(GROUPS, figures.get("led"));
        assertEquals(idsIn(expected, "QUEUED").size(), figures.get("queued"));
        assertEquals(idsIn(expected, "DEAD_LETTER").size(), figures.get("dead"));
        assertEquals(List.of(), deck.events().stream().filter(e -> e.contains("skipped") || e.contains("unknown"))
                .toList());
    }

    @ParameterizedTest
    @ValueSource(strings = {"store", "store-cleaned"})
    void givenDelayedAndOrderedMessages_whenReplayed_thenTheyAreOfferedInTheirTime(String store)
            throws LogbookException {
        TreeSet<String> due = idsIn(expectedMessages(store), "QUEUED");
        assertTrue(due.remove(DELAYED) && due.remove(BEHIND_ANOTHER_OF_ITS_ORDER));
        replay(store);
        leadAlone();
        assertEquals(due, offered);
        deck.run(LONGEST_DELAY_MICROS);
        due.add(DELAYED);
        assertEquals(due, offered);
    }

    /** Group, version and committed serial number of each group that this store is a member of. */
    private List<String> groups() {
        return depot.journalHead().stream().map(meta -> meta.number("group") + " " + meta.flag("view").number("version")
                + " " + meta.number("point")).toList();
    }

    @ParameterizedTest
    @CsvSource({"store, 0 1 16; 1 2 2, 0 100 17; 1 100 4; 2 100 7",
        "store-cleaned, 0 1 17; 1 2 3; 2 6 6, 0 100 18; 1 100 4; 2 100 7"})
    void givenStoredSegments_whenReplayed_thenGroupsHaveTheirVersionsAndSerials(String store, String replayed,
            String leading) throws LogbookException {
        replay(store);
        assertEquals(List.of(replayed.split("; ")), groups());
        leadAlone();
        assertEquals(List.of(leading.split("; ")), groups());
    }

    /** A record without its numbers, which differ from one record to the next. */
    private static String form(Flag record) {
        return RecordText.of(record).replaceAll("(version|serial|point)=\\d+", "$1=");
    }

    @Test
    void givenStoredMessage_whenAcceptedAgainUnderAnotherName_thenItIsWrittenInTheSameForm() throws LogbookException {
        List<Flag> stored = new ArrayList<>();
        new SegmentLog(Fixtures.copy("store", folder)).open((record, place) -> stored.add(record));
        Flag view = stored.get(1);
        Flag prepared = stored.get(2);
        replay("store");
        leadAlone();
        Flag entry = prepared.flag("entry").with("id", "0.new");
        depot.message("10.3.0.1:7600", new Flag("m.put").with("group", 0).with("message", entry), reply -> { });
        deck.run(1_000);
        List<String> written = disk.appended.stream().map(StoreFixtureTest::form).toList();
        assertTrue(written.contains(form(view)), () -> form(view) + " in " + written);
        assertEquals(form(prepared.with("entry", entry)), written.get(written.size() - 1));
    }
}
