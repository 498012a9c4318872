package org.otterpond.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;

/** Batches are written one at a time, on the named thread, and each ends by a result. */
class GroupCommitWriterTest {
  private final LinkedBlockingQueue<Runnable> owner = new LinkedBlockingQueue<>();
  private final CountDownLatch diskReady = new CountDownLatch(1);
  private final CountDownLatch closed = new CountDownLatch(1);
  private final List<Integer> batchSizes = new ArrayList<>();
  private final List<String> results = new ArrayList<>();

  private final class Target implements GroupCommitWriter.BatchTarget<String, Consumer<String>> {
    @Override
    public Supplier<String> prepare(List<byte[]> frames) {
      batchSizes.add(frames.size());
      return () -> write(frames);
    }

    private String write(List<byte[]> frames) {
      try {
        assertTrue(diskReady.await(20, TimeUnit.SECONDS));
      } catch (InterruptedException e) {
        throw new IllegalStateException(e);
      }
      if (frames.get(0).length == 0) {
        throw new OutOfMemoryError("made by the test");
      }
      return Thread.currentThread().getName();
    }

    @Override
    public String failure() {
      return "failed";
    }

    @Override
    public void complete(String result, List<Consumer<String>> callbacks) {
      callbacks.forEach(callback -> callback.accept(result));
    }
  }

  private GroupCommitWriter<String, Consumer<String>> newWriter() {
    return new GroupCommitWriter<>(owner::add, "disk-thread", new Target());
  }

  private void runOwnerUntilResults(int count) throws InterruptedException {
    while (results.size() < count) {
      Runnable task = owner.poll(20, TimeUnit.SECONDS);
      assertNotNull(task, "no result");
      task.run();
    }
  }

  @Test
  void givenWriteInProgress_whenRecordsArrive_thenTheyAreOneBatchAfterIt() throws Exception {
    GroupCommitWriter<String, Consumer<String>> writer = newWriter();
    writer.append(new byte[1], results::add);
    owner.take().run();
    for (int i = 0; i < 3; i++) {
      writer.append(new byte[1], results::add);
    }
    diskReady.countDown();
    runOwnerUntilResults(4);
    assertEquals(List.of(1, 3), batchSizes);
    assertEquals(List.of("disk-thread", "disk-thread", "disk-thread", "disk-thread"), results);
    writer.close(() -> closed.countDown());
    assertTrue(closed.await(20, TimeUnit.SECONDS));
  }

  @Test
  void givenWriteThatEndsByAnError_whenNextRecordArrives_thenItIsWritten() throws Exception {
    diskReady.countDown();
    GroupCommitWriter<String, Consumer<String>> writer = newWriter();
    writer.append(new byte[0], results::add);
    runOwnerUntilResults(1);
    writer.append(new byte[1], results::add);
    runOwnerUntilResults(2);
    assertEquals(List.of("failed", "disk-thread"), results);
    writer.close(() -> closed.countDown());
    assertTrue(closed.await(20, TimeUnit.SECONDS));
  }
}
