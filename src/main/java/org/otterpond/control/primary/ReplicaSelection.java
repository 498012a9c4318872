package org.otterpond.control.primary;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Chooses the storage nodes of a replica group.
 *
 * @param replicas number of replicas of a group
 * @param zones number of zones that they are spread over
 */
record ReplicaSelection(int replicas, int zones) {
  /** Ranks a node behind all that are preferred by their zone. */
  private static final int OTHER_ZONE_RANK = 1 << 20;

  /**
   * Fills a group up to the number of replicas. Nodes of further zones are preferred until the
   * wanted number of zones is reached, then nodes of zones in use, as transfers between zones are
   * dear. Of equal nodes the least loaded is chosen.
   *
   * @param kept the nodes that stay
   * @param candidates the nodes to choose from
   * @param load number of replicas of each node, by its member identity
   */
  List<StorageNode> fill(
      List<StorageNode> kept, List<StorageNode> candidates, Map<String, Integer> load) {
    List<StorageNode> chosen = new ArrayList<>(kept);
    while (chosen.size() < Math.min(replicas, candidates.size())) {
      StorageNode best = best(chosen, candidates, load);
      if (best == null) {
        break;
      }
      chosen.add(best);
    }
    return chosen;
  }

  private StorageNode best(
      List<StorageNode> chosen, List<StorageNode> candidates, Map<String, Integer> load) {
    Set<String> usedZones = new HashSet<>();
    chosen.forEach(node -> usedZones.add(node.zone()));
    StorageNode best = null;
    for (StorageNode candidate : candidates) {
      if (!chosen.contains(candidate)
          && (best == null || rank(candidate, usedZones, load) < rank(best, usedZones, load))) {
        best = candidate;
      }
    }
    return best;
  }

  private int rank(StorageNode node, Set<String> usedZones, Map<String, Integer> load) {
    boolean wantsFurtherZone = usedZones.size() < zones;
    boolean inUsedZone = usedZones.contains(node.zone());
    return (inUsedZone == wantsFurtherZone ? OTHER_ZONE_RANK : 0)
        + load.getOrDefault(node.member(), 0);
  }
}
