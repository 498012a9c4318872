package org.otterpond.proxy;

import java.util.Map;

/**
 * How the nodes of the fleet are spread over zones.
 *
 * @param zone the zone of this node
 * @param nodesByZone the number of nodes in each zone
 * @param rank the position of this node among those of its zone, from 0
 */
record ZoneShares(String zone, Map<String, Integer> nodesByZone, int rank) {
  /** Returns the shares of a node that knows of no other. */
  static ZoneShares singleNode(String zone) {
    return new ZoneShares(zone, Map.of(zone, 1), 0);
  }

  private int nodes() {
    int sum = 0;
    for (int inZone : nodesByZone.values()) {
      sum += inZone;
    }
    return Math.max(1, sum);
  }

  int nodesInOwnZone() {
    return Math.max(1, nodesByZone.getOrDefault(zone, 1));
  }

  /** Returns the fraction of all nodes that is in a zone. */
  double share(String ofZone) {
    return nodesByZone.getOrDefault(ofZone, 0) / (double) nodes();
  }
}
