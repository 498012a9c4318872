package org.otterpond.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.otterpond.protocol.WireRecord;

/** The writer acknowledges or rejects every record, whatever happens to a write, and goes on. */
class WriteAheadLogWriterTest {
  @TempDir private Path directory;
  private final LinkedBlockingQueue<Runnable> owner = new LinkedBlockingQueue<>();

  private boolean append(WriteAheadLogWriter writer) throws InterruptedException {
    List<Boolean> results = new ArrayList<>();
    writer.journal(new WireRecord("claim").with("key", "k"), results::add);
    while (results.isEmpty()) {
      Runnable task = owner.poll(20, TimeUnit.SECONDS);
      assertNotNull(task, "no result");
      task.run();
    }
    return results.get(0);
  }

  @Test
  void givenRotationsThatFailByMoreThanTheDisk_whenAppending_thenRejectedAndTheNextIsWritten()
      throws Exception {
    WriteAheadLog log = new WriteAheadLog(directory);
    log.open();
    log.rotate("disk-1", List.of());
    WireRecord unencodable = new WireRecord("state").with("packed", new Object());
    assertThrows(StorageException.class, () -> log.rotate("disk-1", List.of(unencodable)));
    // Until a rotation succeeds each write is one. A lack of memory is an Error, too.
    List<WireRecord> throwing =
        new ArrayList<>(List.of(new WireRecord("state"))) {
          @Override
          public int size() {
            throw new OutOfMemoryError("made by the test");
          }
        };
    List<List<WireRecord>> bases =
        new ArrayList<>(List.of(List.of(unencodable), throwing, List.of(new WireRecord("state"))));
    try (WriteAheadLogWriter writer =
        new WriteAheadLogWriter(owner::add, log, "disk-1", () -> bases.remove(0), 64L << 20)) {
      assertEquals(
          List.of(false, false, true, true),
          List.of(append(writer), append(writer), append(writer), append(writer)));
    }
  }
}
