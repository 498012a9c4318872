package org.otterpond.control.agent;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.otterpond.protocol.WireRecord;

/**
 * The fleet digest as one node receives it.
 *
 * @param nodesInZone the number of nodes that hold a lease, by zone
 * @param rank this node's index among the nodes of its zone
 * @param neighbours the nodes that this node informs of a new epoch
 * @param heartbeatTargets the nodes to which workers should send heartbeats: address to zone
 */
record FleetUpdate(
    Map<String, Integer> nodesInZone,
    int rank,
    List<String> neighbours,
    Map<String, String> heartbeatTargets) {

  /** Reads the encoded digest. */
  static FleetUpdate of(WireRecord fleet) {
    Map<String, Integer> nodesInZone = new LinkedHashMap<>();
    List<Object> zones = fleet.list("zones");
    for (int i = 0; i + 1 < zones.size(); i += 2) {
      nodesInZone.put((String) zones.get(i), ((Number) zones.get(i + 1)).intValue());
    }
    List<String> neighbours = new ArrayList<>();
    fleet.list("contacts").forEach(address -> neighbours.add((String) address));
    Map<String, String> targets = new LinkedHashMap<>();
    List<Object> zonesAndAddresses = fleet.list("beacons");
    for (int i = 0; i + 1 < zonesAndAddresses.size(); i += 2) {
      targets.put((String) zonesAndAddresses.get(i + 1), (String) zonesAndAddresses.get(i));
    }
    return new FleetUpdate(nodesInZone, (int) fleet.number("rank"), neighbours, targets);
  }
}
