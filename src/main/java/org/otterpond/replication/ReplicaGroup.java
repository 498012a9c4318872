package org.otterpond.replication;

import java.util.Optional;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * One replica of one group, after PacificA: the primary gives serial numbers and commits what every
 * replica has prepared; the configuration manager decides who is a member; a new primary reconciles
 * before it serves.
 *
 * <p>This class is the only owner of the configuration and of role transitions; {@link
 * PrimaryRole}, {@link SecondaryRole} and {@link CandidateRole} have the state of their roles. It
 * does no I/O of its own and is confined to the owner thread.
 */
public final class ReplicaGroup {
  private final LocalReplica replica;
  private final ConfigurationProposer proposer;
  private final ReplicaLogReplay logReplay;
  private ReplicaRole role = new NonMemberRole();

  /** The value of {@link #serving} that the state machine was last notified of. */
  private boolean reportedServing;

  /**
   * Creates a replica without any state; {@link #replay} and {@link #replayed} follow if its node
   * has a log.
   *
   * @param id number of the group
   * @param me member name of this node
   */
  public ReplicaGroup(
      int id,
      String me,
      ReplicaGroupRuntime runtime,
      ReplicaGroupTimeouts timeouts,
      StateMachine stateMachine) {
    this.replica = new LocalReplica(id, me, runtime, timeouts, stateMachine);
    this.proposer = new ConfigurationProposer(runtime, this::adopt);
    this.logReplay = new ReplicaLogReplay(replica);
  }

  /** Returns the newest known configuration, or null if there is none. */
  public GroupConfiguration view() {
    return replica.configuration();
  }

  /** Returns the committed point of this replica. */
  public long committed() {
    return replica.preparedList().committedPoint();
  }

  /** Returns whether this node is a member of the group, or a candidate. */
  public boolean isInvolved() {
    return !(role instanceof NonMemberRole);
  }

  /**
   * Returns whether queries and updates may be served at this moment: named primary, reconciled,
   * and every secondary's lease live.
   */
  public boolean serving() {
    return role.isServing();
  }

  /**
   * Returns whether what is committed may be acknowledged to clients at this moment: this node
   * serves, and as many members hold it as the replication factor asks for.
   */
  public boolean mayAcknowledge() {
    return serving() && replica.configuration().isFullyReplicated();
  }

  /**
   * Notifies the listener once what is committed now may be acknowledged. Its outcome is undecided
   * if this replica ceases to be primary before.
   */
  public void awaitFullReplication(UpdateListener listener) {
    if (role instanceof PrimaryRole primary && replica.isPrimary()) {
      primary.awaitFullReplication(listener);
    } else {
      listener.undecided();
    }
  }

  /** Returns whether a retained copy is being replaced, so that its log must not be cleaned. */
  public boolean isRefreshing() {
    return replica.isRefreshing();
  }

  private void reportServing() {
    boolean serving = serving();
    if (serving != reportedServing) {
      reportedServing = serving;
      replica.stateMachine().serving(serving);
    }
  }

  // Configuration and role transitions

  /** Takes the manager's configuration; the manager's updates arrive in their order. */
  public void learn(GroupConfiguration installed) {
    if (replica.isInVersion(installed.version())) {
      replica.setConfiguration(installed);
    } else {
      adopt(installed);
    }
  }

  /**
   * Adopts a configuration that the manager has installed, whoever reports it. The wanted members
   * may change within a version, and a report of the version in force may be older than the
   * manager's own update; so it changes nothing.
   */
  private void adopt(GroupConfiguration installed) {
    GroupConfiguration previous = replica.configuration();
    if (previous != null && installed.version() <= previous.version()) {
      return;
    }
    boolean wasMember = replica.isMember();
    final boolean continued = replica.isPrimary() && replica.isInVersion(installed.version() - 1);
    boolean isMember = installed.has(replica.member());
    if (previous == null && installed.version() == 1 && isMember) {
      replica.setComplete(true);
    }
    replica.setConfiguration(installed);
    if (wasMember || replica.isComplete()) {
      replica.append(new GroupLogRecord.ConfigurationAdopted(installed));
    }
    changeRole(wasMember, continued);
  }

