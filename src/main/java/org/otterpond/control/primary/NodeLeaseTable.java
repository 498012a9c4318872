package org.otterpond.control.primary;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import org.otterpond.control.message.NodePoll;
import org.otterpond.control.message.PollingNode;
import org.otterpond.control.state.CoreMember;
import org.otterpond.runtime.NodeRuntime;

/** The nodes that have a lease, by address. A node without one is not a member of the fleet. */
final class NodeLeaseTable {
  /** A lease ends this long after the last poll. */
  static final long NODE_LEASE_MICROS = ControlPlaneSettings.NODE_LEASE_MICROS;

  /** A node whose last poll is older is not taken into the core. */
  private static final long JOIN_LIMIT_MICROS = NODE_LEASE_MICROS / 2;

  private final NodeRuntime runtime;
  private final Map<String, NodeLease> leases = new HashMap<>();
  private long membershipVersion;

  NodeLeaseTable(NodeRuntime runtime) {
    this.runtime = runtime;
  }

  /** Takes a poll: renews the sender's lease, or grants one to a new incarnation. */
  NodeLease renew(String address, NodePoll poll) {
    long now = runtime.now();
    NodeLease lease = leases.get(address);
    if (lease == null || lease.isOfOtherIncarnation(poll)) {
      lease = new NodeLease(now);
      leases.put(address, lease);
      membershipVersion++;
    }
    lease.renew(poll, now);
    return lease;
  }

  /** Ends all leases. */
  void clear() {
    leases.clear();
    membershipVersion++;
  }

  /**
   * Ends the leases that were not renewed in time.
   *
   * @param beforeExpiry called for each lease before it is checked
   */
  void expire(BiConsumer<String, NodeLease> beforeExpiry) {
    long now = runtime.now();
    Iterator<Map.Entry<String, NodeLease>> entries = leases.entrySet().iterator();
    while (entries.hasNext()) {
      Map.Entry<String, NodeLease> entry = entries.next();
      NodeLease lease = entry.getValue();
      beforeExpiry.accept(entry.getKey(), lease);
      if (now - lease.polledAtMicros() > NODE_LEASE_MICROS) {
        runtime.event("event=node_lease_expired node=" + lease.poll().node().name());
        entries.remove();
        membershipVersion++;
      }
    }
  }

  /** Returns a number that grows whenever a lease is granted or ends. */
  long membershipVersion() {
    return membershipVersion;
  }

  boolean contains(String address) {
    return leases.containsKey(address);
  }

  void forEach(BiConsumer<String, NodeLease> action) {
    leases.forEach(action);
  }

  /** Returns the smallest version of the worker table that a node with a lease has. */
  long smallestWorkerTableVersion() {
    return leases.values().stream()
        .mapToLong(NodeLease::workerTableVersion)
        .min()
        .orElse(Long.MAX_VALUE);
  }

  /** Returns the nodes, by address, whose newest poll fulfils a condition. */
  Map<String, PollingNode> nodes(Predicate<PollingNode> condition) {
    Map<String, PollingNode> nodes = new HashMap<>();
    leases.forEach(
        (address, lease) -> {
          if (condition.test(lease.poll().node())) {
            nodes.put(address, lease.poll().node());
          }
        });
    return nodes;
  }

  /** Returns the nodes that store messages. */
  List<StorageNode> storageNodes() {
    List<StorageNode> nodes = new ArrayList<>();
    leases.forEach(
        (address, lease) -> {
          PollingNode node = lease.poll().node();
          if (node.storesMessages()) {
            nodes.add(
                new StorageNode(
                    node.storeId(), address, node.name(), node.zone(), lease.polledAtMicros()));
          }
        });
    return nodes;
  }

  /** Returns the nodes with a disk that may join the core, the present members among them. */
  List<CoreMembership.JoinCandidate> joinCandidates() {
    long now = runtime.now();
    List<CoreMembership.JoinCandidate> candidates = new ArrayList<>();
    for (NodeLease lease : leases.values()) {
      PollingNode node = lease.poll().node();
      if (node.diskId() != null && now - lease.polledAtMicros() <= JOIN_LIMIT_MICROS) {
        CoreMember member = new CoreMember(node.diskId(), node.address(), node.name(), node.zone());
        candidates.add(new CoreMembership.JoinCandidate(member, lease.firstPolledAtMicros()));
      }
    }
    return candidates;
  }
}
