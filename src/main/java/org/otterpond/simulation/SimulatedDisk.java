package org.otterpond.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import org.otterpond.protocol.WireRecord;
import org.otterpond.protocol.WireRecordCodec;

/**
 * The disk of a core node with the guarantees of the write-ahead log: a loss of power keeps all
 * records that were synced and any prefix of those that were not.
 */
final class SimulatedDisk {
  private static final long WRITE_MICROS = 300;
  private static final long SYNC_MICROS = 1_500;
  private static final long STALL_POLL_MICROS = 50_000;
  private static final long FAILURE_MICROS = 1_000;
  private static final long UNSYNCED_REPLY_MICROS = 100;

  private final SimulatedWorld world;

  /** The identity of the disk; an empty disk has a new one. */
  String id;

  /** Injected fault: writes are not completed until it ends. */
  boolean stalled;

  /** Injected fault: writes fail. */
  boolean failsWrites;

  /** Defect planted by a test of the checkers: writes are acknowledged before they are synced. */
  boolean acknowledgesBeforeSync;

  private final List<byte[]> records = new ArrayList<>();
  private int syncedRecords;
  private long busyUntilMicros;

  /** Grows whenever the process or the data is lost, so that older writes are never completed. */
  private int generation;

  SimulatedDisk(SimulatedWorld world) {
    this.world = world;
    wipe();
  }

  /** Replaces the disk by an empty one. */
  void wipe() {
    records.clear();
    syncedRecords = 0;
    generation++;
    id = Long.toHexString(world.random.nextLong() >>> 1);
  }

  boolean isEmpty() {
    return records.isEmpty();
  }

  /** Appends a record; the callback says whether it is durable. */
  void append(WireRecord record, Consumer<Boolean> done) {
    if (failsWrites) {
      world.schedule(FAILURE_MICROS, () -> done.accept(false));
      return;
    }
    records.add(WireRecordCodec.encode(record));
    if (acknowledgesBeforeSync) {
      world.schedule(UNSYNCED_REPLY_MICROS, () -> done.accept(true));
      return;
    }
    busyUntilMicros = Math.max(busyUntilMicros, world.now()) + WRITE_MICROS;
    sync(generation, records.size(), done);
  }

  private void sync(int writeGeneration, int recordCount, Consumer<Boolean> done) {
    world.schedule(
        stalled ? STALL_POLL_MICROS : busyUntilMicros - world.now() + SYNC_MICROS,
        () -> {
          if (writeGeneration != generation) {
            return;
          }
          if (stalled) {
            sync(writeGeneration, recordCount, done);
            return;
          }
          syncedRecords = Math.max(syncedRecords, recordCount);
          done.accept(true);
        });
  }

  /** Drops a random number of the newest records that were not synced. */
  void losePower() {
    Random random = world.random;
    int unsynced = records.size() - syncedRecords;
    int kept = syncedRecords + (unsynced > 0 ? random.nextInt(unsynced + 1) : 0);
    if (acknowledgesBeforeSync) {
      kept = syncedRecords;
    }
    records.subList(kept, records.size()).clear();
    syncedRecords = records.size();
    generation++;
    stalled = false;
  }

  /** Keeps everything that was written, as the operating system goes on running. */
  void processKilled() {
    syncedRecords = acknowledgesBeforeSync ? syncedRecords : records.size();
    generation++;
  }

  /** Reads all records in the order in which they were appended. */
  List<WireRecord> read() {
    return records.stream().map(EncodedRecords::decode).toList();
  }
}