  private void changeRole(boolean wasMember, boolean continued) {
    GroupConfiguration configuration = replica.configuration();
    if (replica.isPrimary()) {
      becomePrimary(wasMember, continued);
    } else if (replica.isMember()) {
      boolean wasCandidate = role instanceof CandidateRole;
      enter(new SecondaryRole(replica, proposer, 0));
      if (wasCandidate) {
        // The present segment may have begun before the transfer ended, without a header.
        header().ifPresent(replica::append);
      }
    } else if (role instanceof CandidateRole candidate
        && candidate.isCopiedFrom(configuration.primary())) {
      return; // The transfer goes on under the new version.
    } else if (replica.mustRetainCopy()) {
      retainCopy();
    } else if (wasMember || isInvolved() || replica.isComplete()) {
      leaveGroup();
    }
  }

  private void becomePrimary(boolean wasMember, boolean continued) {
    boolean copyVoid =
        !replica.isComplete()
            && !replica.isRefreshing()
            && (wasMember || role instanceof CandidateRole);
    PrimaryRole primary =
        role instanceof PrimaryRole present
            ? present
            : new PrimaryRole(replica, proposer, this::reportServing);
    if (primary != role) {
      enter(primary);
    }
    if (copyVoid) {
      replica.dropCopy();
    } else {
      cancelRefresh();
    }
    if (replica.isComplete()) {
      primary.beginVersion(continued);
    }
  }

  private void retainCopy() {
    enter(new RetainedCopyRole(replica, proposer));
    cancelRefresh();
    logCopy("group_copy_retained");
  }

  /** Returns to a retained copy whose refresh was not finished. */
  private void cancelRefresh() {
    if (replica.isRefreshing()) {
      replica.cancelRefresh();
      header().ifPresent(replica::append);
    }
  }

  private void leaveGroup() {
    logCopy("group_copy_dropped");
    enter(new NonMemberRole());
    replica.dropCopy();
  }

  private void logCopy(String event) {
    replica
        .runtime()
        .event(
            "event="
                + event
                + " group="
                + replica.group()
                + " version="
                + replica.configuration().version()
                + " members="
                + replica.configuration().members().size()
                + " complete="
                + replica.isComplete()
                + " serial="
                + replica.preparedList().lastSerial());
  }

  private void enter(ReplicaRole next) {
    role.end();
    reportServing();
    role = next;
  }

  // Updates

  /**
   * Submits an update: it gets the next serial number and is committed once every replica has
   * prepared it. While the group cannot serve it waits, as long as this node is named primary.
   *
   * @param needsCopies whether it must wait until there are as many replicas as wanted
   * @param listener gets the outcome
   */
  public void update(WireRecord entry, boolean needsCopies, UpdateListener listener) {
    // While a primary's role ends, its rejected updates may be submitted again.
    if (role instanceof PrimaryRole primary && replica.isPrimary()) {
      primary.update(new UpdateQueue.Update(entry, needsCopies, listener));
    } else {
      listener.rejected();
    }
  }

  /** Returns how many updates wait for the group to serve. */
  public int queuedUpdates() {
    return role instanceof PrimaryRole primary ? primary.queuedUpdates() : 0;
  }

  /** Returns whether all updates that were submitted to this primary have been committed. */
  public boolean isIdle() {
    return !(role instanceof PrimaryRole primary) || primary.isIdle();
  }

  /** Hands the primary's role over to a secondary, after the work in flight has ended. */
  public void handOver() {
    if (role instanceof PrimaryRole primary) {
      primary.handOver();
    }
  }

  // Time and connections

  /** Advances the timers; to be called every beacon interval or more often. */
  public void tick() {
    if (replica.configuration() == null) {
      return;
    }
    if (role instanceof CandidateRole candidate
        && candidate.isAbandoned(replica.now())
        && replica.mustRetainCopy()) {
      retainCopy();
    }
    role.tick(replica.now());
    reportServing();
  }

  /** Reports that the machine with that address closed its connection. */
  public void peerLost(String address) {
    role.onConnectionLost(address);
  }

  /**
   * Handles a beacon, as part of one that a machine sends for all groups it leads.
   *
   * @return whether it is acknowledged
   */
  public boolean beacon(String from, long version, long point) {
    return role instanceof SecondaryRole secondary && secondary.onBeacon(from, version, point);
  }

  /** Handles the acknowledgement of a beacon that was sent at the given time. */
  public void onBeaconAcknowledged(String member, long version, long sentAt) {
    if (role instanceof PrimaryRole primary) {
      primary.onBeaconAcknowledged(member, version, sentAt);
    }
  }

