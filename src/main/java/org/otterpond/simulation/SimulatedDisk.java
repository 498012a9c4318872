package org.otterpond.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;
import org.otterpond.protocol.WireRecordCodec;

/**
 * A disk with the journal's meaning: what was synced stays, of the rest some head may stay after a
 * loss of power.
 */
final class SimulatedDisk {
  private final SimulatedWorld world;
  String id;
  boolean stalled;
  boolean refusing;

  /**
   * A deliberate fault: answers before anything is safe, so that the checker can be seen to notice.
   */
  boolean lying;

  private final List<byte[]> records = new ArrayList<>();
  private int durable;
  private long busyUntil;
  private int generation;

  SimulatedDisk(SimulatedWorld world) {
    this.world = world;
    wipe();
  }

  void wipe() {
    records.clear();
    durable = 0;
    generation++;
    id = Long.toHexString(world.random.nextLong() >>> 1);
  }

  boolean blank() {
    return records.isEmpty();
  }

  void append(WireRecord f, Consumer<Boolean> done) {
    int g = generation;
    if (refusing) {
      world.at(1_000, () -> done.accept(false));
      return;
    }
    records.add(WireRecordCodec.encode(f));
    int upTo = records.size();
    if (lying) {
      world.at(100, () -> done.accept(true));
      return;
    }
    busyUntil = Math.max(busyUntil, world.now()) + 300;
    finish(g, upTo, done);
  }

  private void finish(int g, int upTo, Consumer<Boolean> done) {
    world.at(
        stalled ? 50_000 : busyUntil - world.now() + 1_500,
        () -> {
          if (g != generation) {
            return;
          }
          if (stalled) {
            finish(g, upTo, done);
            return;
          }
          durable = Math.max(durable, upTo);
          done.accept(true);
        });
  }

  void losePower() {
    Random r = world.random;
    int keep = durable + (records.size() > durable ? r.nextInt(records.size() - durable + 1) : 0);
    if (lying) {
      keep = durable;
    }
    while (records.size() > keep) {
      records.remove(records.size() - 1);
    }
    durable = records.size();
    generation++;
    stalled = false;
  }

  /** The process died, the machine did not: what was written is there. */
  void processDied() {
    durable = lying ? durable : records.size();
    generation++;
  }

  List<WireRecord> read() {
    List<WireRecord> out = new ArrayList<>();
    for (byte[] b : records) {
      try {
        out.add(WireRecordCodec.decode(b, 0, b.length));
      } catch (ProtocolException e) {
        throw new IllegalStateException(e);
      }
    }
    return out;
  }
}
