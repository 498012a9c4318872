package org.otterpond.control.primary;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import org.otterpond.control.message.FleetSummary;
import org.otterpond.control.message.PollingNode;

/**
 * The nodes that have a lease, sorted so that a {@link FleetSummary} can be made for each of them:
 * the number of nodes in each zone, the node's rank in its own, the contacts to which it forwards a
 * new epoch (the next ones in a ring of its zone, and one of the next zone), and the nodes with a
 * core disk, to which workers may be directed with their heartbeats. The size of a summary does not
 * grow with the number of nodes.
 *
 * @param version version of the membership that the digest is made of
 * @param addressesByZone sorted addresses of the nodes of each zone
 * @param coreNodeZones zone of each node with a core disk, by address
 */
record FleetDigest(
    long version,
    TreeMap<String, List<String>> addressesByZone,
    Map<String, String> coreNodeZones) {
  private static final int CONTACTS_IN_OWN_ZONE = 4;

  /**
   * Returns the digest of some nodes.
   *
   * @param nodes the nodes by address
   */
  static FleetDigest of(long version, Map<String, PollingNode> nodes) {
    Map<String, TreeSet<String>> sorted = new TreeMap<>();
    Map<String, String> coreNodeZones = new TreeMap<>();
    nodes.forEach(
        (address, node) -> {
          sorted.computeIfAbsent(node.zone(), zone -> new TreeSet<>()).add(address);
          if (node.diskId() != null) {
            coreNodeZones.put(address, node.zone());
          }
        });
    TreeMap<String, List<String>> addressesByZone = new TreeMap<>();
    sorted.forEach((zone, addresses) -> addressesByZone.put(zone, List.copyOf(addresses)));
    return new FleetDigest(version, addressesByZone, coreNodeZones);
  }

  /** Returns the summary for the node at this address in this zone. */
  FleetSummary summaryFor(String zone, String address) {
    Map<String, Integer> nodesByZone = new LinkedHashMap<>();
    addressesByZone.forEach((name, addresses) -> nodesByZone.put(name, addresses.size()));
    List<String> ownZone = addressesByZone.getOrDefault(zone, List.of());
    int rank = Math.max(0, ownZone.indexOf(address));
    return new FleetSummary(nodesByZone, rank, contacts(zone, ownZone, rank), coreNodeZones);
  }

  private List<String> contacts(String zone, List<String> ownZone, int rank) {
    List<String> contacts = new ArrayList<>();
    for (int i = 1; i <= Math.min(CONTACTS_IN_OWN_ZONE, ownZone.size() - 1); i++) {
      contacts.add(ownZone.get((rank + i) % ownZone.size()));
    }
    Map.Entry<String, List<String>> higher = addressesByZone.higherEntry(zone);
    List<String> nextZone = (higher == null ? addressesByZone.firstEntry() : higher).getValue();
    if (!nextZone.equals(ownZone)) {
      contacts.add(nextZone.get(rank % nextZone.size()));
    }
    return contacts;
  }
}
