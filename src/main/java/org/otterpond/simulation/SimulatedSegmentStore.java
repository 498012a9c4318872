package org.otterpond.simulation;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;
import org.otterpond.protocol.WireRecordCodec;
import org.otterpond.storage.SegmentStore;

/**
 * The disk of a storage machine: what was synced stays, of the rest some head may stay after a loss
 * of power.
 */
final class SimulatedSegmentStore {
  private final SimulatedWorld world;
  String id;

  /** A deliberate fault: answers before anything is safe. */
  boolean lying;

  private final TreeMap<Long, byte[]> records = new TreeMap<>();
  private long next;
  private long durable;
  private int generation;
  private long busyUntil;

  SimulatedSegmentStore(SimulatedWorld world) {
    this.world = world;
    wipe();
  }

  void wipe() {
    records.clear();
    next = 0;
    durable = 0;
    generation++;
    id = "s" + Long.toHexString(world.random.nextLong() >>> 1);
  }

  void losePower() {
    long keep = durable + (next > durable ? world.random.nextInt((int) (next - durable) + 1) : 0);
    if (lying) {
      keep = durable;
    }
    records.tailMap(keep, true).clear();
    next = keep;
    durable = keep;
    generation++;
  }

  void processDied() {
    durable = lying ? durable : next;
    generation++;
  }

  Map<Long, WireRecord> read() {
    Map<Long, WireRecord> out = new LinkedHashMap<>();
    records.forEach((place, b) -> out.put(place, decode(b)));
    return out;
  }

  private static WireRecord decode(byte[] b) {
    try {
      return WireRecordCodec.decode(b, 0, b.length);
    } catch (ProtocolException e) {
      throw new IllegalStateException(e);
    }
  }

  /** As one life of a process sees it. */
  SegmentStore attached(Consumer<Runnable> perform) {
    return new SegmentStore() {
      @Override
      public void append(WireRecord record, LongConsumer done) {
        int g = generation;
        long place = next++;
        records.put(place, WireRecordCodec.encode(record));
        busyUntil = Math.max(busyUntil, world.now()) + 100;
        world.at(
            lying ? 100 : busyUntil - world.now() + 800,
            () -> {
              if (g == generation) {
                durable = lying ? durable : Math.max(durable, place + 1);
                perform.accept(() -> done.accept(place));
              }
            });
      }

      @Override
      public void read(long place, Consumer<WireRecord> use) {
        byte[] b = records.get(place);
        world.at(500, () -> perform.accept(() -> use.accept(b == null ? null : decode(b))));
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
        throw new IllegalStateException("one segment only");
      }
    };
  }
}
