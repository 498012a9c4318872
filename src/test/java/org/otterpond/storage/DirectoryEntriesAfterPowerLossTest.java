package org.otterpond.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;
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
 * What the journals hold after a loss of power that keeps or loses each unsynced name by itself.
 */
class DirectoryEntriesAfterPowerLossTest {
  @TempDir private Path tmp;
  private UnsyncedDirectory folder;

  @BeforeEach
  void make() throws Exception {
    folder = new UnsyncedDirectory(Files.createDirectory(tmp.resolve("data")));
  }

  private static WireRecord record(String n) {
    return new WireRecord("r").with("n", n);
  }

  private static List<WireRecord> records(List<String> names) {
    return names.stream().map(DirectoryEntriesAfterPowerLossTest::record).toList();
  }

  /** After every loss of power that can be, the journal has this identity and these records. */
  private void holds(List<String> names) throws Exception {
    for (Path p : folder.afterLossesOfPower(tmp)) {
      List<WireRecord> read = WriteAheadLogReader.all(p);
      assertTrue(!read.isEmpty(), () -> p + " looks blank");
      assertEquals("disk-1", read.get(0).text("disk"));
      assertEquals(names, read.subList(1, read.size()).stream().map(f -> f.text("n")).toList());
    }
  }

  @Test
  void rotatedJournalIsThereWhicheverNamesAreLost() throws Exception {
    WriteAheadLog l = new WriteAheadLog(folder);
    l.open();
    l.rotate("disk-1", List.of());
    holds(List.of());
    List<String> names = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      names.add("a" + i);
      l.append(List.of(WriteAheadLog.frame(record("a" + i))));
      holds(names);
      l.rotate("disk-1", records(names));
      holds(names);
    }
  }

  @Test
  void newFileWhoseFolderIsNotSyncedCountsForNothing() throws Exception {
    WriteAheadLog l = new WriteAheadLog(folder);
    l.open();
    l.rotate("disk-1", List.of());
    l.append(List.of(WriteAheadLog.frame(record("a"))));
    folder.failing = true;
    assertThrows(StorageException.class, () -> l.rotate("disk-1", records(List.of("a"))));
    assertThrows(StorageException.class, () -> l.append(List.of(WriteAheadLog.frame(record("b")))));
    holds(List.of("a"));
    folder.failing = false;
    l.rotate("disk-1", records(List.of("a", "c")));
    l.append(List.of(WriteAheadLog.frame(record("d"))));
    holds(List.of("a", "c", "d"));
  }

  /**
   * The file that a failed rotation left was removed; it must not come back, newer than what is
   * written after.
   */
  @Test
  void leftoverOfAFailedRotationStaysAwayAfterARestart() throws Exception {
    WriteAheadLog l = new WriteAheadLog(folder);
    l.open();
    l.rotate("disk-1", List.of());
    folder.failing = true;
    assertThrows(StorageException.class, () -> l.rotate("disk-1", List.of()));
    WriteAheadLog refused = new WriteAheadLog(folder);
    refused.open();
    assertThrows(
        StorageException.class, () -> refused.append(List.of(WriteAheadLog.frame(record("a")))));
    folder.failing = false;
    WriteAheadLog again = new WriteAheadLog(folder);
    again.open();
    again.append(List.of(WriteAheadLog.frame(record("a"))));
    holds(List.of("a"));
  }

  @Test
  void foldersThatWereMissingAreMade() throws Exception {
    Path deep = tmp.resolve("x/y/z");
    new WriteAheadLog(deep).open();
    assertTrue(Files.isDirectory(deep));
  }

  private List<List<String>> segmentsAfterLosses() throws Exception {
    List<List<String>> out = new ArrayList<>();
    for (Path p : folder.afterLossesOfPower(tmp)) {
      List<String> seen = new ArrayList<>();
      new SegmentedLog(p).open((f, place) -> seen.add(f.text("n")));
      out.add(seen);
    }
    return out;
  }

  private static void segment(SegmentedLog log, String n) throws StorageException {
    log.begin(List.of(record("head-" + n)));
    log.append(List.of(SegmentedLog.frame(record(n))));
  }

  @Test
  void segmentsAreThereAndNoneComesBackWithoutThoseAfterIt() throws Exception {
    SegmentedLog log = new SegmentedLog(folder);
    log.open((f, place) -> {});
    List<String> all = new ArrayList<>();
    for (String n : List.of("a", "b", "c", "d")) {
      segment(log, n);
      all.addAll(List.of("head-" + n, n));
      segmentsAfterLosses().forEach(s -> assertEquals(all, s));
    }
    for (int dropped = 1; dropped < 4; dropped++) {
      folder.failing = dropped == 2;
      if (folder.failing) {
        assertThrows(StorageException.class, log::dropOldest);
        folder.failing = false;
      } else {
        log.dropOldest();
      }
      int from = dropped;
      segmentsAfterLosses()
          .forEach(
              s -> {
                assertTrue(s.containsAll(all.subList(2 * from, 8)), s::toString);
                assertEquals(all.subList(8 - s.size(), 8), s);
              });
    }
  }

  @Test
  void segmentWhoseFolderIsNotSyncedCountsForNothing() throws Exception {
    SegmentedLog log = new SegmentedLog(folder);
    log.open((f, place) -> {});
    segment(log, "a");
    folder.failing = true;
    assertThrows(StorageException.class, () -> log.begin(List.of(record("old-head"))));
    assertThrows(
        StorageException.class, () -> log.append(List.of(SegmentedLog.frame(record("b")))));
    SegmentedLog again = new SegmentedLog(folder);
    again.open((f, place) -> {});
    assertThrows(
        StorageException.class, () -> again.append(List.of(SegmentedLog.frame(record("b")))));
    folder.failing = false;
    SegmentedLog last = new SegmentedLog(folder);
    last.open((f, place) -> {});
    last.append(List.of(SegmentedLog.frame(record("b"))));
    segmentsAfterLosses().forEach(s -> assertEquals(List.of("head-a", "a", "b"), s));
  }
}
