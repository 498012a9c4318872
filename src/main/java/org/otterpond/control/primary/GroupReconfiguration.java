package org.otterpond.control.primary;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.otterpond.control.message.AcknowledgedReply;
import org.otterpond.control.message.CandidateFailedRequest;
import org.otterpond.control.message.PrimaryReply;
import org.otterpond.control.message.ReconfigureGroupReply;
import org.otterpond.control.message.ReconfigureGroupRequest;
import org.otterpond.protocol.WireRecord;
import org.otterpond.replication.GroupConfiguration;
import org.otterpond.runtime.NodeRuntime;

/**
 * Installs the configurations that members of replica groups propose: the first proposal for each
 * version.
 */
final class GroupReconfiguration {
  private static final String NUMBER = "no";

  private final NodeRuntime runtime;
  private final AssignmentState state;
  private final LeadershipConfirmation proof;
  private final AvoidedMembers avoided;
  private final Predicate<String> diskLost;
  private final Runnable onProposal;

  /**
   * Creates the service.
   *
   * @param avoided gets the members that their groups removed
   * @param diskLost whether the disk of a member is known to be lost
   * @param onProposal runs when a proposal is written, as replicas may be lacking then
   */
  GroupReconfiguration(
      NodeRuntime runtime,
      AssignmentState state,
      LeadershipConfirmation proof,
      AvoidedMembers avoided,
      Predicate<String> diskLost,
      Runnable onProposal) {
    this.runtime = runtime;
    this.state = state;
    this.proof = proof;
    this.avoided = avoided;
    this.diskLost = diskLost;
    this.onProposal = onProposal;
  }

  /** Handles a proposal; one that is refused gets the configuration in force. */
  void reconfigure(ReconfigureGroupRequest request, Consumer<PrimaryReply> reply) {
    GroupConfiguration proposed = request.configuration();
    WireRecord entry = state.replicated().get(PartitionAssignments.key(proposed.group()));
    if (entry == null) {
      proof.confirmed(reply).accept(new ReconfigureGroupReply(false, null));
      return;
    }
    GroupConfiguration current = GroupConfiguration.of(entry);
    Optional<GroupConfiguration> accepted = current.accept(proposed, diskLost);
    if (accepted.isEmpty()) {
      replyCommitted(entry, reply);
      return;
    }
    GroupConfiguration next = accepted.get();
    avoidRemoved(current, next);
    onProposal.run();
    state
        .writer()
        .assign(
            PartitionAssignments.entry(next, PartitionAssignments.partitionCount(entry)),
            () -> installed(next, reply));
  }

  /** A configuration whose commit is pending is not sent; the proposer asks again. */
  private void replyCommitted(WireRecord entry, Consumer<PrimaryReply> reply) {
    WireRecord committed = state.committed().get(entry.text("key"));
    if (committed != null && committed.number(NUMBER) == entry.number(NUMBER)) {
      proof
          .confirmed(reply)
          .accept(new ReconfigureGroupReply(false, GroupConfiguration.of(committed)));
    }
  }

  private void avoidRemoved(GroupConfiguration current, GroupConfiguration proposed) {
    for (String member : current.members()) {
      if (!proposed.has(member) && current.wanted().contains(member)) {
        avoided.add(current.group(), member, runtime.now());
      }
    }
  }

  private void installed(GroupConfiguration group, Consumer<PrimaryReply> reply) {
    runtime.event(
        "event=group_configured group="
            + group.group()
            + " version="
            + group.version()
            + " primary="
            + group.primary()
            + " secondaries="
            + group.secondaries().size()
            + " factor="
            + group.replicationFactor()
            + " eligible="
            + group.eligible().size());
    reply.accept(new ReconfigureGroupReply(true, group));
  }

  /** Handles the report that a candidate could not be brought up to date. */
  void candidateFailed(CandidateFailedRequest request, Consumer<PrimaryReply> reply) {
    WireRecord entry = state.replicated().get(PartitionAssignments.key(request.group()));
    if (entry != null && !GroupConfiguration.of(entry).has(request.member())) {
      avoided.add(request.group(), request.member(), runtime.now());
    }
    proof.confirmed(reply).accept(new AcknowledgedReply());
  }
}
