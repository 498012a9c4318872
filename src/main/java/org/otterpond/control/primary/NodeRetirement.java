package org.otterpond.control.primary;

import java.util.List;
import java.util.function.Consumer;
import org.otterpond.control.message.PrimaryReply;
import org.otterpond.control.message.RetireNodeReply;
import org.otterpond.control.message.RetireNodeRequest;
import org.otterpond.control.message.RetirementStatusReply;
import org.otterpond.control.message.RetirementStatusRequest;
import org.otterpond.control.state.Assignments;
import org.otterpond.protocol.WireRecord;
import org.otterpond.replication.GroupConfiguration;
import org.otterpond.runtime.NodeRuntime;

/** Retires storage nodes: their message replicas are moved to others. */
final class NodeRetirement {
  private static final String RETIRING = "retiring:";
  private static final String KEY = "key";
  private static final String STORE_ID = "disk";
  private static final String MEMBER = "member";

  private final NodeRuntime runtime;
  private final AssignmentState state;
  private final LeadershipConfirmation proof;
  private final int replicas;

  /**
   * Creates the service.
   *
   * @param replicas number of replicas of a group, for which enough nodes must be left
   */
  NodeRetirement(
      NodeRuntime runtime, AssignmentState state, LeadershipConfirmation proof, int replicas) {
    this.runtime = runtime;
    this.state = state;
    this.proof = proof;
    this.replicas = replicas;
  }

  /** Returns the nodes that are not being retired. */
  static List<StorageNode> remaining(List<StorageNode> nodes, Assignments assignments) {
    return nodes.stream().filter(node -> !isRetiring(node, assignments)).toList();
  }

  /** A node whose store was replaced is another one, even under the same name. */
  private static boolean isRetiring(StorageNode node, Assignments assignments) {
    WireRecord retirement = assignments.get(RETIRING + node.name());
    return retirement != null && node.storeId().equals(retirement.text(STORE_ID));
  }

  /** Handles a request to retire a node. */
  void retire(RetireNodeRequest request, List<StorageNode> nodes, Consumer<PrimaryReply> reply) {
    String key = RETIRING + request.node();
    WireRecord retirement = state.replicated().get(key);
    StorageNode node =
        nodes.stream()
            .filter(candidate -> candidate.name().equals(request.node()))
            .findFirst()
            .orElse(null);
    if (retirement != null && (node == null || node.storeId().equals(retirement.text(STORE_ID)))) {
      // If the commit is pending there is no reply, and the sender repeats the request.
      if (state.committed().get(key) != null) {
        proof.confirmed(reply).accept(new RetireNodeReply(RetireNodeReply.ACCEPTED));
      }
    } else if (node == null) {
      proof.confirmed(reply).accept(new RetireNodeReply(RetireNodeReply.UNKNOWN_NODE));
    } else if (countOthers(node, nodes) < replicas) {
      proof.confirmed(reply).accept(new RetireNodeReply(RetireNodeReply.TOO_FEW_NODES));
    } else {
      start(node, reply);
    }
  }

  private long countOthers(StorageNode node, List<StorageNode> nodes) {
    return remaining(nodes, state.replicated()).stream()
        .filter(other -> !other.name().equals(node.name()))
        .count();
  }

  private void start(StorageNode node, Consumer<PrimaryReply> reply) {
    WireRecord entry =
        new WireRecord(Assignments.KIND)
            .with(KEY, RETIRING + node.name())
            .with(STORE_ID, node.storeId())
            .with(MEMBER, node.member());
    state
        .writer()
        .assign(
            entry,
            () -> {
              runtime.event("event=retirement_started node=" + node.name());
              reply.accept(new RetireNodeReply(RetireNodeReply.ACCEPTED));
            });
  }

  /**
   * Handles a request for the state of a retirement. It is completed when no partition has, or is
   * to have, a replica on the node.
   */
  void status(RetirementStatusRequest request, Consumer<PrimaryReply> reply) {
    WireRecord retirement = state.committed().get(RETIRING + request.node());
    boolean known = retirement != null;
    boolean completed = known && !hasReplicas(retirement.text(MEMBER));
    proof.confirmed(reply).accept(new RetirementStatusReply(known, completed));
  }

  private boolean hasReplicas(String member) {
    for (GroupConfiguration group : PartitionAssignments.all(state.committed())) {
      if (group.has(member) || group.wanted().contains(member) || group.isEligible(member)) {
        return true;
      }
    }
    return false;
  }
}
