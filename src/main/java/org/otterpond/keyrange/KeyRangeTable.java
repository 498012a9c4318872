package org.otterpond.keyrange;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.otterpond.protocol.WireRecord;

/** The ranges of all services, as a node knows them. */
public final class KeyRangeTable {
  private final Map<String, TreeMap<Integer, KeyRange>> services = new HashMap<>();

  /**
   * Takes what was written under a key; the service whose ranges changed, or null if it is about
   * none.
   */
  public String take(WireRecord entry) {
    if (!entry.text("key").startsWith(KeyRange.PREFIX)) {
      return null;
    }
    String service = entry.text("service");
    TreeMap<Integer, KeyRange> ranges = services.computeIfAbsent(service, s -> new TreeMap<>());
    if (entry.truth("gone")) {
      ranges.remove((int) entry.number("from"));
    } else {
      KeyRange r = KeyRange.of(entry);
      ranges.put(r.from(), r);
    }
    return service;
  }

  /** The range in which a key lies, or null. */
  public KeyRange at(String service, int key) {
    TreeMap<Integer, KeyRange> ranges = services.get(service);
    Map.Entry<Integer, KeyRange> e = ranges == null ? null : ranges.floorEntry(key);
    return e == null ? null : e.getValue();
  }
}
