package org.otterpond.keyrange;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.otterpond.protocol.WireRecord;

/** The key ranges of all services as a node knows them. */
public final class KeyRangeTable {
  private final Map<String, TreeMap<Integer, KeyRange>> rangesByService = new HashMap<>();

  /**
   * Takes an entry of the replicated table.
   *
   * @return the service whose ranges changed, or null if the entry is not about a key range
   */
  public String take(WireRecord encoded) {
    if (!KeyRangeEntry.isKeyRange(encoded)) {
      return null;
    }
    KeyRangeEntry entry = KeyRangeEntry.decode(encoded);
    TreeMap<Integer, KeyRange> ranges =
        rangesByService.computeIfAbsent(entry.service(), service -> new TreeMap<>());
    if (entry instanceof KeyRange range) {
      ranges.put(range.from(), range);
    } else {
      ranges.remove(entry.from());
    }
    return entry.service();
  }

  /** Returns the range in which a key lies, or null if there is none. */
  public KeyRange at(String service, int key) {
    TreeMap<Integer, KeyRange> ranges = rangesByService.get(service);
    Map.Entry<Integer, KeyRange> range = ranges == null ? null : ranges.floorEntry(key);
    return range == null ? null : range.getValue();
  }
}
