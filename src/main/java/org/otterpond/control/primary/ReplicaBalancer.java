package org.otterpond.control.primary;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.otterpond.replication.GroupConfiguration;

/** Moves replicas from loaded storage nodes to less loaded ones, a few at a time. */
final class ReplicaBalancer {
  private static final int MAX_MOVES = 4;

  /** Replicas are moved if the numbers of two nodes differ by this many. */
  private static final int MOVE_DIFFERENCE = 3;

  private final Map<String, StorageNode> nodesByMember = new HashMap<>();
  private final List<StorageNode> nodes;
  private final Map<String, Integer> load;

  /**
   * Creates a balancer.
   *
   * @param nodes the nodes that may have replicas
   * @param load number of replicas of each node, by its member identity; kept up to date
   */
  ReplicaBalancer(List<StorageNode> nodes, Map<String, Integer> load) {
    this.nodes = nodes;
    this.load = load;
    nodes.forEach(node -> nodesByMember.put(node.member(), node));
  }

  /** Returns the groups that are to have other members, with these as the wanted ones. */
  List<GroupConfiguration> moves(List<GroupConfiguration> groups) {
    List<GroupConfiguration> moved = new ArrayList<>();
    for (GroupConfiguration group : groups) {
      if (moved.size() >= MAX_MOVES) {
        break;
      }
      StorageNode from = mostLoaded(group);
      StorageNode to = from == null ? null : leastLoaded(group, from.zone());
      if (to != null && loadOf(from) - loadOf(to) >= MOVE_DIFFERENCE) {
        moved.add(move(group, from, to));
      }
    }
    return moved;
  }

  /** The primary is not moved, as moving a secondary does not interrupt the partition. */
  private StorageNode mostLoaded(GroupConfiguration group) {
    StorageNode most = null;
    for (String member : group.wanted()) {
      StorageNode node = nodesByMember.get(member);
      if (node != null
          && !member.equals(group.primary())
          && (most == null || loadOf(node) > loadOf(most))) {
        most = node;
      }
    }
    return most;
  }

  /** Within the zone, so that the replicas stay spread as they are. */
  private StorageNode leastLoaded(GroupConfiguration group, String zone) {
    StorageNode least = null;
    for (StorageNode node : nodes) {
      if (!group.wanted().contains(node.member())
          && node.zone().equals(zone)
          && (least == null || loadOf(node) < loadOf(least))) {
        least = node;
      }
    }
    return least;
  }

  private GroupConfiguration move(GroupConfiguration group, StorageNode from, StorageNode to) {
    List<String> wanted = new ArrayList<>(group.wanted());
    wanted.remove(from.member());
    wanted.add(to.member());
    load.merge(from.member(), -1, Integer::sum);
    load.merge(to.member(), 1, Integer::sum);
    return group.withWantedMembers(wanted);
  }

  private int loadOf(StorageNode node) {
    return load.get(node.member());
  }
}
