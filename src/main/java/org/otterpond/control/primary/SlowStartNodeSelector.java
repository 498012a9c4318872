package org.otterpond.control.primary;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.otterpond.control.message.PollingNode;
import org.otterpond.control.state.WorkerInstance;

/**
 * Chooses the few nodes that may send requests to a worker while it is in slow start, so that their
 * sum is bounded in a fleet of any size. The choice is by rendezvous hashing among the nodes with a
 * lease: another primary, which knows about the same nodes, makes about the same choice.
 */
final class SlowStartNodeSelector {
  /** How many nodes may send to one worker. */
  static final int NODES_PER_WORKER = 3;

  /** How many of them store messages, where there are such nodes. */
  private static final int STORAGE_NODES_PER_WORKER = 1;

  private final NodeLeaseTable leases;
  private final Map<String, List<String>> gatewaysByZone = new HashMap<>();
  private final List<String> gateways = new ArrayList<>();
  private final List<String> storageNodes = new ArrayList<>();
  private long groupedVersion = -1;

  SlowStartNodeSelector(NodeLeaseTable leases) {
    this.leases = leases;
  }

  /**
   * Returns the nodes for a worker. Those chosen before stay.
   *
   * @param replaceMissing whether nodes without a lease lose their place; only once no node can use
   *     a lease that an earlier primary has granted
   */
  List<String> select(WorkerInstance worker, boolean replaceMissing) {
    groupNodes();
    List<String> nodes = new ArrayList<>(worker.slowStartNodes());
    if (replaceMissing) {
      nodes.removeIf(node -> !leases.contains(node));
    }
    int storagePlaces = Math.min(STORAGE_NODES_PER_WORKER, storageNodes.size());
    List<String> inZone = gatewaysByZone.getOrDefault(worker.zone(), List.of());
    fill(nodes, inZone, worker.id(), NODES_PER_WORKER - storagePlaces);
    fill(nodes, gateways, worker.id(), NODES_PER_WORKER - storagePlaces);
    fill(nodes, storageNodes, worker.id(), NODES_PER_WORKER);
    return nodes;
  }

  private static void fill(List<String> nodes, List<String> candidates, String workerId, int size) {
    if (nodes.size() >= size) {
      return;
    }
    candidates.stream()
        .filter(candidate -> !nodes.contains(candidate))
        .sorted(Comparator.comparingLong(candidate -> rank(workerId, candidate)))
        .limit(size - nodes.size())
        .toList()
        .forEach(nodes::add);
  }

  private static long rank(String workerId, String node) {
    return Hashing.murmur3_128()
        .hashString(workerId + "\n" + node, StandardCharsets.UTF_8)
        .asLong();
  }

  private void groupNodes() {
    if (groupedVersion == leases.membershipVersion()) {
      return;
    }
    groupedVersion = leases.membershipVersion();
    gatewaysByZone.clear();
    gateways.clear();
    storageNodes.clear();
    leases.forEach(
        (address, lease) -> {
          PollingNode node = lease.poll().node();
          if (node.storesMessages()) {
            storageNodes.add(address);
          } else {
            gateways.add(address);
            gatewaysByZone.computeIfAbsent(node.zone(), zone -> new ArrayList<>()).add(address);
          }
        });
  }
}
