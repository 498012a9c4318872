package org.otterpond.harbour;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.otterpond.keys.KeyRange;
import org.otterpond.logbook.Logbook;
import org.otterpond.logbook.LogbookException;
import org.otterpond.replica.GroupView;
import org.otterpond.signal.Fixtures;
import org.otterpond.signal.Flag;
import org.otterpond.signal.RecordText;

/** Write-ahead logs of core members that an earlier version wrote hold the same records and make the same state. */
class CoreJournalFixtureTest {
    private static final long KEY_WINDOW_MICROS = 60_000_000;

    @TempDir
    private Path folder;

    /** The base record and all that follow it. */
    private List<Flag> records(String member) throws LogbookException {
        Logbook log = new Logbook(Fixtures.copy(member, folder));
        List<Flag> records = new ArrayList<>(List.of(log.open()));
        log.replay(records::add);
        assertTrue(log.sound());
        return records;
    }

    private static Watch replayed(List<Flag> records, ManualDeck deck) {
        Berth self = new Berth(records.get(0).text("disk"), "m", "m", "z");
        Watch watch = new Watch(deck, WatchTimes.standard(), deck, self, new Hold(KEY_WINDOW_MICROS),
                LossTolerance.ofMachines(1));
        records.subList(1, records.size()).forEach(watch::replay);
        return watch;
    }

    private static long epochIn(Watch watch, String kind) {
        return watch.journalBase().stream().filter(f -> f.kind().equals(kind)).mapToLong(f -> f.number("epoch"))
                .findFirst().orElse(0);
    }

    /** The state as one sorted list of lines, in the form of the expected text. */
    private static List<String> state(Watch watch, List<String> expected) {
        Hold hold = watch.hold();
        List<String> lines = new ArrayList<>();
        lines.add("promised " + epochIn(watch, "promise"));
        lines.add("begun " + epochIn(watch, "begun"));
        lines.add("record " + RecordText.of(watch.record().toFlag()));
        lines.add("revision " + hold.revision() + " " + watch.committedRevision());
        lines.add("configuration " + hold.text().unpacked());
        lines.add("configuration " + watch.committedText().unpacked());
        hold.workers().forEach(w -> lines.add("worker " + RecordText.of(w)));
        lines.add("assignments " + hold.assignments().number());
        hold.assignments().all().values().forEach(a -> lines.add("assignment " + RecordText.of(a)));
        lines.add("claims " + hold.claimCount());
        for (String line : expected) {
            String[] words = line.split(" ");
            if (words[0].equals("claim") && hold.claim(words[1]) != null) {
                Claim claim = hold.claim(words[1]);
                lines.add("claim " + words[1] + " " + claim.token() + " " + claim.holder());
            } else if (words[0].equals("taken") && hold.taken().holds(Long.parseLong(words[1]), words[2])) {
                lines.add(line);
            }
        }
        return lines.stream().sorted().toList();
    }

    @ParameterizedTest
    @ValueSource(strings = {"core-appended", "core-rotated", "core-rotated-long"})
    void givenStoredJournal_whenRead_thenEachRecordIsAsItWasWritten(String member) throws LogbookException {
        List<String> expected = Fixtures.lines(member + "-records.txt");
        assertEquals(expected, records(member).stream().map(RecordText::of).toList());
    }

    @ParameterizedTest
    @ValueSource(strings = {"core-appended", "core-rotated", "core-rotated-long"})
    void givenStoredJournal_whenReplayed_thenStateIsWhatWasWritten(String member) throws LogbookException {
        List<String> expected = Fixtures.lines(member + "-state.txt");
        ManualDeck deck = new ManualDeck();
        Watch watch = replayed(records(member), deck);
        assertEquals(String.join("\n", expected), String.join("\n", state(watch, expected)));
        assertEquals(List.of(), deck.events(), "no record is skipped");
    }

    @ParameterizedTest
    @ValueSource(strings = {"core-rotated", "core-rotated-long"})
    void givenRotatedJournal_whenItsBaseIsMadeAgain_thenRecordsAreTheSame(String member) throws LogbookException {
        List<Flag> records = records(member);
        List<Flag> base = records.subList(0, 1 + (int) records.get(0).number("count"));
        Watch watch = replayed(base, new ManualDeck());
        assertEquals(base.subList(1, base.size()).stream().map(RecordText::of).toList(),
                watch.journalBase().stream().map(RecordText::of).toList());
    }

    @Test
    void givenStoredRecords_whenReadAsTypesAndWrittenAgain_thenTheyAreTheSame() throws LogbookException {
        for (Flag record : records("core-appended")) {
            Flag again = writtenAgain(record);
            if (again != null) {
                assertEquals(RecordText.of(record), RecordText.of(again));
            }
        }
    }

    /** The record read as its type and written; null if its kind has no type. */
    private static Flag writtenAgain(Flag record) {
        String key = record.kind().equals("assign") ? record.text("key") : "";
        if (record.kind().equals("accept")) {
            return new Flag("accept").with("record", EpochRecord.of(record.flag("record")).toFlag());
        }
        if (record.kind().equals("worker")) {
            return Vessel.of(record, 0).toFlag("worker", 0);
        }
        if (key.startsWith(Placement.PARTITION)) {
            return GroupView.of(record).toFlag("assign").with("key", key).with("of", record.number("of"));
        }
        return key.startsWith(KeyRange.PREFIX) && !record.truth("gone") ? KeyRange.of(record).toFlag("assign") : null;
    }
}
