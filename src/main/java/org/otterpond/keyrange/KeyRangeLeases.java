package org.otterpond.keyrange;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;

/** The leases of all services, by service and first key. */
final class KeyRangeLeases {
  private final Map<String, NavigableMap<Integer, KeyRangeLease>> leasesByService = new HashMap<>();

  private NavigableMap<Integer, KeyRangeLease> leases(String service) {
    return leasesByService.computeIfAbsent(service, name -> new TreeMap<>());
  }

  void clear() {
    leasesByService.clear();
  }

  void put(KeyRangeLease lease) {
    leases(lease.service).put(lease.firstKey, lease);
  }

  void remove(KeyRangeLease lease) {
    leases(lease.service).remove(lease.firstKey);
  }

  /** Returns whether the lease is in the table; an older one must change nothing any more. */
  boolean contains(KeyRangeLease lease) {
    return leases(lease.service).get(lease.firstKey) == lease;
  }

  Set<String> services() {
    return leasesByService.keySet();
  }

  /** Returns the leases of a service in the order of their keys. */
  Collection<KeyRangeLease> of(String service) {
    return leases(service).values();
  }

  /** Returns a copy of the leases of a service in the order of their keys. */
  List<KeyRangeLease> snapshot(String service) {
    return new ArrayList<>(of(service));
  }

  /** Returns the lease of the range after this one, or null. */
  KeyRangeLease next(KeyRangeLease lease) {
    Map.Entry<Integer, KeyRangeLease> next = leases(lease.service).higherEntry(lease.firstKey);
    return next == null ? null : next.getValue();
  }

  /** Returns the last key of the range. */
  int lastKey(KeyRangeLease lease) {
    KeyRangeLease next = next(lease);
    return next == null ? KeyRange.LAST_KEY : next.firstKey - 1;
  }

  /** Returns the number of keys of the range. */
  int keyCount(KeyRangeLease lease) {
    return lastKey(lease) - lease.firstKey + 1;
  }
}
