package org.otterpond.control.primary;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import org.otterpond.protocol.WireRecord;

/**
 * The nodes that hold a lease, as each of them needs to know them: how many there are in each zone,
 * its own place among those of its zone, the few whom it tells of a new epoch (the next in a ring
 * of its zone, and one of the next zone), and the nodes with a disk, to which workers may be sent
 * with their beats. Its size does not grow with the number of nodes.
 */
record FleetDigest(long version, TreeMap<String, List<String>> zones, Map<String, String> beacons) {
  private static final int CONTACTS = 4;

  /**
   * @param polls the newest poll of each node, by its address
   */
  static FleetDigest of(long version, Map<String, WireRecord> polls) {
    Map<String, TreeSet<String>> sorted = new TreeMap<>();
    Map<String, String> beacons = new TreeMap<>();
    polls.forEach(
        (address, poll) -> {
          sorted.computeIfAbsent(poll.text("zone"), z -> new TreeSet<>()).add(address);
          if (poll.has("disk")) {
            beacons.put(address, poll.text("zone"));
          }
        });
    TreeMap<String, List<String>> zones = new TreeMap<>();
    sorted.forEach((z, a) -> zones.put(z, List.copyOf(a)));
    return new FleetDigest(version, zones, beacons);
  }

  WireRecord toWireRecord(String zone, String address) {
    List<Object> counts = new ArrayList<>();
    zones.forEach(
        (z, nodes) -> {
          counts.add(z);
          counts.add((long) nodes.size());
        });
    List<String> own = zones.getOrDefault(zone, List.of());
    int rank = Math.max(0, own.indexOf(address));
    List<Object> contacts = new ArrayList<>();
    for (int i = 1; i <= Math.min(CONTACTS, own.size() - 1); i++) {
      contacts.add(own.get((rank + i) % own.size()));
    }
    Map.Entry<String, List<String>> next = zones.higherEntry(zone);
    List<String> other = (next == null ? zones.firstEntry() : next).getValue();
    if (other != own) {
      contacts.add(other.get(rank % other.size()));
    }
    List<Object> lights = new ArrayList<>();
    beacons.forEach(
        (a, z) -> {
          lights.add(z);
          lights.add(a);
        });
    return new WireRecord("fleet")
        .with("zones", counts)
        .with("rank", rank)
        .with("contacts", contacts)
        .with("beacons", lights);
  }
}
