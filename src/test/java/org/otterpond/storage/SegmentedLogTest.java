package org.otterpond.storage;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
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
 * The segmented journal: what was answered is read back, by place and in order, whatever the last
 * write left.
 */
class SegmentedLogTest {
  @TempDir private Path folder;

  private static List<byte[]> frames(String... names) {
    List<byte[]> out = new ArrayList<>();
    for (String n : names) {
      out.add(SegmentedLog.frame(new WireRecord("r").with("n", n)));
    }
    return out;
  }

  private static SegmentedLog opened(Path folder, List<String> seen) throws StorageException {
    SegmentedLog log = new SegmentedLog(folder);
    log.open((f, place) -> seen.add(f.text("n")));
    return log;
  }

  @Test
  void placesAreReadBackAcrossSegmentsAndStarts() throws StorageException {
    SegmentedLog log = opened(folder, new ArrayList<>());
    log.begin(List.of(new WireRecord("head").with("n", "h1")));
    long[] a = log.append(frames("a", "b"));
    log.begin(List.of(new WireRecord("head").with("n", "h2")));
    long[] c = log.append(frames("c"));
    List<String> seen = new ArrayList<>();
    SegmentedLog again = opened(folder, seen);
    assertEquals(List.of("h1", "a", "b", "h2", "c"), seen);
    assertEquals("b", again.read(a[1]).text("n"));
    assertEquals("c", again.read(c[0]).text("n"));
    assertTrue(SegmentedLog.segmentOf(a[0]) < SegmentedLog.segmentOf(c[0]));
    again.dropOldest();
    assertNull(again.read(a[1]));
    assertEquals("c", again.read(c[0]).text("n"));
    again.dropOldest();
    assertEquals("c", again.read(c[0]).text("n"), "the newest never goes");
  }

  /**
   * A loss of power may leave any head of the last write: all before it stays, nothing of it looks
   * whole.
   */
  @Test
  void lastWriteTornAnywhereLeavesAllBeforeIt() throws StorageException, IOException {
    SegmentedLog log = opened(folder, new ArrayList<>());
    log.begin(List.of(new WireRecord("head").with("n", "h")));
    log.append(frames("a"));
    long whole = log.newestSize();
    log.append(frames("torn"));
    long full = log.newestSize();
    Path file = folder.resolve("seg-1");
    for (long size = full - 1; size >= whole; size--) {
      try (FileChannel c = FileChannel.open(file, StandardOpenOption.WRITE)) {
        c.truncate(size);
      }
      List<String> seen = new ArrayList<>();
      SegmentedLog again = opened(folder, seen);
      assertEquals(List.of("h", "a"), seen);
      assertEquals(whole, again.newestSize());
    }
    SegmentedLog last = opened(folder, new ArrayList<>());
    last.append(frames("next"));
    List<String> seen = new ArrayList<>();
    opened(folder, seen);
    assertEquals(List.of("h", "a", "next"), seen);
  }

  /** The tests run with 4 MB for all buffers outside the heap. */
  @Test
  void longRecordsNeedLittleRoomOutsideTheHeap() throws StorageException {
    byte[] body = new byte[7 << 20];
    new Random(1).nextBytes(body);
    SegmentedLog log = opened(folder, new ArrayList<>());
    log.begin(List.of(new WireRecord("head").with("n", "h1")));
    long[] places =
        log.append(
            List.of(SegmentedLog.frame(new WireRecord("r").with("n", "a").with("body", body))));
    assertArrayEquals(body, log.read(places[0]).bytes("body"));
  }
}
