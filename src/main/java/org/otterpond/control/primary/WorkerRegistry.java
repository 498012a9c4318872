package org.otterpond.control.primary;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.otterpond.control.state.WorkerInstance;
import org.otterpond.control.state.WorkerState;

/**
 * The primary's table of workers: soft state, from beats and from what nodes tell again after a
 * takeover.
 */
final class WorkerRegistry {
  private static final long TOMBSTONE = 60_000_000;

  private final long silence;
  private final Map<String, Entry> entries = new LinkedHashMap<>();
  private long version;
  private long since;
  private long sum;
  private long sumVersion = -1;

  static final class Entry {
    WorkerInstance worker;
    long version;
    long seen;
  }

  WorkerRegistry(long heartbeatMicros) {
    this.silence = heartbeatMicros * 3 + heartbeatMicros / 2;
  }

  void reset(long now) {
    entries.clear();
    version = 1;
    since = now;
  }

  long version() {
    return version;
  }

  /** A sum over the workers alive; another table with the same sum is the same. */
  long sum() {
    if (sumVersion != version) {
      sum = 0;
      entries.values().forEach(e -> sum += e.worker.sum());
      sumVersion = version;
    }
    return sum;
  }

  WorkerInstance get(String id) {
    Entry e = entries.get(id);
    return e == null ? null : e.worker;
  }

  /** Takes a beat or a re-told record; true if the table changed. */
  boolean take(WorkerInstance news, long now) {
    Entry e = entries.get(news.id());
    if (e == null) {
      e = new Entry();
      entries.put(news.id(), e);
      if (news.state() == WorkerState.IN_SERVICE) {
        displace(news, now);
      }
    }
    WorkerInstance merged = e.worker == null ? news : e.worker.merge(news);
    if (merged != e.worker) {
      e.seen = now;
    }
    boolean changed = merged.differs(e.worker);
    e.worker = merged;
    if (changed) {
      e.version = ++version;
    }
    return changed;
  }

  /** Another life at this address must be over. */
  private void displace(WorkerInstance news, long now) {
    for (Entry o : entries.values()) {
      if (o.worker != null
          && !o.worker.id().equals(news.id())
          && o.worker.address().equals(news.address())
          && o.worker.state().compareTo(WorkerState.LOST) < 0
          && now - o.seen > silence / 3) {
        o.worker = o.worker.in(WorkerState.LOST);
        o.version = ++version;
      }
    }
  }

  /** Whether another life has shown itself at the address of this one, which therefore is over. */
  boolean succeeded(WorkerInstance over) {
    for (Entry e : entries.values()) {
      if (e.worker.address().equals(over.address())
          && !e.worker.id().equals(over.id())
          && e.worker.state().compareTo(WorkerState.LOST) < 0) {
        return true;
      }
    }
    return false;
  }

  /**
   * Marks silent workers as lost, unless so many of a service are silent that the silence must be
   * ours.
   */
  List<WorkerInstance> expire(long now) {
    List<WorkerInstance> lost = new ArrayList<>();
    Map<String, int[]> perService = new HashMap<>();
    for (Entry e : entries.values()) {
      if (e.worker.state().compareTo(WorkerState.LOST) < 0) {
        int[] n = perService.computeIfAbsent(e.worker.service(), s -> new int[2]);
        n[0]++;
        n[1] += now - e.seen > silence ? 1 : 0;
      }
    }
    Iterator<Entry> it = entries.values().iterator();
    while (it.hasNext()) {
      Entry e = it.next();
      if (e.worker.state().compareTo(WorkerState.LOST) >= 0) {
        if (now - e.seen > TOMBSTONE) {
          it.remove();
        }
        continue;
      }
      int[] n = perService.get(e.worker.service());
      boolean panic = n[1] * 2 > n[0];
      long bound = panic ? silence * 4 : silence;
      if (now - e.seen > bound && now - since > silence) {
        e.worker = e.worker.in(WorkerState.LOST);
        e.version = ++version;
        lost.add(e.worker);
      }
    }
    return lost;
  }

  List<WorkerInstance> newerThan(long known) {
    List<WorkerInstance> out = new ArrayList<>();
    for (Entry e : entries.values()) {
      if (e.version > known) {
        out.add(e.worker);
      }
    }
    return out;
  }
}
