package org.otterpond.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Proposes the primary's changes of the configuration: failed secondaries are removed, wanted
 * members are added once the state was transferred to them, unwanted ones are removed (PacificA,
 * section "Reconfiguration, Reconciliation, and Recovery").
 */
final class MembershipMonitor {
  private static final long TRANSFER_STALL_MICROS = 1_500_000;

  private final LocalReplica replica;
  private final Followers followers;
  private final PrimaryStatus status;
  private final PrimaryLease lease;
  private final ConfigurationProposer proposer;
  private final StateTransferSender transfers;

  MembershipMonitor(
      LocalReplica replica,
      Followers followers,
      PrimaryStatus status,
      PrimaryLease lease,
      ConfigurationProposer proposer,
      StateTransferSender transfers) {
    this.replica = replica;
    this.followers = followers;
    this.status = status;
    this.lease = lease;
    this.proposer = proposer;
    this.transfers = transfers;
  }

  /** The followers that are taken for failed. */
  private static final class Failures {
    private final List<String> secondaries = new ArrayList<>();
    private int expiredLeases;

    /** A candidate stalls that an unanswered proposal may have made a member. */
    private boolean stalledCandidate;
  }

  /** Looks for failed secondaries and proposes their removal, unless this node is isolated. */
  Outcome checkFollowers(long nowMicros) {
    Failures failures = findFailures(nowMicros);
    if (failures.secondaries.isEmpty() && !failures.stalledCandidate) {
      return Outcome.HEALTHY;
    }
    if (!failures.stalledCandidate && isProbablyIsolated(failures, nowMicros)) {
      return Outcome.ISOLATED;
    }
    GroupConfiguration configuration = replica.configuration();
    List<String> remaining =
        configuration.secondaries().stream()
            .filter(secondary -> !failures.secondaries.contains(secondary))
            .toList();
    proposer.propose(configuration.next(replica.member(), remaining));
    return Outcome.REMOVAL_PROPOSED;
  }

  /** What a check of the followers found. */
  enum Outcome {
    /** No secondary has failed. */
    HEALTHY,
    /** No secondary is heard of; the primary itself is probably cut off. */
    ISOLATED,
    /** The removal of failed secondaries was proposed. */
    REMOVAL_PROPOSED
  }

  private Failures findFailures(long nowMicros) {
    Failures failures = new Failures();
    for (Map.Entry<String, Follower> entry : followers.snapshot().entrySet()) {
      Follower follower = entry.getValue();
      boolean stalled = isStalled(follower, nowMicros);
      if (follower.isCandidate()) {
        failures.stalledCandidate |= follower.mayBeMember && stalled;
      } else if (lease.isExpired(follower, nowMicros)) {
        failures.secondaries.add(entry.getKey());
        failures.expiredLeases++;
      } else if (stalled) {
        failures.secondaries.add(entry.getKey());
      }
    }
    return failures;
  }

  private boolean isStalled(Follower follower, long nowMicros) {
    boolean behind = follower.isBehind(replica.preparedList().lastSerial());
    boolean idle = !behind && (!follower.isCandidate() || follower.copyDurable);
    if (idle) {
      follower.progressAt = nowMicros;
    }
    return behind && nowMicros - follower.progressAt > replica.timeouts().stallMicros();
  }

  /**
   * Returns whether all of several secondaries are silent: then the primary is more likely cut off
   * itself, and they are given the time to take over.
   */
  private boolean isProbablyIsolated(Failures failures, long nowMicros) {
    return failures.expiredLeases > 1
        && failures.expiredLeases == replica.configuration().secondaries().size()
        && !lease.areAllLongExpired(nowMicros);
  }

  /** Adds wanted members and removes unwanted ones, one change at a time. */
  void approachWantedMembers(long nowMicros) {
    if (addWantedMembers(nowMicros)) {
      return;
    }
    GroupConfiguration configuration = replica.configuration();
    followers.removeCandidates(member -> !configuration.wanted().contains(member));
    if (!configuration.hasAllWanted()) {
      return;
    }
    configuration.secondaries().stream()
        .filter(secondary -> !configuration.wanted().contains(secondary))
        .findFirst()
        .ifPresent(unwanted -> proposer.propose(configuration.withoutSecondary(unwanted)));
  }

  /** Returns whether all wanted members are in the group and this replica is the only other one. */
  boolean isToBeReplaced() {
    GroupConfiguration configuration = replica.configuration();
    return !configuration.wanted().contains(replica.member())
        && configuration.hasAllWanted()
        && configuration.wanted().containsAll(configuration.secondaries());
  }

  /** Returns whether an addition was proposed. */
  private boolean addWantedMembers(long nowMicros) {
    GroupConfiguration configuration = replica.configuration();
    for (String wanted : configuration.wanted()) {
      if (configuration.has(wanted)) {
        continue;
      }
      Follower candidate = followers.get(wanted);
      if (candidate == null) {
        transfers.start(wanted, nowMicros);
      } else if (isCaughtUp(candidate)) {
        candidate.mayBeMember = true;
        proposer.propose(configuration.withSecondary(wanted));
        return true;
      } else if (!candidate.mayBeMember
          && nowMicros - candidate.progressAt > TRANSFER_STALL_MICROS) {
        followers.remove(wanted);
        replica.runtime().candidateFailed(replica.group(), wanted);
      }
    }
    return false;
  }

  /** An earlier primary may have committed whatever was in the list when the version began. */
  private boolean isCaughtUp(Follower candidate) {
    long required = Math.max(replica.preparedList().committedPoint(), status.reconcileSerial);
    return candidate.copyDurable && candidate.acknowledgedSerial >= required;
  }
}
