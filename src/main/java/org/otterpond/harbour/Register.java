package org.otterpond.harbour;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The primary's table of workers: soft state, from beats and from what nodes tell again after a
 * takeover.
 */
final class Register {
  private static final long TOMBSTONE = 60_000_000;

  private final long silence;
  private final Map<String, Entry> entries = new LinkedHashMap<>();
  private long version;
  private long since;
  private long sum;
  private long sumVersion = -1;

  static final class Entry {
    Vessel vessel;
    long version;
    long seen;
  }

  Register(long heartbeatMicros) {
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
      entries.values().forEach(e -> sum += e.vessel.sum());
      sumVersion = version;
    }
    return sum;
  }

  Vessel get(String id) {
    Entry e = entries.get(id);
    return e == null ? null : e.vessel;
  }

  /** Takes a beat or a re-told record; true if the table changed. */
  boolean take(Vessel news, long now) {
    Entry e = entries.get(news.id());
    if (e == null) {
      e = new Entry();
      entries.put(news.id(), e);
      if (news.state() == VesselState.IN_SERVICE) {
        displace(news, now);
      }
    }
    Vessel merged = e.vessel == null ? news : e.vessel.merge(news);
    if (merged != e.vessel) {
      e.seen = now;
    }
    boolean changed = merged.differs(e.vessel);
    e.vessel = merged;
    if (changed) {
      e.version = ++version;
    }
    return changed;
  }

  /** Another life at this address must be over. */
  private void displace(Vessel news, long now) {
    for (Entry o : entries.values()) {
      if (o.vessel != null
          && !o.vessel.id().equals(news.id())
          && o.vessel.address().equals(news.address())
          && o.vessel.state().compareTo(VesselState.LOST) < 0
          && now - o.seen > silence / 3) {
        o.vessel = o.vessel.in(VesselState.LOST);
        o.version = ++version;
      }
    }
  }

  /** Whether another life has shown itself at the address of this one, which therefore is over. */
  boolean succeeded(Vessel over) {
    for (Entry e : entries.values()) {
      if (e.vessel.address().equals(over.address())
          && !e.vessel.id().equals(over.id())
          && e.vessel.state().compareTo(VesselState.LOST) < 0) {
        return true;
      }
    }
    return false;
  }

  /**
   * Marks silent workers as lost, unless so many of a service are silent that the silence must be
   * ours.
   */
  List<Vessel> expire(long now) {
    List<Vessel> lost = new ArrayList<>();
    Map<String, int[]> perService = new HashMap<>();
    for (Entry e : entries.values()) {
      if (e.vessel.state().compareTo(VesselState.LOST) < 0) {
        int[] n = perService.computeIfAbsent(e.vessel.service(), s -> new int[2]);
        n[0]++;
        n[1] += now - e.seen > silence ? 1 : 0;
      }
    }
    Iterator<Entry> it = entries.values().iterator();
    while (it.hasNext()) {
      Entry e = it.next();
      if (e.vessel.state().compareTo(VesselState.LOST) >= 0) {
        if (now - e.seen > TOMBSTONE) {
          it.remove();
        }
        continue;
      }
      int[] n = perService.get(e.vessel.service());
      boolean panic = n[1] * 2 > n[0];
      long bound = panic ? silence * 4 : silence;
      if (now - e.seen > bound && now - since > silence) {
        e.vessel = e.vessel.in(VesselState.LOST);
        e.version = ++version;
        lost.add(e.vessel);
      }
    }
    return lost;
  }

  List<Vessel> newerThan(long known) {
    List<Vessel> out = new ArrayList<>();
    for (Entry e : entries.values()) {
      if (e.version > known) {
        out.add(e.vessel);
      }
    }
    return out;
  }
}
