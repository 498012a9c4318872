package org.otterpond.control.message;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.otterpond.protocol.Encodable;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * What one node needs to know of the other nodes that have a lease. Its size does not grow with the
 * number of nodes, except for the few that have a core disk.
 *
 * @param nodesByZone number of nodes in each zone
 * @param rank position of the receiver among the nodes of its zone, from 0
 * @param contacts addresses of the nodes to which the receiver forwards a new epoch
 * @param coreNodeZones zone of each node with a core disk, by address
 */
public record FleetSummary(
    Map<String, Integer> nodesByZone,
    int rank,
    List<String> contacts,
    Map<String, String> coreNodeZones)
    implements Encodable {
  /** The encoded kind. */
  public static final String KIND = "fleet";

  private static final String NODES_BY_ZONE = "zones";
  private static final String RANK = "rank";
  private static final String CONTACTS = "contacts";
  private static final String CORE_NODE_ZONES = "beacons";

  /** Creates a summary; the collections are copied in their order. */
  public FleetSummary {
    nodesByZone = Collections.unmodifiableMap(new LinkedHashMap<>(nodesByZone));
    contacts = List.copyOf(contacts);
    coreNodeZones = Collections.unmodifiableMap(new LinkedHashMap<>(coreNodeZones));
  }

  /**
   * Reads a summary.
   *
   * @throws ProtocolException if a field is missing or has the wrong type
   */
  public static FleetSummary of(WireRecord encoded) throws ProtocolException {
    Map<String, Integer> nodesByZone = new LinkedHashMap<>();
    List<Object> zones = encoded.list(NODES_BY_ZONE);
    for (int i = 0; i + 1 < zones.size(); i += 2) {
      if (!(zones.get(i) instanceof String zone) || !(zones.get(i + 1) instanceof Number count)) {
        throw new ProtocolException("kind " + KIND + " has no pairs in the field " + NODES_BY_ZONE);
      }
      nodesByZone.put(zone, count.intValue());
    }
    Map<String, String> coreNodeZones = new LinkedHashMap<>();
    List<String> pairs = MessageFields.textList(encoded, CORE_NODE_ZONES);
    for (int i = 0; i + 1 < pairs.size(); i += 2) {
      coreNodeZones.put(pairs.get(i + 1), pairs.get(i));
    }
    return new FleetSummary(
        nodesByZone,
        (int) encoded.requiredNumber(RANK),
        MessageFields.textList(encoded, CONTACTS),
        coreNodeZones);
  }

  @Override
  public WireRecord toWireRecord() {
    List<Object> zones = new ArrayList<>();
    nodesByZone.forEach(
        (zone, count) -> {
          zones.add(zone);
          zones.add((long) count);
        });
    List<Object> pairs = new ArrayList<>();
    coreNodeZones.forEach(
        (address, zone) -> {
          pairs.add(zone);
          pairs.add(address);
        });
    return new WireRecord(KIND)
        .with(NODES_BY_ZONE, zones)
        .with(RANK, rank)
        .with(CONTACTS, contacts)
        .with(CORE_NODE_ZONES, pairs);
  }
}
