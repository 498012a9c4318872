package org.otterpond.control.primary;

import org.otterpond.control.epoch.EpochReplica;
import org.otterpond.control.message.CandidateFailedRequest;
import org.otterpond.control.message.ReconfigureGroupRequest;
import org.otterpond.control.message.RetireNodeRequest;
import org.otterpond.control.message.RetirementStatusRequest;
import org.otterpond.control.state.Assignments;
import org.otterpond.control.state.FaultTolerance;
import org.otterpond.replication.GroupConfiguration;
import org.otterpond.runtime.NodeRuntime;

/** The services for message partitions: placement, reconfiguration and retirement. */
final class PartitionServices {
  private final NodeLeaseTable leases;
  private final ReplicaPlacement placement;
  private final NodeRetirement retirement;
  private final GroupReconfiguration reconfiguration;

  PartitionServices(
      NodeRuntime runtime,
      EpochReplica replica,
      CommittedAssignments assignments,
      NodeLeaseTable leases,
      FaultTolerance faults) {
    this.leases = leases;
    AssignmentState state = new ReplicaAssignments(replica, assignments);
    LeadershipConfirmation proof = replica::confirm;
    AvoidedMembers avoided = new AvoidedMembers();
    placement = new ReplicaPlacement(runtime, faults.machines(), faults.zones(), state, avoided);
    retirement = new NodeRetirement(runtime, state, proof, placement.replicas());
    reconfiguration =
        new GroupReconfiguration(
            runtime, state, proof, avoided, this::isDiskLost, placement::stepSoon);
  }

  /** A machine that polls with another disk has lost the one that the member is named by. */
  private boolean isDiskLost(String member) {
    String address = GroupConfiguration.addressOf(member);
    return leases.storageNodes().stream()
        .anyMatch(node -> node.address().equals(address) && !node.member().equals(member));
  }

  /** The committed assignments and those of the replicated state. */
  private record ReplicaAssignments(EpochReplica replica, CommittedAssignments assignments)
      implements AssignmentState {
    @Override
    public Assignments replicated() {
      return replica.hold().assignments();
    }

    @Override
    public Assignments committed() {
      return assignments.current();
    }

    @Override
    public AssignmentWriter writer() {
      return assignments;
    }
  }

  /** Sets the handlers of the services' requests. */
  void registerWith(RequestDispatcher dispatcher) {
    dispatcher.register(ReconfigureGroupRequest.class, reconfiguration::reconfigure);
    dispatcher.register(CandidateFailedRequest.class, reconfiguration::candidateFailed);
    dispatcher.register(
        RetireNodeRequest.class,
        (request, reply) -> retirement.retire(request, leases.storageNodes(), reply));
    dispatcher.register(RetirementStatusRequest.class, retirement::status);
  }

  /** Begins an epoch. */
  void began() {
    placement.began();
  }

  /** Does what is due. */
  void tick() {
    placement.tick(leases.storageNodes());
  }
}
