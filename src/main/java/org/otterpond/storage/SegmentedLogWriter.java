package org.otterpond.storage;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.Supplier;
import org.otterpond.protocol.WireRecord;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes and reads the segmented log on a disk thread; writes by group commit. Called on the owner
 * thread; callbacks run there.
 */
public final class SegmentedLogWriter implements SegmentStore, AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(SegmentedLogWriter.class);
  private static final String THREAD_NAME = "segmented-log";
  private static final long MIN_SEGMENT_BYTES = 1L << 20;
  private static final long MAX_SEGMENT_BYTES = 16L << 20;

  /** Into so many segments a small disk is divided. */
  private static final int SEGMENTS_PER_DISK = 24;

  private static final double NEARLY_FULL_FRACTION = 0.85;
  private static final long NANOS_PER_MICRO = 1_000;

  /** In place of the position of a record that could not be written. */
  private static final long NOT_WRITTEN = -1;

  private final Executor owner;
  private final SegmentedLog log;
  private final long capacityBytes;
  private final long segmentBytes;
  private final GroupCommitWriter<AppendResult, LongConsumer> batches;
  private String diskId;
  private Supplier<List<WireRecord>> segmentHead = List::of;

  /** As the disk thread last reported it. */
  private LogStatus status = new LogStatus(0, 0, false, 0, 0);

  private final SegmentAges ages = new SegmentAges();

  /** The state of the log after a task on the disk thread. */
  private record LogStatus(
      long totalBytes, long newestBytes, boolean sound, long oldest, long newest) {}

  /** The result of a batch. */
  private static final class AppendResult {
    /** The positions of the records; null if they could not be written. */
    final long[] positions;

    final LogStatus status;

    AppendResult(long[] positions, LogStatus status) {
      this.positions = positions;
      this.status = status;
    }
  }

  /**
   * Creates a writer and its thread.
   *
   * @param owner runs tasks on the owner thread
   * @param log the log; from {@link #open} on only this writer uses it
   * @param capacityBytes the capacity of the disk
   */
  public SegmentedLogWriter(Executor owner, SegmentedLog log, long capacityBytes) {
    this.owner = owner;
    this.log = log;
    this.capacityBytes = capacityBytes;
    this.segmentBytes =
        Math.max(MIN_SEGMENT_BYTES, Math.min(MAX_SEGMENT_BYTES, capacityBytes / SEGMENTS_PER_DISK));
    this.batches = new GroupCommitWriter<>(owner, THREAD_NAME, new Batches());
  }

  /**
   * Begins to write; called once the log has been opened.
   *
   * @param diskId the identity of the disk
   * @param segmentHead gives the records that each segment begins with, behind the identity; called
   *     on the owner thread
   */
  public void open(String diskId, Supplier<List<WireRecord>> segmentHead) {
    this.diskId = diskId;
    this.segmentHead = segmentHead;
    update(currentStatus());
  }

  private static long nowMicros() {
    return System.nanoTime() / NANOS_PER_MICRO;
  }

  /** Returns the first record of a segment. */
  public static WireRecord identity(String diskId) {
    return new DiskIdentity(diskId).toWireRecord();
  }

  private LogStatus currentStatus() {
    return new LogStatus(
        log.totalSize(), log.newestSize(), log.sound(), log.oldest(), log.newest());
  }

  private void update(LogStatus current) {
    if (status.newest != current.newest || status.oldest != current.oldest) {
      ages.update(current.oldest, current.newest, nowMicros());
    }
    status = current;
  }

  @Override
  public void append(WireRecord record, LongConsumer done) {
    batches.append(SegmentedLog.frame(record), done);
  }

  @Override
  public void read(long position, Consumer<WireRecord> use) {
    batches.runOnDiskThread(
        () -> {
          WireRecord record = readOrNull(position);
          owner.execute(() -> use.accept(record));
        });
  }

  private WireRecord readOrNull(long position) {
    try {
      return log.read(position);
    } catch (StorageException | RuntimeException | Error e) {
      LOG.error("event=journal_read_failed cause=\"{}\"", String.valueOf(e));
      return null;
    }
  }

  @Override
  public boolean nearlyFull() {
    return status.totalBytes > capacityBytes * NEARLY_FULL_FRACTION;
  }

  @Override
  public long oldestEnd() {
    return SegmentedLog.startOf(status.oldest + 1);
  }

  @Override
  public boolean oldestClosedFor(long micros) {
    return ages.isOldestClosedFor(micros, nowMicros());
  }

  @Override
  public void dropOldest() {
    batches.runOnDiskThread(
        () -> {
          try {
            log.dropOldest();
          } catch (StorageException e) {
            LOG.warn("event=segment_not_removed cause=\"{}\"", String.valueOf(e.getCause()));
          }
          LogStatus current = currentStatus();
          owner.execute(() -> update(current));
        });
  }

  /** Ends the disk thread after the tasks that have begun, and closes the log. */
  @Override
  public void close() {
    batches.close(log);
  }

  /** Appends frames, to a new segment if there are records for one to begin with. */
  private AppendResult write(List<byte[]> frames, List<WireRecord> newSegment) {
    try {
      if (newSegment != null) {
        log.begin(newSegment);
      }
      long[] positions = log.append(frames);
      return new AppendResult(positions, currentStatus());
    } catch (StorageException e) {
      LOG.warn("event=journal_append_failed cause=\"{}\"", String.valueOf(e.getCause()));
      return new AppendResult(null, currentStatus());
    }
  }

  private final class Batches implements GroupCommitWriter.BatchTarget<AppendResult, LongConsumer> {
    @Override
    public Supplier<AppendResult> prepare(List<byte[]> frames) {
      boolean segmentNeeded = !status.sound || status.newestBytes > segmentBytes;
      List<WireRecord> newSegment = segmentNeeded ? newSegmentRecords() : null;
      return () -> write(frames, newSegment);
    }

    private List<WireRecord> newSegmentRecords() {
      List<WireRecord> records = new ArrayList<>();
      records.add(identity(diskId));
      records.addAll(segmentHead.get());
      return records;
    }

    @Override
    public AppendResult failure() {
      return new AppendResult(null, currentStatus());
    }

    @Override
    public void complete(AppendResult result, List<LongConsumer> callbacks) {
      update(result.status);
      long[] positions = result.positions;
      for (int i = 0; i < callbacks.size(); i++) {
        callbacks.get(i).accept(positions == null ? NOT_WRITTEN : positions[i]);
      }
    }
  }
}
