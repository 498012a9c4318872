package org.otterpond.storage;

import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.otterpond.protocol.WireRecord;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes the write-ahead log on a disk thread, by group commit, and rotates it when it has grown.
 * Called on the owner thread; callbacks run there.
 */
public final class WriteAheadLogWriter implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(WriteAheadLogWriter.class);
  private static final String THREAD_NAME = "write-ahead-log";

  private final WriteAheadLog log;
  private final String diskId;
  private final Supplier<List<WireRecord>> base;
  private final long capacityBytes;
  private final GroupCommitWriter<Boolean, Consumer<Boolean>> batches;
  private long rotationBytes;

  /**
   * Creates a writer and its thread.
   *
   * @param owner runs tasks on the owner thread
   * @param log the log, opened; from here on only this writer uses it
   * @param diskId the identity of the disk, which each file begins with
   * @param base gives the records that stand for everything appended so far; called on the owner
   *     thread
   * @param capacityBytes the capacity of the disk
   */
  public WriteAheadLogWriter(
      Executor owner,
      WriteAheadLog log,
      String diskId,
      Supplier<List<WireRecord>> base,
      long capacityBytes) {
    this.log = log;
    this.diskId = diskId;
    this.base = base;
    this.capacityBytes = capacityBytes;
    this.rotationBytes = WriteAheadLog.rotateAt(0, capacityBytes);
    this.batches = new GroupCommitWriter<>(owner, THREAD_NAME, new Batches());
  }

  /**
   * Appends a record. Its change must be part of the base already.
   *
   * @param done called with true once the record is durable, with false if it could not be written
   */
  public void journal(WireRecord record, Consumer<Boolean> done) {
    batches.append(WriteAheadLog.frame(record), done);
  }

  /** Ends the disk thread after the writes that have begun, and closes the log. */
  @Override
  public void close() {
    batches.close(log);
  }

  private boolean append(List<byte[]> frames) {
    try {
      log.append(frames);
      return true;
    } catch (StorageException e) {
      LOG.warn("event=journal_append_failed cause=\"{}\"", String.valueOf(e.getCause()));
      return false;
    }
  }

  private boolean rotate(List<WireRecord> records) {
    try {
      log.rotate(diskId, records);
      rotationBytes = WriteAheadLog.rotateAt(log.size(), capacityBytes);
      return true;
    } catch (StorageException e) {
      LOG.warn("event=journal_rotation_failed cause=\"{}\"", String.valueOf(e.getCause()));
      return false;
    }
  }

  private final class Batches implements GroupCommitWriter.BatchTarget<Boolean, Consumer<Boolean>> {
    @Override
    public Supplier<Boolean> prepare(List<byte[]> frames) {
      if (log.size() > rotationBytes || !log.sound()) {
        // The base includes the records that wait, so the new file stands for them too.
        List<WireRecord> records = base.get();
        return () -> rotate(records);
      }
      return () -> append(frames);
    }

    @Override
    public Boolean failure() {
      return false;
    }

    @Override
    public void complete(Boolean written, List<Consumer<Boolean>> callbacks) {
      callbacks.forEach(callback -> callback.accept(written));
    }
  }
}
