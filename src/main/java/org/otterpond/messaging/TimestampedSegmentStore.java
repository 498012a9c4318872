package org.otterpond.messaging;

import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;
import org.otterpond.runtime.NodeRuntime;
import org.otterpond.storage.SegmentStore;

/**
 * A segmented log in which timestamps precede the records, so that times which began before a
 * restart go on after it. Confined to the owner thread.
 */
final class TimestampedSegmentStore implements SegmentStore {
  /** Records that are appended within this time share a timestamp. */
  static final long TIMESTAMP_INTERVAL_MICROS = 50_000;

  private final SegmentStore log;
  private final NodeRuntime runtime;

  /** The last timestamp of this process, or null. */
  private LogTimestamp written;

  private long replayedAtMicros;

  TimestampedSegmentStore(SegmentStore log, NodeRuntime runtime) {
    this.log = log;
    this.runtime = runtime;
    this.replayedAtMicros = runtime.now();
  }

  /** Takes in a timestamp of the log. */
  void replay(WireRecord encoded) {
    try {
      LogTimestamp present = LogTimestamp.now(runtime);
      long elapsedMicros = LogTimestamp.of(encoded).elapsedMicros(present);
      replayedAtMicros =
          present.steadyMicros() - Math.max(0, elapsedMicros - TIMESTAMP_INTERVAL_MICROS);
    } catch (ProtocolException e) {
      runtime.event("event=journal_record_skipped kind=" + encoded.kind());
    }
  }

  /**
   * Returns when the records after the last replayed timestamp were written, on the clock of this
   * process: up to the interval of the timestamps later than they were, never earlier. Without a
   * timestamp that is the start of this process.
   */
  long replayedAtMicros() {
    return replayedAtMicros;
  }

  @Override
  public void append(WireRecord record, LongConsumer done) {
    boolean due =
        written == null || runtime.now() - written.steadyMicros() >= TIMESTAMP_INTERVAL_MICROS;
    if (due) {
      written = LogTimestamp.now(runtime);
      log.append(written.toWireRecord(), position -> {});
    }
    log.append(record, done);
  }

  @Override
  public void read(long position, Consumer<WireRecord> use) {
    log.read(position, use);
  }

  @Override
  public boolean nearlyFull() {
    return log.nearlyFull();
  }

  @Override
  public boolean oldestClosedFor(long micros) {
    return log.oldestClosedFor(micros);
  }

  @Override
  public long oldestEnd() {
    return log.oldestEnd();
  }

  @Override
  public void dropOldest() {
    log.dropOldest();
  }
}
