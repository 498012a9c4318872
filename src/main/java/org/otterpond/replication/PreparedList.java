package org.otterpond.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongConsumer;
import org.otterpond.protocol.WireRecord;

/**
 * The prepared list of one replica and its committed point. Entries are kept in memory until they
 * are committed; each is in the journal before it counts as prepared here.
 */
final class PreparedList {
  private record Entry(WireRecord what, long[] place) {}

  private final int group;
  private final ReplicaGroupRuntime host;
  private final StateMachine machine;
  private final TreeMap<Long, Entry> pending = new TreeMap<>();
  private long last;
  private long durable;
  private long committed;

  /**
   * Told apart, so that the journal's answer to an entry that was cut off is not taken for its
   * successor's.
   */
  private long generation;

  /** Begun from what a segment said of the ones before it. */
  private boolean fromMeta;

  private boolean gap;

  PreparedList(int group, ReplicaGroupRuntime host, StateMachine machine) {
    this.group = group;
    this.host = host;
    this.machine = machine;
  }

  long last() {
    return last;
  }

  /** All up to here is durable on this disk. */
  long durable() {
    return durable;
  }

  long committed() {
    return committed;
  }

  /** Those after a serial number, at most so many. */
  List<WireRecord> after(long serial, int most) {
    List<WireRecord> out = new ArrayList<>();
    for (Map.Entry<Long, Entry> e : pending.tailMap(serial, false).entrySet()) {
      if (out.size() >= most) {
        break;
      }
      out.add(e.getValue().what());
    }
    return out;
  }

  /** Adds the next entry; the task runs once it is durable. */
  void insert(WireRecord entry, long version, Runnable kept, Runnable failed) {
    long serial = ++last;
    Entry e = new Entry(entry, new long[] {-1});
    pending.put(serial, e);
    long g = generation;
    host.journal(
        new WireRecord("prep")
            .with("group", group)
            .with("version", version)
            .with("serial", serial)
            .with("point", committed)
            .with("entry", entry),
        place -> {
          if (place < 0) {
            failed.run();
            return;
          }
          e.place()[0] = place;
          if (g == generation || serial <= last && pending.get(serial) == e) {
            durable = Math.max(durable, serial);
            kept.run();
          }
        });
  }

  /** Moves the committed point, as far as this disk holds the entries; applies what it passes. */
  void commit(long point) {
    long to = Math.min(point, durable);
    while (committed < to) {
      Entry e = pending.remove(committed + 1);
      committed++;
      if (e != null) {
        machine.apply(e.what(), committed, e.place()[0]);
      }
    }
  }

  /** Keeps only what stands up to the serial number. */
  void truncate(long to) {
    if (last > to) {
      generation++;
      pending.tailMap(to, false).clear();
      last = to;
      durable = Math.min(durable, to);
      host.journal(new WireRecord("trunc").with("group", group).with("serial", to), place -> {});
    }
  }

  /** Begins anew at a point, without anything. */
  void reset(long point) {
    generation++;
    pending.clear();
    last = point;
    durable = point;
    committed = point;
  }

  // ---------------------------------------------------------------- replay

  /** An entry as the journal has it. */
  void replayed(long serial, WireRecord entry, long point, long place) {
    if (serial <= committed) {
      return;
    }
    if (serial > last + 1 && fromMeta) {
      // The ones between were committed long before the segment that held them went.
      reset(serial - 1);
    }
    gap |= serial > last + 1;
    fromMeta = false;
    pending.tailMap(serial, true).clear();
    pending.put(serial, new Entry(entry, new long[] {place}));
    last = serial;
    durable = serial;
    commit(point);
  }

  void replayedMeta(long point) {
    if (last < point) {
      reset(point);
      fromMeta = true;
    }
  }

  /** Whether an entry is missing, as after a disk that refused a write. */
  boolean gap() {
    return gap;
  }

  void replayedTruncation(long to) {
    pending.tailMap(to, false).clear();
    last = Math.min(last, Math.max(to, committed));
    durable = last;
  }

  /** What a fresh segment of the journal must say of this list, so that older ones can go. */
  WireRecord meta(String kind) {
    return new WireRecord(kind).with("group", group).with("point", committed);
  }

  /**
   * Writes the entries that are not committed once more, for a journal whose beginning is to go.
   */
  void carry(long version, LongConsumer each) {
    pending.forEach(
        (serial, e) ->
            host.journal(
                new WireRecord("prep")
                    .with("group", group)
                    .with("version", version)
                    .with("serial", serial)
                    .with("point", committed)
                    .with("entry", e.what()),
                place -> {
                  e.place()[0] = place < 0 ? e.place()[0] : place;
                  each.accept(place);
                }));
  }
}
