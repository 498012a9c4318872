package org.otterpond.keel;

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
import org.otterpond.logbook.Logbook;
import org.otterpond.logbook.LogbookException;
import org.otterpond.signal.Flag;

/** The journal's writer answers whatever happens to a write, and goes on. */
class PurserTest {
  private final LinkedBlockingQueue<Runnable> owner = new LinkedBlockingQueue<>();

  private boolean answer(Purser purser) throws InterruptedException {
    List<Boolean> answers = new ArrayList<>();
    purser.journal(new Flag("claim").with("key", "k"), answers::add);
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
    Logbook logbook = new Logbook(folder);
    logbook.open();
    logbook.rotate("disk-1", List.of());
    Flag bad = new Flag("state").with("packed", new Object());
    assertThrows(LogbookException.class, () -> logbook.rotate("disk-1", List.of(bad)));
    // Until a rotation succeeds each write is one. An Error is what a lack of memory is, too.
    List<Flag> error =
        new ArrayList<>(List.of(new Flag("state"))) {
          @Override
          public int size() {
            throw new OutOfMemoryError("made by the test");
          }
        };
    List<List<Flag>> bases =
        new ArrayList<>(List.of(List.of(bad), error, List.of(new Flag("state"))));
    Purser purser = new Purser(owner::add, logbook, "disk-1", () -> bases.remove(0), 64L << 20);
    assertEquals(
        List.of(false, false, true, true),
        List.of(answer(purser), answer(purser), answer(purser), answer(purser)));
  }
}
