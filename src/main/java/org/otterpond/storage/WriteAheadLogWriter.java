package org.otterpond.storage;

import com.google.common.util.concurrent.ThreadFactoryBuilder;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.otterpond.protocol.WireRecord;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Writes the journal on a thread of its own: all that waits goes in one append and one sync. */
public final class WriteAheadLogWriter {
  private static final Logger LOG = LoggerFactory.getLogger(WriteAheadLogWriter.class);

  private final ExecutorService disk =
      Executors.newSingleThreadExecutor(
          new ThreadFactoryBuilder().setNameFormat("disk").setDaemon(true).build());
  private final Executor owner;
  private final WriteAheadLog log;
  private final String diskId;
  private final Supplier<List<WireRecord>> base;

  private List<byte[]> frames = new ArrayList<>();
  private List<Consumer<Boolean>> waiting = new ArrayList<>();
  private boolean writing;
  private boolean due;
  private final long capacity;
  private long rotateAt;

  public WriteAheadLogWriter(
      Executor owner,
      WriteAheadLog log,
      String diskId,
      Supplier<List<WireRecord>> base,
      long capacityBytes) {
    this.capacity = capacityBytes;
    this.rotateAt = WriteAheadLog.rotateAt(0, capacityBytes);
    this.owner = owner;
    this.log = log;
    this.diskId = diskId;
    this.base = base;
  }

  public void journal(WireRecord record, Consumer<Boolean> done) {
    frames.add(WriteAheadLog.frame(record));
    waiting.add(done);
    if (!writing && !due) {
      due = true;
      owner.execute(this::next);
    }
  }

  private void next() {
    due = false;
    if (writing || frames.isEmpty()) {
      return;
    }
    writing = true;
    List<byte[]> now = frames;
    List<Consumer<Boolean>> told = waiting;
    frames = new ArrayList<>();
    waiting = new ArrayList<>();
    // What is in memory already includes the records that wait, so a fresh file stands for them
    // too.
    List<WireRecord> fresh = log.size() > rotateAt || !log.sound() ? base.get() : null;
    disk.execute(
        () -> {
          boolean ok = written(now, fresh);
          owner.execute(
              () -> {
                writing = false;
                told.forEach(c -> c.accept(ok));
                next();
              });
        });
  }

  /**
   * Whatever comes of it is an answer: a node whose writer ended unseen would count as a member and
   * hold nothing.
   */
  private boolean written(List<byte[]> now, List<WireRecord> fresh) {
    try {
      return write(now, fresh);
    } catch (RuntimeException | Error e) {
      LOG.error("event=journal_write_failed cause=\"{}\"", String.valueOf(e));
      return false;
    }
  }

  private boolean write(List<byte[]> now, List<WireRecord> fresh) {
    if (fresh != null) {
      try {
        log.rotate(diskId, fresh);
        rotateAt = WriteAheadLog.rotateAt(log.size(), capacity);
        return true;
      } catch (StorageException e) {
        LOG.warn("event=journal_rotation_failed cause=\"{}\"", String.valueOf(e.getCause()));
        return false;
      }
    }
    try {
      log.append(now);
      return true;
    } catch (StorageException e) {
      LOG.warn("event=journal_append_failed cause=\"{}\"", String.valueOf(e.getCause()));
      return false;
    }
  }
}
