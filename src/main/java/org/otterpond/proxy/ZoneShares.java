package org.otterpond.proxy;

import java.util.Map;

/**
 * Where the nodes of the fleet stand: how many in each zone, and this one's place among those of
 * its own.
 */
record ZoneShares(String zone, Map<String, Integer> nodesInZone, int rank) {
  static ZoneShares alone(String zone) {
    return new ZoneShares(zone, Map.of(zone, 1), 0);
  }

  int nodes() {
    return Math.max(1, nodesInZone.values().stream().mapToInt(Integer::intValue).sum());
  }

  int nodesHere() {
    return Math.max(1, nodesInZone.getOrDefault(zone, 1));
  }

  /** The part of all nodes that stands in a zone. */
  double share(String of) {
    return nodesInZone.getOrDefault(of, 0) / (double) nodes();
  }
}
