package org.otterpond.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.otterpond.protocol.WireRecord;

/**
 * What the logs contain after a power loss that keeps or loses each unsynced directory entry on its
 * own.
 */
class DirectoryEntriesAfterPowerLossTest {
  @TempDir private Path parent;
  private UnsyncedDirectory directory;

  @BeforeEach
  void createDirectory() throws Exception {
    directory = new UnsyncedDirectory(Files.createDirectory(parent.resolve("data")));
  }

  private static WireRecord record(String name) {
    return new WireRecord("r").with("n", name);
  }

  private static List<WireRecord> records(List<String> names) {
    return names.stream().map(DirectoryEntriesAfterPowerLossTest::record).toList();
  }

  private static void append(WriteAheadLog log, String name) throws StorageException {
    log.append(List.of(WriteAheadLog.frame(record(name))));
  }

  private static void append(SegmentedLog log, String name) throws StorageException {
    log.append(List.of(SegmentedLog.frame(record(name))));
  }

  /** After every possible power loss the log has this identity and these records. */
  private void assertLogContains(List<String> names) throws Exception {
    for (Path state : directory.statesAfterPowerLoss(parent)) {
      List<WireRecord> read = WriteAheadLogReader.readAll(state);
      assertFalse(read.isEmpty(), () -> state + " looks blank");
      assertEquals("disk-1", read.get(0).text("disk"));
      assertEquals(names, read.subList(1, read.size()).stream().map(r -> r.text("n")).toList());
    }
  }

  @Test
  void givenRotatedLog_whenAnyUnsyncedEntriesAreLost_thenAllRecordsAreRead() throws Exception {
    WriteAheadLog log = new WriteAheadLog(directory);
    log.open();
    log.rotate("disk-1", List.of());
    assertLogContains(List.of());
    List<String> names = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      names.add("a" + i);
      append(log, "a" + i);
      assertLogContains(names);
      log.rotate("disk-1", records(names));
      assertLogContains(names);
    }
  }

  @Test
  void givenRotationWhoseDirectoryWasNotSynced_whenAppending_thenRejectedUntilOneSucceeds()
      throws Exception {
    WriteAheadLog log = new WriteAheadLog(directory);
    log.open();
    log.rotate("disk-1", List.of());
    append(log, "a");
    directory.failing = true;
    assertThrows(StorageIoException.class, () -> log.rotate("disk-1", records(List.of("a"))));
    assertThrows(NewFileRequiredException.class, () -> append(log, "b"));
    assertLogContains(List.of("a"));
    directory.failing = false;
    log.rotate("disk-1", records(List.of("a", "c")));
    append(log, "d");
    assertLogContains(List.of("a", "c", "d"));
  }

  /**
   * The file that a failed rotation left was removed; it must not come back, newer than what is
   * written after.
   */
  @Test
  void givenFileOfFailedRotation_whenLogIsOpenedAgain_thenItStaysAway() throws Exception {
    WriteAheadLog log = new WriteAheadLog(directory);
    log.open();
    log.rotate("disk-1", List.of());
    directory.failing = true;
    assertThrows(StorageIoException.class, () -> log.rotate("disk-1", List.of()));
    WriteAheadLog unsynced = new WriteAheadLog(directory);
    unsynced.open();
    assertThrows(NewFileRequiredException.class, () -> append(unsynced, "a"));
    directory.failing = false;
    WriteAheadLog synced = new WriteAheadLog(directory);
    synced.open();
    append(synced, "a");
    assertLogContains(List.of("a"));
  }

  @Test
  void givenMissingDirectories_whenOpened_thenTheyAreCreated() throws Exception {
    Path deep = parent.resolve("x/y/z");
    new WriteAheadLog(deep).open();
    assertTrue(Files.isDirectory(deep));
  }

  private List<List<String>> segmentRecordsAfterPowerLoss() throws Exception {
    List<List<String>> all = new ArrayList<>();
    for (Path state : directory.statesAfterPowerLoss(parent)) {
      List<String> names = new ArrayList<>();
      new SegmentedLog(state).open((record, position) -> names.add(record.text("n")));
      all.add(names);
    }
    return all;
  }

  private SegmentedLog openSegmentedLog() throws StorageException {
    SegmentedLog log = new SegmentedLog(directory);
    log.open((record, position) -> {});
    return log;
  }

  private static void beginSegment(SegmentedLog log, String name) throws StorageException {
    log.begin(List.of(record("head-" + name)));
    append(log, name);
  }

  @Test
  void givenSegments_whenAnyUnsyncedEntriesAreLost_thenNoneIsThereWithoutThoseAfterIt()
      throws Exception {
    SegmentedLog log = openSegmentedLog();
    List<String> all = new ArrayList<>();
    for (String name : List.of("a", "b", "c", "d")) {
      beginSegment(log, name);
      all.addAll(List.of("head-" + name, name));
      segmentRecordsAfterPowerLoss().forEach(names -> assertEquals(all, names));
    }
    for (int dropped = 1; dropped < 4; dropped++) {
      directory.failing = dropped == 2;
      if (directory.failing) {
        assertThrows(StorageIoException.class, log::dropOldest);
        directory.failing = false;
      } else {
        log.dropOldest();
      }
      int first = dropped;
      segmentRecordsAfterPowerLoss()
          .forEach(
              names -> {
                assertTrue(names.containsAll(all.subList(2 * first, 8)), names::toString);
                assertEquals(all.subList(8 - names.size(), 8), names);
              });
    }
  }

  @Test
  void givenSegmentWhoseDirectoryWasNotSynced_whenAppending_thenRejectedUntilItIsSynced()
      throws Exception {
    SegmentedLog log = openSegmentedLog();
    beginSegment(log, "a");
    directory.failing = true;
    assertThrows(StorageIoException.class, () -> log.begin(List.of(record("old-head"))));
    assertThrows(NewFileRequiredException.class, () -> append(log, "b"));
    SegmentedLog unsynced = openSegmentedLog();
    assertThrows(NewFileRequiredException.class, () -> append(unsynced, "b"));
    directory.failing = false;
    SegmentedLog synced = openSegmentedLog();
    append(synced, "b");
    segmentRecordsAfterPowerLoss()
        .forEach(names -> assertEquals(List.of("head-a", "a", "b"), names));
  }
}