  // Messages

  /**
   * Handles a message of another replica. One that is malformed or of an unknown kind is logged and
   * dropped.
   *
   * @param from address of the sending machine
   */
  public void onMessage(String from, WireRecord encoded) {
    Optional<GroupMessage> message;
    try {
      message = GroupMessage.decode(encoded);
    } catch (ProtocolException e) {
      replica
          .runtime()
          .event("event=group_message_malformed from=" + from + " cause=" + e.getMessage());
      return;
    }
    if (message.isPresent()) {
      dispatch(from, message.get());
    } else {
      replica.runtime().event("event=group_message_unknown kind=" + encoded.kind());
    }
  }

  private void dispatch(String from, GroupMessage message) {
    if (message instanceof PrepareMessage prepare) {
      role.onPrepare(prepare);
    } else if (message instanceof PreparedMessage prepared) {
      role.onPrepared(prepared);
    } else if (message instanceof ReconcileMessage reconcile) {
      onReconcile(reconcile);
    } else if (message instanceof CopyStartMessage copyStart) {
      onCopyStart(copyStart);
    } else if (message instanceof CopyPiecesMessage pieces) {
      role.onCopyPieces(from, pieces);
    } else if (message instanceof ConfigurationMessage configuration) {
      adopt(configuration.configuration());
    }
  }

  private void onReconcile(ReconcileMessage message) {
    GroupConfiguration sent = message.configuration();
    adopt(sent);
    if (replica.isInVersion(sent.version())) {
      role.onReconcile(message);
    } else {
      replica.sendConfiguration(sent.primary(), replica.configuration());
    }
  }

  private void onCopyStart(CopyStartMessage message) {
    GroupConfiguration sent = message.configuration();
    if (replica.configuration() == null) {
      replica.setConfiguration(sent);
    } else {
      adopt(sent);
    }
    if (replica.isInVersion(sent.version()) && !replica.isMember()) {
      enter(new CandidateRole(replica, message));
    }
  }

  // Log

  /**
   * Replays one record of the log; the records come in their order. A record of an unknown kind is
   * skipped.
   *
   * @param writtenAtMicros when it was written, on the clock of this process
   * @throws IllegalStateException if a required field is missing
   */
  public void replay(WireRecord encoded, long place, long writtenAtMicros) {
    logReplay.replay(encoded, place, writtenAtMicros);
  }

  /** Begins the work of this process after the last record of the log was replayed. */
  public void replayed() {
    if (!logReplay.finish()) {
      return;
    }
    cancelRefresh();
    if (replica.isPrimary()) {
      PrimaryRole primary = new PrimaryRole(replica, proposer, this::reportServing);
      primary.resumeAfterRestart();
      enter(primary);
    } else if (replica.isMember()) {
      enter(new SecondaryRole(replica, proposer, logReplay.reconciledVersion()));
    } else if (replica.mustRetainCopy()) {
      retainCopy();
    }
    // A finished copy of a candidate is kept until the manager says whether it became a member.
  }

  /**
   * Returns the record that a new segment of the log must begin with, or null if this node has no
   * complete state of the group.
   */
  public WireRecord meta() {
    return header().map(GroupLogRecord.SegmentHeader::toWireRecord).orElse(null);
  }

  private Optional<GroupLogRecord.SegmentHeader> header() {
    boolean present =
        replica.isComplete()
            && (replica.isMember() || replica.mustRetainCopy())
            && replica.isLogReliable();
    return present
        ? Optional.of(
            new GroupLogRecord.SegmentHeader(replica.group(), committed(), replica.configuration()))
        : Optional.empty();
  }

  /**
   * Writes the uncommitted entries again, so that the oldest segment can be removed.
   *
   * @param listener notified of the beginning and the end of each write
   */
  public void rewriteUncommitted(RewriteListener listener) {
    replica.preparedList().rewriteUncommitted(replica.configuration().version(), listener);
  }

  /** Returns one line for logs and failed tests. */
  @Override
  public String toString() {
    PreparedList list = replica.preparedList();
    return "group="
        + replica.group()
        + " configuration="
        + replica.configuration()
        + " complete="
        + replica.isComplete()
        + " diskFailed="
        + replica.hasDiskFailed()
        + " last="
        + list.lastSerial()
        + " durable="
        + list.durableSerial()
        + " committed="
        + list.committedPoint()
        + " role="
        + role;
  }
}
