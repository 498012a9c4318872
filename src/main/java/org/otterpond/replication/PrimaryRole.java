package org.otterpond.replication;

import java.util.Map;

/**
 * The primary: it gives the updates serial numbers and commits what every replica has prepared
 * (PacificA, section "Primary/Backup Data Replication"). It serves only after its list was
 * reconciled with those of all secondaries, and while their leases are live.
 */
final class PrimaryRole implements ReplicaRole {
  private final LocalReplica replica;
  private final ConfigurationProposer proposer;
  private final Runnable servingChanged;
  private final Followers followers = new Followers();
  private final PrimaryStatus status = new PrimaryStatus();
  private final PrimaryLease lease;
  private final PrepareSender prepareSender;
  private final MembershipMonitor membership;
  private final UpdateQueue updates;
  private final Handover handover;
  private long ownProgressAtMicros;

  /**
   * Creates the role; a version begins with {@link #beginVersion} or {@link #resumeAfterRestart}.
   *
   * @param servingChanged run when {@link #isServing} may have changed
   */
  PrimaryRole(LocalReplica replica, ConfigurationProposer proposer, Runnable servingChanged) {
    this.replica = replica;
    this.proposer = proposer;
    this.servingChanged = servingChanged;
    this.lease = new PrimaryLease(replica, followers);
    this.prepareSender = new PrepareSender(replica, followers);
    this.membership =
        new MembershipMonitor(
            replica,
            followers,
            status,
            lease,
            proposer,
            new StateTransferSender(replica, followers, prepareSender));
    this.updates = new UpdateQueue(replica);
    this.handover = new Handover(replica, proposer, status, servingChanged);
  }

  /**
   * Begins a version: every secondary's list is reconciled with this one before anything is served.
   *
   * @param continued whether this replica was primary of the version just before
   */
  void beginVersion(boolean continued) {
    status.onNewVersion(replica.preparedList().lastSerial());
    proposer.onNewVersion();
    lease.onNewVersion();
    ownProgressAtMicros = replica.now();
    Map<String, Follower> previous = followers.snapshot();
    followers.clear();
    for (String secondary : replica.configuration().secondaries()) {
      addSecondary(secondary, continued ? previous.get(secondary) : null);
    }
    if (continued) {
      previous.forEach(this::keepCandidate);
    }
    advanceCommittedPoint();
  }

  private void addSecondary(String secondary, Follower previous) {
    Follower follower = Follower.secondary();
    if (previous != null) {
      follower.beaconSentAt = previous.beaconSentAt;
    }
    follower.progressAt = replica.now();
    followers.put(secondary, follower);
    prepareSender.sendReconciliation(secondary, follower);
  }

  /** Continues a transfer from the version before: the entries it lacks are still in the list. */
  private void keepCandidate(String member, Follower follower) {
    GroupConfiguration configuration = replica.configuration();
    boolean stillWanted = configuration.wanted().contains(member) && !configuration.has(member);
    if (follower.isCandidate() && stillWanted) {
      follower.mayBeMember = false;
      followers.put(member, follower);
    }
  }

  /** Begins in the version that the log names; the group serves only under a new version. */
  void resumeAfterRestart() {
    status.restarted = true;
    lease.onNewVersion();
    replica
        .configuration()
        .secondaries()
        .forEach(secondary -> followers.put(secondary, Follower.secondary()));
  }

  @Override
  public void end() {
    status.onNewVersion(0);
    followers.clear();
    updates.endAll();
  }

  @Override
  public boolean isServing() {
    return canAdmit() && !status.handingOver;
  }

  private boolean canAdmit() {
    return replica.isPrimary()
        && replica.isComplete()
        && status.reconciled
        && !status.steppedAside
        && lease.isHeld();
  }

  /** Queues an update; it gets its serial number once the group can admit it. */
  void update(UpdateQueue.Update update) {
    updates.add(update);
    admitUpdates();
  }

  int queuedUpdates() {
    return updates.size();
  }

  /** Returns whether all updates that were submitted have been committed. */
  boolean isIdle() {
    PreparedList preparedList = replica.preparedList();
    return updates.isEmpty() && preparedList.committedPoint() >= preparedList.lastSerial();
  }

  private void admitUpdates() {
    if (updates.isEmpty() || !canAdmit()) {
      return;
    }
    boolean fullyReplicated = replica.configuration().isFullyReplicated();
    updates.admit(fullyReplicated && !status.handingOver, this::advanceCommittedPoint);
    prepareSender.scheduleFlush();
  }

  @Override
  public void onPrepared(PreparedMessage message) {
    Follower follower = followers.get(message.member());
    if (!replica.isPrimary() || follower == null || !concerns(message, follower)) {
      return;
    }
    long serial = message.durableSerial();
    boolean completesReconciliation =
        !follower.isCandidate() && !follower.reconciled && serial >= status.reconcileSerial;
    if (completesReconciliation) {
      onSecondaryReconciled(message.member(), follower, serial);
    } else if (serial > follower.acknowledgedSerial) {
      follower.acknowledgedSerial = serial;
      follower.progressAt = replica.now();
    }
    follower.copyDurable |= message.copyDurable();
    if (follower.acknowledgedSerial >= replica.preparedList().lastSerial()) {
      follower.progressAt = replica.now();
    }
    advanceCommittedPoint();
  }

  /** Returns whether the acknowledgement is of this version, or of this transfer. */
  private boolean concerns(PreparedMessage message, Follower follower) {
    if (message.transfer().isPresent()) {
      return follower.isCandidate() && follower.transfer == message.transfer().getAsLong();
    }
    return !follower.isCandidate() && replica.isInVersion(message.version());
  }

