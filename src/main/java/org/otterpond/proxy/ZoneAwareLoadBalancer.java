package org.otterpond.proxy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/**
 * Decides which share of a service's requests this node sends to each zone, and which workers of a
 * zone it sends to first. Computed anew when nodes or workers have changed.
 */
final class ZoneAwareLoadBalancer {
  private static final int NEARBY_WORKERS = 10;

  private final Random random;
  private final Collection<WorkerEndpoint> endpoints;
  private final Map<String, Double> zoneWeights = new TreeMap<>();
  private final Map<String, List<WorkerEndpoint>> nearbyByZone = new HashMap<>();
  private ZoneShares zoneShares = ZoneShares.singleNode("");
  private boolean outdated = true;
  private int fairShareOfSlots = 1;

  ZoneAwareLoadBalancer(Random random, Collection<WorkerEndpoint> endpoints) {
    this.random = random;
    this.endpoints = endpoints;
  }

  void setZoneShares(ZoneShares newShares) {
    zoneShares = newShares;
    outdated = true;
  }

  /** To be called when a worker has been added, removed or updated. */
  void endpointsChanged() {
    outdated = true;
  }

  /** Brings weights and nearby workers up to date; to be called before they are read. */
  void refresh() {
    if (!outdated) {
      return;
    }
    outdated = false;
    Map<String, Integer> slotsByZone = groupByZone();
    // This node's share of the slots of its zone, spread over the workers that it sends to there.
    int ownSlots = slotsByZone.getOrDefault(zoneShares.zone(), 0);
    int spread = Math.max(1, nearbyInOwnZone().size());
    double fairShare = (double) ownSlots / zoneShares.nodesInOwnZone() / spread;
    fairShareOfSlots = Math.max(1, (int) fairShare);
    computeZoneWeights(slotsByZone);
  }

  private Map<String, Integer> groupByZone() {
    Map<String, List<WorkerEndpoint>> byZone = new TreeMap<>();
    Map<String, Integer> slotsByZone = new TreeMap<>();
    for (WorkerEndpoint endpoint : endpoints) {
      if (endpoint.inService()) {
        byZone.computeIfAbsent(endpoint.zone(), zone -> new ArrayList<>()).add(endpoint);
        slotsByZone.merge(endpoint.zone(), endpoint.slots(), Integer::sum);
      }
    }
    nearbyByZone.clear();
    byZone.forEach((zone, inZone) -> nearbyByZone.put(zone, nearest(inZone)));
    return slotsByZone;
  }

  /**
   * Returns the workers of one zone that this node sends to first. The workers form a ring by their
   * ids, and the nodes of a zone begin at even distances: so every worker has about as many nodes,
   * and each node few enough workers that its own count of requests in flight is meaningful.
   */
  private List<WorkerEndpoint> nearest(List<WorkerEndpoint> inZone) {
    inZone.sort(Comparator.comparing(WorkerEndpoint::id));
    int start = (int) ((long) zoneShares.rank() * inZone.size() / zoneShares.nodesInOwnZone());
    List<WorkerEndpoint> nearest = new ArrayList<>();
    for (int i = 0; i < Math.min(NEARBY_WORKERS, inZone.size()); i++) {
      nearest.add(inZone.get((start + i) % inZone.size()));
    }
    return nearest;
  }

  /**
   * The own zone gets as much as its share of the slots covers of its share of the nodes; the rest
   * is spread over the zones with a greater share of slots than of nodes, in proportion to the
   * excess.
   */
  private void computeZoneWeights(Map<String, Integer> slotsByZone) {
    zoneWeights.clear();
    double totalSlots = 0;
    for (int slots : slotsByZone.values()) {
      totalSlots += slots;
    }
    double ownNodeShare = zoneShares.share(zoneShares.zone());
    if (totalSlots == 0 || ownNodeShare <= 0) {
      return;
    }
    double ownSlotShare = slotsByZone.getOrDefault(zoneShares.zone(), 0) / totalSlots;
    double ownWeight = Math.min(1, ownSlotShare / ownNodeShare);
    double totalExcess = 0;
    for (Map.Entry<String, Integer> zone : slotsByZone.entrySet()) {
      totalExcess += excess(zone, totalSlots);
    }
    if (totalExcess <= 0 && ownWeight < 1) {
      return;
    }
    for (Map.Entry<String, Integer> zone : slotsByZone.entrySet()) {
      boolean own = zone.getKey().equals(zoneShares.zone());
      double weight = own ? ownWeight : (1 - ownWeight) * excess(zone, totalSlots) / totalExcess;
      if (weight > 0) {
        zoneWeights.put(zone.getKey(), weight);
      }
    }
  }

  private double excess(Map.Entry<String, Integer> zone, double totalSlots) {
    return Math.max(0, zone.getValue() / totalSlots - zoneShares.share(zone.getKey()));
  }

  /** Returns whether zones are weighted; without weights all workers are compared. */
  boolean weighted() {
    return !zoneWeights.isEmpty();
  }

  /** Returns the nearby workers of a zone drawn at random by the weights. */
  List<WorkerEndpoint> drawNearby() {
    return nearbyByZone.getOrDefault(drawZone(), List.of());
  }

  private String drawZone() {
    double rest = random.nextDouble();
    for (Map.Entry<String, Double> zone : zoneWeights.entrySet()) {
      rest -= zone.getValue();
      if (rest < 0) {
        return zone.getKey();
      }
    }
    return zoneShares.zone();
  }

  List<WorkerEndpoint> nearbyInOwnZone() {
    return nearbyByZone.getOrDefault(zoneShares.zone(), List.of());
  }

  /** Returns the slots of one nearby worker that are this node's share, at least one. */
  int fairShareOfSlots() {
    return fairShareOfSlots;
  }
}
