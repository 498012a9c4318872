package org.otterpond.simulation;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.otterpond.protocol.WireRecord;
import org.otterpond.protocol.WireRecordCodec;
import org.otterpond.storage.SegmentStore;

/**
 * The disk of a storage node, a segmented log of a single segment: a loss of power keeps all
 * records that were synced and any prefix of those that were not.
 */
final class SimulatedSegmentStore {
  private static final long WRITE_MICROS = 100;
  private static final long SYNC_MICROS = 800;
  private static final long READ_MICROS = 500;
  private static final long UNSYNCED_REPLY_MICROS = 100;

  private final SimulatedWorld world;

  /** The identity of the disk; an empty disk has a new one. */
  String id;

  /** Defect planted by a test of the checkers: writes are acknowledged before they are synced. */
  boolean acknowledgesBeforeSync;

  private final TreeMap<Long, byte[]> records = new TreeMap<>();
  private long nextOffset;

  /** The offset behind the last synced record. */
  private long syncedOffset;

  private long busyUntilMicros;

  /** Grows whenever the process or the data is lost, so that older writes are never completed. */
  private int generation;

  SimulatedSegmentStore(SimulatedWorld world) {
    this.world = world;
    wipe();
  }

  /** Replaces the disk by an empty one. */
  void wipe() {
    records.clear();
    nextOffset = 0;
    syncedOffset = 0;
    generation++;
    id = "s" + Long.toHexString(world.random.nextLong() >>> 1);
  }

  /** Drops a random number of the newest records that were not synced. */
  void losePower() {
    int unsynced = (int) (nextOffset - syncedOffset);
    long kept = syncedOffset + (unsynced > 0 ? world.random.nextInt(unsynced + 1) : 0);
    if (acknowledgesBeforeSync) {
      kept = syncedOffset;
    }
    records.tailMap(kept, true).clear();
    nextOffset = kept;
    syncedOffset = kept;
    generation++;
  }

  /** Keeps everything that was written, as the operating system goes on running. */
  void processKilled() {
    syncedOffset = acknowledgesBeforeSync ? syncedOffset : nextOffset;
    generation++;
  }

  /** Reads all records, each under its offset, in the order in which they were appended. */
  Map<Long, WireRecord> read() {
    Map<Long, WireRecord> decoded = new LinkedHashMap<>();
    records.forEach((offset, bytes) -> decoded.put(offset, EncodedRecords.decode(bytes)));
    return decoded;
  }

  /**
   * The store as one process sees it.
   *
   * @param ownerThread runs the callbacks of the store on the owner thread of the process
   */
  SegmentStore attach(Consumer<Runnable> ownerThread) {
    return new AttachedStore(ownerThread);
  }

  private final class AttachedStore implements SegmentStore {
    private final Consumer<Runnable> ownerThread;

    AttachedStore(Consumer<Runnable> ownerThread) {
      this.ownerThread = ownerThread;
    }

    @Override
    public void append(WireRecord record, LongConsumer done) {
      final int writeGeneration = generation;
      long offset = nextOffset++;
      records.put(offset, WireRecordCodec.encode(record));
      busyUntilMicros = Math.max(busyUntilMicros, world.now()) + WRITE_MICROS;
      world.schedule(
          acknowledgesBeforeSync
              ? UNSYNCED_REPLY_MICROS
              : busyUntilMicros - world.now() + SYNC_MICROS,
          () -> {
            if (writeGeneration == generation) {
              syncedOffset =
                  acknowledgesBeforeSync ? syncedOffset : Math.max(syncedOffset, offset + 1);
              ownerThread.accept(() -> done.accept(offset));
            }
          });
    }

    @Override
    public void read(long offset, Consumer<WireRecord> use) {
      byte[] bytes = records.get(offset);
      world.schedule(
          READ_MICROS,
          () ->
              ownerThread.accept(
                  () -> use.accept(bytes == null ? null : EncodedRecords.decode(bytes))));
    }

    @Override
    public boolean nearlyFull() {
      return false;
    }

    @Override
    public boolean oldestClosedFor(long micros) {
      return false;
    }

    @Override
    public long oldestEnd() {
      return 0;
    }

    @Override
    public void dropOldest() {
      throw new IllegalStateException("The simulated store has a single segment");
    }
  }
}
