package org.otterpond.storage;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.otterpond.protocol.WireRecord;

/**
 * Acknowledged records are read back, by position and in order, whatever the last write left on the
 * disk.
 */
class SegmentedLogTest {
  @TempDir private Path directory;

  private static WireRecord head(String name) {
    return new WireRecord("head").with("n", name);
  }

  private static List<byte[]> frames(String... names) {
    List<byte[]> frames = new ArrayList<>();
    for (String name : names) {
      frames.add(SegmentedLog.frame(new WireRecord("r").with("n", name)));
    }
    return frames;
  }

  private SegmentedLog open(List<String> names) throws StorageException {
    SegmentedLog log = new SegmentedLog(directory);
    log.open((record, position) -> names.add(record.text("n")));
    return log;
  }

  @Test
  void givenTwoSegments_whenOpenedAgain_thenRecordsAreReadByPositionUntilDropped()
      throws StorageException {
    SegmentedLog log = open(new ArrayList<>());
    log.begin(List.of(head("h1")));
    long[] first = log.append(frames("a", "b"));
    log.begin(List.of(head("h2")));
    long[] second = log.append(frames("c"));

    List<String> names = new ArrayList<>();
    SegmentedLog reopened = open(names);
    assertEquals(List.of("h1", "a", "b", "h2", "c"), names);
    assertEquals("b", reopened.read(first[1]).text("n"));
    assertEquals("c", reopened.read(second[0]).text("n"));
    assertTrue(SegmentedLog.segmentOf(first[0]) < SegmentedLog.segmentOf(second[0]));

    reopened.dropOldest();
    assertNull(reopened.read(first[1]));
    assertEquals("c", reopened.read(second[0]).text("n"));
    reopened.dropOldest();
    assertEquals("c", reopened.read(second[0]).text("n"), "the newest is never dropped");
  }

  @Test
  void givenLastWriteTornAtAnyByte_whenOpened_thenAllBeforeItIsReadAndNothingOfIt()
      throws StorageException, IOException {
    SegmentedLog log = open(new ArrayList<>());
    log.begin(List.of(head("h")));
    log.append(frames("a"));
    final long complete = log.newestSize();
    log.append(frames("torn"));
    final long full = log.newestSize();
    Path file = directory.resolve("seg-1");
    for (long size = full - 1; size >= complete; size--) {
      try (FileChannel channel = FileChannel.open(file, StandardOpenOption.WRITE)) {
        channel.truncate(size);
      }
      List<String> names = new ArrayList<>();
      SegmentedLog reopened = open(names);
      assertEquals(List.of("h", "a"), names);
      assertEquals(complete, reopened.newestSize());
    }
    SegmentedLog last = open(new ArrayList<>());
    last.append(frames("next"));
    List<String> names = new ArrayList<>();
    open(names);
    assertEquals(List.of("h", "a", "next"), names);
  }

  @Test
  void givenRecordWhoseBytesChanged_whenRead_thenItIsCorrupt()
      throws StorageException, IOException {
    SegmentedLog log = open(new ArrayList<>());
    log.begin(List.of(head("h")));
    long[] positions = log.append(frames("a", "b"));
    try (FileChannel channel =
        FileChannel.open(directory.resolve("seg-1"), StandardOpenOption.WRITE)) {
      channel.write(ByteBuffer.wrap(new byte[1]), log.newestSize() - 2);
    }
    assertEquals("a", log.read(positions[0]).text("n"));
    assertThrows(CorruptRecordException.class, () -> log.read(positions[1]));
  }

  /** The tests run with 4 MB for all buffers outside the heap. */
  @Test
  void givenLongRecord_whenWrittenAndRead_thenLittleMemoryOutsideTheHeapIsNeeded()
      throws StorageException {
    byte[] body = new byte[7 << 20];
    new Random(1).nextBytes(body);
    SegmentedLog log = open(new ArrayList<>());
    log.begin(List.of(head("h1")));
    WireRecord longRecord = new WireRecord("r").with("n", "a").with("body", body);
    long[] positions = log.append(List.of(SegmentedLog.frame(longRecord)));
    assertArrayEquals(body, log.read(positions[0]).bytes("body"));
  }
}
