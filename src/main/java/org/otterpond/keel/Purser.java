package org.otterpond.keel;

import com.google.common.util.concurrent.ThreadFactoryBuilder;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.otterpond.logbook.Logbook;
import org.otterpond.logbook.LogbookException;
import org.otterpond.signal.Flag;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Writes the journal on a thread of its own: all that waits goes in one append and one sync. */
final class Purser {
  private static final Logger LOG = LoggerFactory.getLogger(Purser.class);

  private final ExecutorService disk =
      Executors.newSingleThreadExecutor(
          new ThreadFactoryBuilder().setNameFormat("disk").setDaemon(true).build());
  private final Executor owner;
  private final Logbook logbook;
  private final String diskId;
  private final Supplier<List<Flag>> base;

  private List<byte[]> frames = new ArrayList<>();
  private List<Consumer<Boolean>> waiting = new ArrayList<>();
  private boolean writing;
  private boolean due;
  private final long capacity;
  private long rotateAt;

  Purser(
      Executor owner,
      Logbook logbook,
      String diskId,
      Supplier<List<Flag>> base,
      long capacityBytes) {
    this.capacity = capacityBytes;
    this.rotateAt = Logbook.rotateAt(0, capacityBytes);
    this.owner = owner;
    this.logbook = logbook;
    this.diskId = diskId;
    this.base = base;
  }

  void journal(Flag record, Consumer<Boolean> done) {
    frames.add(Logbook.frame(record));
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
    List<Flag> fresh = logbook.size() > rotateAt || !logbook.sound() ? base.get() : null;
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
  private boolean written(List<byte[]> now, List<Flag> fresh) {
    try {
      return write(now, fresh);
    } catch (RuntimeException | Error e) {
      LOG.error("event=journal_write_failed cause=\"{}\"", String.valueOf(e));
      return false;
    }
  }

  private boolean write(List<byte[]> now, List<Flag> fresh) {
    if (fresh != null) {
      try {
        logbook.rotate(diskId, fresh);
        rotateAt = Logbook.rotateAt(logbook.size(), capacity);
        return true;
      } catch (LogbookException e) {
        LOG.warn("event=journal_rotation_failed cause=\"{}\"", String.valueOf(e.getCause()));
        return false;
      }
    }
    try {
      logbook.append(now);
      return true;
    } catch (LogbookException e) {
      LOG.warn("event=journal_append_failed cause=\"{}\"", String.valueOf(e.getCause()));
      return false;
    }
  }
}
