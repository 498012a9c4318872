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

/** The journal's writer answers whatever happens to a write, and goes on. */
class WriteAheadLogWriterTest {
  private final LinkedBlockingQueue<Runnable> owner = new LinkedBlockingQueue<>();

  private boolean answer(WriteAheadLogWriter logWriter) throws InterruptedException {
    List<Boolean> answers = new ArrayList<>();
    logWriter.journal(new WireRecord("claim").with("key", "k"), answers::add);
    while (answers.isEmpty()) {
      Runnable next = owner.poll(20, TimeUnit.SECONDS);
      assertNotNull(next, "no answer");
      next.run();
    }
    return answers.get(0);
  }

  @Test
  void writeThatFailsByMoreThanTheDiskIsAnsweredAndTheNextIsWritten(@TempDir Path folder)
      throws Exception {
    WriteAheadLog log = new WriteAheadLog(folder);
    log.open();
    log.rotate("disk-1", List.of());
    WireRecord bad = new WireRecord("state").with("packed", new Object());
    assertThrows(StorageException.class, () -> log.rotate("disk-1", List.of(bad)));
    // Until a rotation succeeds each write is one. An Error is what a lack of memory is, too.
    List<WireRecord> error =
        new ArrayList<>(List.of(new WireRecord("state"))) {
          @Override
          public int size() {
            throw new OutOfMemoryError("made by the test");
          }
        };
    List<List<WireRecord>> bases =
        new ArrayList<>(List.of(List.of(bad), error, List.of(new WireRecord("state"))));
    WriteAheadLogWriter logWriter =
        new WriteAheadLogWriter(owner::add, log, "disk-1", () -> bases.remove(0), 64L << 20);
    assertEquals(
        List.of(false, false, true, true),
        List.of(answer(logWriter), answer(logWriter), answer(logWriter), answer(logWriter)));
  }
}
