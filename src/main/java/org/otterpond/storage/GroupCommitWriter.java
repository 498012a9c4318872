package org.otterpond.storage;

import com.google.common.util.concurrent.ThreadFactoryBuilder;
import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Group commit on a disk thread: one batch is written at a time, and all records that arrive
 * meanwhile make up the next one. All methods are called on the owner thread.
 *
 * @param <R> the result of writing a batch
 * @param <C> the callback of a record
 */
final class GroupCommitWriter<R, C> {
  private static final Logger LOG = LoggerFactory.getLogger(GroupCommitWriter.class);

  private final Executor owner;
  private final ExecutorService diskThread;
  private final BatchTarget<R, C> target;

  private List<byte[]> frames = new ArrayList<>();
  private List<C> callbacks = new ArrayList<>();
  private boolean writing;
  private boolean startScheduled;

  /** Where batches go. */
  interface BatchTarget<R, C> {
    /** Prepares a write, on the owner thread; the returned task is run on the disk thread. */
    Supplier<R> prepare(List<byte[]> frames);

    /** Returns the result of a write that ended by an exception, on the disk thread. */
    R failure();

    /** Takes the result and calls the callbacks, in the order of the records. */
    void complete(R result, List<C> callbacks);
  }

  /**
   * Creates a writer and its thread.
   *
   * @param owner runs tasks on the owner thread
   * @param threadName the name of the disk thread
   */
  GroupCommitWriter(Executor owner, String threadName, BatchTarget<R, C> target) {
    this.owner = owner;
    this.target = target;
    this.diskThread =
        Executors.newSingleThreadExecutor(
            new ThreadFactoryBuilder().setNameFormat(threadName).setDaemon(true).build());
  }

  /** Adds a record to the next batch. */
  void append(byte[] frame, C callback) {
    frames.add(frame);
    callbacks.add(callback);
    if (!writing && !startScheduled) {
      startScheduled = true;
      owner.execute(this::startBatch);
    }
  }

  private void startBatch() {
    startScheduled = false;
    if (writing || frames.isEmpty()) {
      return;
    }
    writing = true;
    List<byte[]> batchFrames = frames;
    List<C> batchCallbacks = callbacks;
    frames = new ArrayList<>();
    callbacks = new ArrayList<>();
    Supplier<R> write = target.prepare(batchFrames);
    diskThread.execute(
        () -> {
          R result = resultOf(write);
          owner.execute(() -> complete(result, batchCallbacks));
        });
  }

  /**
   * Every failure is a result: a node whose disk thread ended unnoticed would count as a member
   * without storing anything.
   */
  private R resultOf(Supplier<R> write) {
    try {
      return write.get();
    } catch (RuntimeException | Error e) {
      LOG.error("event=journal_write_failed cause=\"{}\"", String.valueOf(e));
      return target.failure();
    }
  }

  private void complete(R result, List<C> batchCallbacks) {
    writing = false;
    target.complete(result, batchCallbacks);
    startBatch();
  }

  /** Runs another task on the disk thread, after the tasks before it. */
  void runOnDiskThread(Runnable task) {
    diskThread.execute(task);
  }

  /**
   * Closes the log and ends the disk thread, after the tasks before; nothing may be appended then.
   */
  void close(Closeable log) {
    diskThread.execute(() -> closeLoggingFailure(log));
    diskThread.shutdown();
  }

  private static void closeLoggingFailure(Closeable log) {
    try {
      log.close();
    } catch (IOException e) {
      LOG.warn("event=journal_close_failed cause=\"{}\"", String.valueOf(e));
    }
  }
}