  private void onSecondaryReconciled(String member, Follower follower, long serial) {
    follower.reconciled = true;
    follower.acknowledgedSerial = serial;
    follower.sentSerial = serial;
    follower.progressAt = replica.now();
    lease.onReconciled(follower);
    prepareSender.sendPrepares(member, follower);
  }

  /** Commits what every replica has prepared, this one included. */
  private void advanceCommittedPoint() {
    if (!replica.isPrimary()) {
      return;
    }
    PreparedList preparedList = replica.preparedList();
    long preparedByAll = preparedByAll();
    boolean allReconciled = allSecondariesReconciled();
    if (!status.reconciled
        && allReconciled
        && preparedByAll >= status.reconcileSerial
        && !status.restarted) {
      onReconciled();
    }
    if (status.reconciled && preparedByAll > preparedList.committedPoint()) {
      long previousPoint = preparedList.committedPoint();
      preparedList.commit(preparedByAll);
      updates.onCommitted(previousPoint);
    }
    acknowledgeIfFullyReplicated();
    servingChanged.run();
    admitUpdates();
  }

  /** Notifies the listener once what is committed is on as many replicas as wanted. */
  void awaitFullReplication(UpdateListener listener) {
    updates.awaitReplicas(listener);
    acknowledgeIfFullyReplicated();
  }

  private void acknowledgeIfFullyReplicated() {
    if (status.reconciled && replica.configuration().isFullyReplicated()) {
      updates.onFullyReplicated();
    }
  }

  private boolean allSecondariesReconciled() {
    return followers.snapshot().values().stream()
        .allMatch(follower -> follower.isCandidate() || follower.reconciled);
  }

  private long preparedByAll() {
    PreparedList preparedList = replica.preparedList();
    long serial = preparedList.durableSerial();
    for (Follower follower : followers.snapshot().values()) {
      if (follower.countsForCommit()) {
        boolean known = follower.isCandidate() || follower.reconciled;
        long prepared = known ? follower.acknowledgedSerial : preparedList.committedPoint();
        serial = Math.min(serial, prepared);
      }
    }
    return serial;
  }

  private void onReconciled() {
    status.reconciled = true;
    replica
        .runtime()
        .event(
            "event=group_reconciled group="
                + replica.group()
                + " version="
                + replica.configuration().version()
                + " serial="
                + status.reconcileSerial);
  }

  /** Handles the acknowledgement of a beacon. */
  void onBeaconAcknowledged(String member, long version, long sentAtMicros) {
    Follower follower = followers.get(member);
    if (follower == null || !replica.isInVersion(version)) {
      return;
    }
    lease.onBeaconAcknowledged(follower, sentAtMicros);
    servingChanged.run();
    admitUpdates();
  }

  /**
   * Handles a lost connection: a secondary has a moment to acknowledge another beacon, a transfer
   * to a candidate begins anew as messages of it were lost.
   */
  @Override
  public void onConnectionLost(String address) {
    followers.forEach(
        (member, follower) -> {
          if (GroupConfiguration.addressOf(member).equals(address)) {
            follower.connectionLostAt = replica.now();
          }
        });
    followers.removeCandidates(member -> GroupConfiguration.addressOf(member).equals(address));
  }

  @Override
  public void tick(long nowMicros) {
    if (!replica.isComplete()) {
      return;
    }
    GroupConfiguration configuration = replica.configuration();
    if (status.restarted) {
      proposer.propose(configuration.next(replica.member(), configuration.secondaries()));
    } else if (cannotLead(nowMicros)) {
      stepAside();
    } else {
      advanceIfBehind();
      tickFollowers(nowMicros);
    }
  }

  /** Entries that this node prepared as a secondary may become durable after it became primary. */
  private void advanceIfBehind() {
    PreparedList preparedList = replica.preparedList();
    if (!status.reconciled || preparedList.committedPoint() < preparedList.lastSerial()) {
      advanceCommittedPoint();
    }
  }

  /** Returns whether this node's own log makes no progress, or another was proposed already. */
  private boolean cannotLead(long nowMicros) {
    PreparedList preparedList = replica.preparedList();
    if (preparedList.durableSerial() >= preparedList.lastSerial()) {
      ownProgressAtMicros = nowMicros;
    }
    return replica.hasDiskFailed()
        || status.steppedAside
        || nowMicros - ownProgressAtMicros > replica.timeouts().stallMicros();
  }

  private void stepAside() {
    GroupConfiguration configuration = replica.configuration();
    if (configuration.secondaries().isEmpty()) {
      return;
    }
    status.steppedAside = true;
    servingChanged.run();
    proposer.propose(configuration.withPrimary(configuration.secondaries().get(0)));
  }

  private void tickFollowers(long nowMicros) {
    MembershipMonitor.Outcome outcome = membership.checkFollowers(nowMicros);
    if (outcome == MembershipMonitor.Outcome.REMOVAL_PROPOSED) {
      return;
    }
    followers.forEach((member, follower) -> prepareSender.resendIfDue(member, follower, nowMicros));
    if (outcome == MembershipMonitor.Outcome.HEALTHY && !proposer.isInFlight()) {
      approachWantedMembers(nowMicros);
      admitUpdates();
    }
  }

  private void approachWantedMembers(long nowMicros) {
    if (!status.reconciled || status.handingOver || !lease.isHeld()) {
      return;
    }
    membership.approachWantedMembers(nowMicros);
    if (membership.isToBeReplaced()) {
      handOver();
    }
  }

  /** Hands the role over to a secondary, if this replica serves and there is one. */
  void handOver() {
    if (isServing() && !replica.configuration().secondaries().isEmpty()) {
      handover.start();
    }
  }

  @Override
  public String toString() {
    return "primary " + status + " followers=" + followers;
  }
}
