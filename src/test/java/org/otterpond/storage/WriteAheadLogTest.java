package org.otterpond.storage;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.otterpond.protocol.WireRecord;

/** What the journal gives back after tears, and that one whole file stands for all before it. */
class WriteAheadLogTest {
  private static WireRecord record(int n) {
    return new WireRecord("claim").with("key", "k" + n).with("token", "t".repeat(n % 40 + 1));
  }

  private static WriteAheadLog blank(Path folder) throws StorageException {
    WriteAheadLog l = new WriteAheadLog(folder);
    assertNull(l.open());
    l.rotate("disk-1", List.of());
    return l;
  }

  @Test
  void everyTearOfTheLastAppendLeavesWhatWasSyncedBefore(@TempDir Path folder) throws Exception {
    WriteAheadLog l = blank(folder);
    for (int i = 0; i < 20; i++) {
      l.append(List.of(WriteAheadLog.frame(record(i))));
    }
    long synced = l.size();
    l.append(
        List.of(
            WriteAheadLog.frame(record(20)),
            WriteAheadLog.frame(record(21)),
            WriteAheadLog.frame(record(22))));
    Path file = folder.resolve("log-1");
    byte[] whole = Files.readAllBytes(file);
    for (int at = (int) synced; at < whole.length; at++) {
      Files.write(file, Arrays.copyOf(whole, at));
      int cut = WriteAheadLogReader.all(folder).size();
      byte[] hole = whole.clone();
      Arrays.fill(hole, at, Math.min(whole.length, at + 16), (byte) 0);
      Files.write(file, hole);
      List<WireRecord> holed = WriteAheadLogReader.all(folder);
      assertTrue(cut >= 21 && cut < 24, "cut at " + at + " gave " + cut);
      assertTrue(
          holed.size() >= 21 && holed.size() < 24, "hole at " + at + " gave " + holed.size());
      for (int i = 0; i < holed.size() - 1; i++) {
        assertEquals("k" + i, holed.get(i + 1).text("key"));
      }
    }
  }

  @Test
  void appendAfterATearGoesOnFromTheLastWholeRecord(@TempDir Path folder) throws Exception {
    WriteAheadLog l = blank(folder);
    l.append(List.of(WriteAheadLog.frame(record(1)), WriteAheadLog.frame(record(2))));
    Path file = folder.resolve("log-1");
    byte[] whole = Files.readAllBytes(file);
    Files.write(file, Arrays.copyOf(whole, whole.length - 3));
    WriteAheadLog again = new WriteAheadLog(folder);
    assertEquals(2, WriteAheadLogReader.all(again).size());
    again.append(List.of(WriteAheadLog.frame(record(3))));
    List<WireRecord> read = WriteAheadLogReader.all(folder);
    assertEquals(List.of("k1", "k3"), read.subList(1, 3).stream().map(f -> f.text("key")).toList());
  }

  @Test
  void halfWrittenNewFileIsPassedOverForTheWholeOldOne(@TempDir Path folder) throws Exception {
    WriteAheadLog l = blank(folder);
    l.append(List.of(WriteAheadLog.frame(record(1))));
    byte[] old = Files.readAllBytes(folder.resolve("log-1"));
    l.rotate("disk-1", List.of(record(1), record(2)));
    byte[] fresh = Files.readAllBytes(folder.resolve("log-2"));
    assertTrue(Files.notExists(folder.resolve("log-1")));
    Files.write(folder.resolve("log-1"), old);
    Files.write(folder.resolve("log-2"), Arrays.copyOf(fresh, fresh.length - 1));
    List<WireRecord> read = WriteAheadLogReader.all(folder);
    assertEquals(2, read.size());
    assertEquals("disk-1", read.get(0).text("disk"));
  }

  /** A file that a failed rotation left may be there, and whole, after a loss of power. */
  @Test
  void nothingIsKeptBehindAFailedRotationUntilOneSucceeds(@TempDir Path folder) throws Exception {
    WriteAheadLog l = blank(folder);
    l.append(List.of(WriteAheadLog.frame(record(1))));
    byte[] first = Files.readAllBytes(folder.resolve("log-1"));
    Path inTheWay = Files.createDirectory(folder.resolve("log-2"));
    Files.writeString(inTheWay.resolve("x"), "x");
    assertThrows(StorageException.class, () -> l.rotate("disk-1", List.of(record(1))));
    assertThrows(StorageException.class, () -> l.append(List.of(WriteAheadLog.frame(record(2)))));
    l.rotate("disk-1", List.of(record(1), record(2)));
    l.append(List.of(WriteAheadLog.frame(record(3))));
    Files.delete(inTheWay.resolve("x"));
    Files.delete(inTheWay);
    Files.write(folder.resolve("log-2"), first);
    List<WireRecord> read = WriteAheadLogReader.all(folder);
    assertEquals(
        List.of("k1", "k2", "k3"), read.subList(1, 4).stream().map(f -> f.text("key")).toList());
  }

  /** The tests run with 4 MB for all buffers outside the heap. */
  @Test
  void longRecordsNeedLittleRoomOutsideTheHeap(@TempDir Path folder) throws Exception {
    byte[] body = new byte[9 << 20];
    new Random(1).nextBytes(body);
    WireRecord state = new WireRecord("state").with("packed", body);
    WriteAheadLog l = blank(folder);
    l.append(List.of(WriteAheadLog.frame(state)));
    l.rotate("disk-1", List.of(state));
    l.append(List.of(WriteAheadLog.frame(record(1))));
    List<WireRecord> read = WriteAheadLogReader.all(folder);
    assertEquals(3, read.size());
    assertArrayEquals(body, read.get(1).bytes("packed"));
    assertEquals("k1", read.get(2).text("key"));
  }

  @Test
  void rotationThatFailsByMoreThanTheDiskIsAFailedOneToo(@TempDir Path folder) throws Exception {
    WriteAheadLog l = blank(folder);
    l.append(List.of(WriteAheadLog.frame(record(1))));
    WireRecord bad = new WireRecord("state").with("packed", new Object());
    assertThrows(StorageException.class, () -> l.rotate("disk-1", List.of(bad)));
    assertFalse(l.sound());
    assertThrows(StorageException.class, () -> l.append(List.of(WriteAheadLog.frame(record(2)))));
    l.rotate("disk-1", List.of(record(1)));
    l.append(List.of(WriteAheadLog.frame(record(3))));
    assertEquals(3, WriteAheadLogReader.all(folder).size());
  }
}
