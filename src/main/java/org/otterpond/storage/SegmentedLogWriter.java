package org.otterpond.storage;

import com.google.common.util.concurrent.ThreadFactoryBuilder;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.Supplier;
import org.otterpond.net.EventLoop;
import org.otterpond.protocol.WireRecord;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes and reads the message journal on a thread of its own: all that waits goes in one append
 * and one sync.
 */
public final class SegmentedLogWriter implements SegmentStore {
  private static final Logger LOG = LoggerFactory.getLogger(SegmentedLogWriter.class);
  private static final long LARGEST_SEGMENT = 16L << 20;
  private static final int SEGMENTS = 24;
  private static final double FULL = 0.85;

  private final ExecutorService disk =
      Executors.newSingleThreadExecutor(
          new ThreadFactoryBuilder().setNameFormat("disk").setDaemon(true).build());
  private final Executor owner;
  private final SegmentedLog log;
  private String diskId;
  private final long capacity;
  private final long segmentSize;
  private Supplier<List<WireRecord>> head = List::of;

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

  public SegmentedLogWriter(Executor owner, SegmentedLog log, long capacityBytes) {
    this.owner = owner;
    this.log = log;
    this.capacity = capacityBytes;
    this.segmentSize = Math.max(1 << 20, Math.min(LARGEST_SEGMENT, capacityBytes / SEGMENTS));
  }

  /** Once the journal has been read. */
  public void open(String ofDisk, Supplier<List<WireRecord>> headOf) {
    diskId = ofDisk;
    head = headOf;
    oldestClosedAt = EventLoop.now();
    look(log.totalSize(), log.newestSize(), log.sound(), log.oldest(), log.newest());
  }

  /** What a segment begins with. */
  public static WireRecord identity(String diskId) {
    return new WireRecord("disk").with("disk", diskId);
  }

  private void look(
      long totalNow, long newestSizeNow, boolean soundNow, long oldestNow, long newestNow) {
    total = totalNow;
    newestSize = newestSizeNow;
    sound = soundNow;
    if (newest != newestNow || oldest != oldestNow) {
      // The oldest was closed when the next was begun, or before this process began.
      oldestClosedAt = oldest != oldestNow || oldest == newest ? EventLoop.now() : oldestClosedAt;
    }
    oldest = oldestNow;
    newest = newestNow;
  }

  @Override
  public void append(WireRecord record, LongConsumer done) {
    frames.add(SegmentedLog.frame(record));
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
    List<WireRecord> fresh = null;
    if (!sound || newestSize > segmentSize) {
      fresh = new ArrayList<>(List.of(identity(diskId)));
      fresh.addAll(head.get());
    }
    List<WireRecord> begin = fresh;
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

  private long[] write(List<WireRecord> begin, List<byte[]> now) {
    try {
      if (begin != null) {
        log.begin(begin);
      }
      return log.append(now);
    } catch (StorageException e) {
      LOG.warn("event=journal_append_failed cause=\"{}\"", String.valueOf(e.getCause()));
      return null;
    } catch (RuntimeException | Error e) {
      LOG.error("event=journal_write_failed cause=\"{}\"", String.valueOf(e));
      return null;
    }
  }

  @Override
  public void read(long place, Consumer<WireRecord> use) {
    disk.execute(
        () -> {
          WireRecord f = read(place);
          owner.execute(() -> use.accept(f));
        });
  }

  private WireRecord read(long place) {
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
    return SegmentedLog.startOf(oldest + 1);
  }

  @Override
  public boolean oldestClosedFor(long micros) {
    return newest > oldest && EventLoop.now() - oldestClosedAt > micros;
  }

  @Override
  public void dropOldest() {
    disk.execute(
        () -> {
          try {
            log.dropOldest();
          } catch (StorageException e) {
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
