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

/** What is read after torn writes and failed rotations. */
class WriteAheadLogTest {
  @TempDir private Path directory;

  private static WireRecord record(int number) {
    return new WireRecord("claim")
        .with("key", "k" + number)
        .with("token", "t".repeat(number % 40 + 1));
  }

  private static void append(WriteAheadLog log, int number) throws StorageException {
    log.append(List.of(WriteAheadLog.frame(record(number))));
  }

  private static List<String> keys(List<WireRecord> records) {
    return records.stream().map(record -> record.text("key")).toList();
  }

  private WriteAheadLog newLog() throws StorageException {
    WriteAheadLog log = new WriteAheadLog(directory);
    assertNull(log.open());
    log.rotate("disk-1", List.of());
    return log;
  }

  @Test
  void givenLastAppendTornAnywhere_whenRead_thenAllSyncedBeforeIsThere() throws Exception {
    WriteAheadLog log = newLog();
    for (int i = 0; i < 20; i++) {
      append(log, i);
    }
    final long synced = log.size();
    log.append(
        List.of(
            WriteAheadLog.frame(record(20)),
            WriteAheadLog.frame(record(21)),
            WriteAheadLog.frame(record(22))));
    Path file = directory.resolve("log-1");
    byte[] complete = Files.readAllBytes(file);
    for (int offset = (int) synced; offset < complete.length; offset++) {
      Files.write(file, Arrays.copyOf(complete, offset));
      int readAfterCut = WriteAheadLogReader.readAll(directory).size();
      byte[] zeroed = complete.clone();
      Arrays.fill(zeroed, offset, Math.min(complete.length, offset + 16), (byte) 0);
      Files.write(file, zeroed);
      List<WireRecord> read = WriteAheadLogReader.readAll(directory);
      assertTrue(
          readAfterCut >= 21 && readAfterCut < 24, "cut at " + offset + " gave " + readAfterCut);
      assertTrue(
          read.size() >= 21 && read.size() < 24, "zeros at " + offset + " gave " + read.size());
      for (int i = 0; i < read.size() - 1; i++) {
        assertEquals("k" + i, read.get(i + 1).text("key"));
      }
    }
  }

  @Test
  void givenTornRecord_whenAppending_thenItIsReplaced() throws Exception {
    WriteAheadLog log = newLog();
    log.append(List.of(WriteAheadLog.frame(record(1)), WriteAheadLog.frame(record(2))));
    Path file = directory.resolve("log-1");
    byte[] complete = Files.readAllBytes(file);
    Files.write(file, Arrays.copyOf(complete, complete.length - 3));
    WriteAheadLog reopened = new WriteAheadLog(directory);
    assertEquals(2, WriteAheadLogReader.readAll(reopened).size());
    append(reopened, 3);
    List<WireRecord> read = WriteAheadLogReader.readAll(directory);
    assertEquals(List.of("k1", "k3"), keys(read.subList(1, 3)));
  }

  @Test
  void givenIncompleteNewFile_whenRead_thenCompleteOldOneIsUsed() throws Exception {
    WriteAheadLog log = newLog();
    append(log, 1);
    final byte[] oldFile = Files.readAllBytes(directory.resolve("log-1"));
    log.rotate("disk-1", List.of(record(1), record(2)));
    byte[] newFile = Files.readAllBytes(directory.resolve("log-2"));
    assertTrue(Files.notExists(directory.resolve("log-1")));
    Files.write(directory.resolve("log-1"), oldFile);
    Files.write(directory.resolve("log-2"), Arrays.copyOf(newFile, newFile.length - 1));
    List<WireRecord> read = WriteAheadLogReader.readAll(directory);
    assertEquals(2, read.size());
    assertEquals("disk-1", read.get(0).text("disk"));
  }

  /** The file of a failed rotation may be there, and complete, after a power loss. */
  @Test
  void givenFailedRotation_whenAppending_thenRejectedUntilOneSucceeds() throws Exception {
    WriteAheadLog log = newLog();
    append(log, 1);
    final byte[] first = Files.readAllBytes(directory.resolve("log-1"));
    Path obstacle = Files.createDirectory(directory.resolve("log-2"));
    Files.writeString(obstacle.resolve("x"), "x");
    assertThrows(StorageIoException.class, () -> log.rotate("disk-1", List.of(record(1))));
    assertThrows(NewFileRequiredException.class, () -> append(log, 2));
    log.rotate("disk-1", List.of(record(1), record(2)));
    append(log, 3);
    Files.delete(obstacle.resolve("x"));
    Files.delete(obstacle);
    Files.write(directory.resolve("log-2"), first);
    List<WireRecord> read = WriteAheadLogReader.readAll(directory);
    assertEquals(List.of("k1", "k2", "k3"), keys(read.subList(1, 4)));
  }

  /** The tests run with 4 MB for all buffers outside the heap. */
  @Test
  void givenLongRecord_whenWrittenAndRead_thenLittleMemoryOutsideTheHeapIsNeeded()
      throws Exception {
    byte[] body = new byte[9 << 20];
    new Random(1).nextBytes(body);
    WireRecord state = new WireRecord("state").with("packed", body);
    WriteAheadLog log = newLog();
    log.append(List.of(WriteAheadLog.frame(state)));
    log.rotate("disk-1", List.of(state));
    append(log, 1);
    List<WireRecord> read = WriteAheadLogReader.readAll(directory);
    assertEquals(3, read.size());
    assertArrayEquals(body, read.get(1).bytes("packed"));
    assertEquals("k1", read.get(2).text("key"));
  }

  @Test
  void givenRecordThatCannotBeEncoded_whenRotating_thenRotationFailsLikeAnyOther()
      throws Exception {
    WriteAheadLog log = newLog();
    append(log, 1);
    WireRecord unencodable = new WireRecord("state").with("packed", new Object());
    assertThrows(StorageException.class, () -> log.rotate("disk-1", List.of(unencodable)));
    assertFalse(log.sound());
    assertThrows(NewFileRequiredException.class, () -> append(log, 2));
    log.rotate("disk-1", List.of(record(1)));
    append(log, 3);
    assertEquals(3, WriteAheadLogReader.readAll(directory).size());
  }
}
