package org.otterpond.control.epoch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.otterpond.control.epoch.message.AcceptRecord;
import org.otterpond.control.primary.ReplicaPlacement;
import org.otterpond.control.state.CoreMember;
import org.otterpond.control.state.EpochRecord;
import org.otterpond.control.state.FaultTolerance;
import org.otterpond.control.state.IdempotencyKeyLock;
import org.otterpond.control.state.ReplicatedState;
import org.otterpond.control.state.WorkerInstance;
import org.otterpond.keyrange.KeyRange;
import org.otterpond.protocol.Fixtures;
import org.otterpond.protocol.RecordText;
import org.otterpond.protocol.WireRecord;
import org.otterpond.replication.GroupConfiguration;
import org.otterpond.storage.StorageException;
import org.otterpond.storage.WriteAheadLog;

/**
 * Write-ahead logs of core members that an earlier version wrote hold the same records and make the
 * same state.
 */
class CoreLogFixtureTest {
  private static final long KEY_WINDOW_MICROS = 60_000_000;

  @TempDir private Path folder;

  /** The base record and all that follow it. */
  private List<WireRecord> records(String member) throws StorageException {
    WriteAheadLog log = new WriteAheadLog(Fixtures.copy(member, folder));
    List<WireRecord> records = new ArrayList<>(List.of(log.open().toWireRecord()));
    log.replay(records::add);
    assertTrue(log.sound());
    return records;
  }

  private static EpochReplica replayed(List<WireRecord> records, ManualRuntime runtime) {
    CoreMember self = new CoreMember(records.get(0).text("disk"), "m", "m", "z");
    EpochReplica replica =
        new EpochReplica(
            runtime,
            EpochTimeouts.standard(),
            runtime,
            self,
            new ReplicatedState(KEY_WINDOW_MICROS),
            FaultTolerance.ofMachines(1));
    records.subList(1, records.size()).forEach(replica::replay);
    return replica;
  }

  private static long epochIn(EpochReplica replica, String kind) {
    return replica.journalBase().stream()
        .filter(f -> f.kind().equals(kind))
        .mapToLong(f -> f.number("epoch"))
        .findFirst()
        .orElse(0);
  }

  /** The state as one sorted list of lines, in the form of the expected text. */
  private static List<String> state(EpochReplica replica, List<String> expected) {
    ReplicatedState replicated = replica.hold();
    List<String> lines = new ArrayList<>();
    lines.add("promised " + epochIn(replica, "promise"));
    lines.add("begun " + epochIn(replica, "begun"));
    lines.add("record " + RecordText.of(replica.record().toWireRecord()));
    lines.add("revision " + replicated.revision() + " " + replica.committedRevision());
    lines.add("configuration " + replicated.text().unpacked());
    lines.add("configuration " + replica.committedConfiguration().unpacked());
    replicated.workers().forEach(w -> lines.add("worker " + RecordText.of(w)));
    lines.add("assignments " + replicated.assignments().number());
    replicated
        .assignments()
        .all()
        .values()
        .forEach(a -> lines.add("assignment " + RecordText.of(a)));
    lines.add("claims " + replicated.keyLockCount());
    for (String line : expected) {
      String[] words = line.split(" ", -1);
      if (words[0].equals("claim") && replicated.keyLock(words[1]) != null) {
        IdempotencyKeyLock claim = replicated.keyLock(words[1]);
        lines.add("claim " + words[1] + " " + claim.token() + " " + claim.holder());
      } else if (words[0].equals("taken")
          && replicated.taken().holds(Long.parseLong(words[1]), words[2])) {
        lines.add(line);
      }
    }
    return lines.stream().sorted().toList();
  }

  @ParameterizedTest
  @ValueSource(strings = {"core-appended", "core-rotated", "core-rotated-long"})
  void givenStoredJournal_whenRead_thenEachRecordIsAsItWasWritten(String member)
      throws StorageException {
    List<String> expected = Fixtures.lines(member + "-records.txt");
    assertEquals(expected, records(member).stream().map(RecordText::of).toList());
  }

  @ParameterizedTest
  @ValueSource(strings = {"core-appended", "core-rotated", "core-rotated-long"})
  void givenStoredJournal_whenReplayed_thenStateIsWhatWasWritten(String member)
      throws StorageException {
    List<String> expected = Fixtures.lines(member + "-state.txt");
    ManualRuntime runtime = new ManualRuntime();
    EpochReplica replica = replayed(records(member), runtime);
    assertEquals(String.join("\n", expected), String.join("\n", state(replica, expected)));
    assertEquals(List.of(), runtime.events(), "no record is skipped");
  }

  @ParameterizedTest
  @ValueSource(strings = {"core-rotated", "core-rotated-long"})
  void givenRotatedJournal_whenItsBaseIsMadeAgain_thenRecordsAreTheSame(String member)
      throws StorageException {
    List<WireRecord> records = records(member);
    List<WireRecord> base = records.subList(0, 1 + (int) records.get(0).number("count"));
    EpochReplica replica = replayed(base, new ManualRuntime());
    assertEquals(
        base.subList(1, base.size()).stream().map(RecordText::of).toList(),
        replica.journalBase().stream().map(RecordText::of).toList());
  }

  @Test
  void givenStoredRecords_whenReadAsTypesAndWrittenAgain_thenTheyAreTheSame()
      throws StorageException {
    for (WireRecord record : records("core-appended")) {
      WireRecord again = writtenAgain(record);
      if (again != null) {
        assertEquals(RecordText.of(record), RecordText.of(again));
      }
    }
  }

  /** The record read as its type and written; null if its kind has no type. */
  private static WireRecord writtenAgain(WireRecord record) {
    String key = record.kind().equals("assign") ? record.text("key") : "";
    if (record.kind().equals("accept")) {
      return new AcceptRecord(EpochRecord.of(record.nested("record"))).toWireRecord();
    }
    if (record.kind().equals("worker")) {
      return WorkerInstance.of(record, 0).toWireRecord("worker", 0);
    }
    if (key.startsWith(ReplicaPlacement.PARTITION)) {
      return GroupConfiguration.of(record)
          .toWireRecord("assign")
          .with("key", key)
          .with("of", record.number("of"));
    }
    return key.startsWith(KeyRange.PREFIX) && !record.truth("gone")
        ? KeyRange.of(record).toWireRecord("assign")
        : null;
  }
}
