package org.otterpond.keel;

import com.google.common.util.concurrent.ThreadFactoryBuilder;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.Supplier;
import org.otterpond.logbook.LogbookException;
import org.otterpond.logbook.SegmentLog;
import org.otterpond.message.StoreDisk;
import org.otterpond.quay.Quay;
import org.otterpond.signal.Flag;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes and reads the message journal on a thread of its own: all that waits goes in one append
 * and one sync.
 */
final class SegmentPurser implements StoreDisk {
  private static final Logger LOG = LoggerFactory.getLogger(SegmentPurser.class);
  private static final long LARGEST_SEGMENT = 16L << 20;
  private static final int SEGMENTS = 24;
  private static final double FULL = 0.85;

  private final ExecutorService disk =
      Executors.newSingleThreadExecutor(
          new ThreadFactoryBuilder().setNameFormat("disk").setDaemon(true).build());
  private final Executor owner;
  private final SegmentLog log;
  private String diskId;
  private final long capacity;
  private final long segmentSize;
  private Supplier<List<Flag>> head = List::of;

  private List<byte[]> frames = new ArrayList<>();
  private List<LongConsumer> waiting = new ArrayList<>();
  private boolean writing;
  private boolean due;
  // As the disk thread last told.
  private long total;
  private long newestSize;
  private boolean sound;
  private long oldest;
  private long newest;
  private long oldestClosedAt;

  SegmentPurser(Executor owner, SegmentLog log, long capacityBytes) {
    this.owner = owner;
    this.log = log;
    this.capacity = capacityBytes;
    this.segmentSize = Math.max(1 << 20, Math.min(LARGEST_SEGMENT, capacityBytes / SEGMENTS));
  }

  /** Once the journal has been read. */
  void open(String ofDisk, Supplier<List<Flag>> headOf) {
    diskId = ofDisk;
    head = headOf;
    oldestClosedAt = Quay.now();
    look(log.totalSize(), log.newestSize(), log.sound(), log.oldest(), log.newest());
  }

  /** What a segment begins with. */
  static Flag identity(String diskId) {
    return new Flag("disk").with("disk", diskId);
  }

  private void look(
      long totalNow, long newestSizeNow, boolean soundNow, long oldestNow, long newestNow) {
    total = totalNow;
    newestSize = newestSizeNow;
    sound = soundNow;
    if (newest != newestNow || oldest != oldestNow) {
      // The oldest was closed when the next was begun, or before this process began.
      oldestClosedAt = oldest != oldestNow || oldest == newest ? Quay.now() : oldestClosedAt;
    }
    oldest = oldestNow;
    newest = newestNow;
  }

  @Override
  public void append(Flag record, LongConsumer done) {
    frames.add(SegmentLog.frame(record));
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
    List<LongConsumer> told = waiting;
    frames = new ArrayList<>();
    waiting = new ArrayList<>();
    List<Flag> fresh = null;
    if (!sound || newestSize > segmentSize) {
      fresh = new ArrayList<>(List.of(identity(diskId)));
      fresh.addAll(head.get());
    }
    List<Flag> begin = fresh;
    disk.execute(
        () -> {
          long[] places = write(begin, now);
          long t = log.totalSize();
          long n = log.newestSize();
          boolean s = log.sound();
          long o = log.oldest();
          long w = log.newest();
          owner.execute(
              () -> {
                writing = false;
                look(t, n, s, o, w);
                for (int i = 0; i < told.size(); i++) {
                  told.get(i).accept(places == null ? -1 : places[i]);
                }
                next();
              });
        });
  }

  private long[] write(List<Flag> begin, List<byte[]> now) {
    try {
      if (begin != null) {
        log.begin(begin);
      }
      return log.append(now);
    } catch (LogbookException e) {
      LOG.warn("event=journal_append_failed cause=\"{}\"", String.valueOf(e.getCause()));
      return null;
    } catch (RuntimeException | Error e) {
      LOG.error("event=journal_write_failed cause=\"{}\"", String.valueOf(e));
      return null;
    }
  }

  @Override
  public void read(long place, Consumer<Flag> use) {
    disk.execute(
        () -> {
          Flag f = read(place);
          owner.execute(() -> use.accept(f));
        });
  }

  private Flag read(long place) {
    try {
      return log.read(place);
    } catch (RuntimeException | Error e) {
      LOG.error("event=journal_read_failed cause=\"{}\"", String.valueOf(e));
      return null;
    }
  }

  @Override
  public boolean nearlyFull() {
    return total > capacity * FULL;
  }

  @Override
  public long oldestEnd() {
    return SegmentLog.startOf(oldest + 1);
  }

  @Override
  public boolean oldestClosedFor(long micros) {
    return newest > oldest && Quay.now() - oldestClosedAt > micros;
  }

  @Override
  public void dropOldest() {
    disk.execute(
        () -> {
          try {
            log.dropOldest();
          } catch (LogbookException e) {
            LOG.warn("event=segment_not_removed cause=\"{}\"", String.valueOf(e.getCause()));
          }
          long t = log.totalSize();
          long n = log.newestSize();
          boolean s = log.sound();
          long o = log.oldest();
          long w = log.newest();
          owner.execute(() -> look(t, n, s, o, w));
        });
  }
}
