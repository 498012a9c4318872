package org.otterpond.messaging;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.otterpond.control.epoch.ManualRuntime;
import org.otterpond.protocol.WireRecord;
import org.otterpond.storage.SegmentStore;
import org.otterpond.storage.SegmentedLog;
import org.otterpond.storage.StorageException;

/** A segmented log as a store's disk: written at once, answered by the clock of the test. */
final class InMemorySegmentStore implements SegmentStore {
  private final SegmentedLog log;
  private final ManualRuntime runtime;

  /** Whether the oldest segment counts as closed for long enough to be cleaned. */
  boolean oldestMayGo;

  final List<WireRecord> appended = new ArrayList<>();

  InMemorySegmentStore(SegmentedLog log, ManualRuntime runtime) {
    this.log = log;
    this.runtime = runtime;
  }

  @Override
  public void append(WireRecord record, LongConsumer done) {
    appended.add(record);
    try {
      long position = log.append(List.of(SegmentedLog.frame(record)))[0];
      runtime.after(0, () -> done.accept(position));
    } catch (StorageException e) {
      throw new IllegalStateException(e);
    }
  }

  @Override
  public void read(long position, Consumer<WireRecord> use) {
    try {
      use.accept(log.read(position));
    } catch (StorageException e) {
      throw new IllegalStateException(e);
    }
  }

  @Override
  public boolean nearlyFull() {
    return false;
  }

  @Override
  public boolean oldestClosedFor(long micros) {
    return oldestMayGo && log.newest() > log.oldest();
  }

  @Override
  public long oldestEnd() {
    return SegmentedLog.startOf(log.oldest() + 1);
  }

  @Override
  public void dropOldest() {
    try {
      log.dropOldest();
    } catch (StorageException e) {
      throw new IllegalStateException(e);
    }
  }
}
