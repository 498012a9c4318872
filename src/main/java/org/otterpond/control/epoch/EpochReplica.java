package org.otterpond.control.epoch;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.otterpond.control.epoch.message.AcceptRecord;
import org.otterpond.control.epoch.message.BegunRecord;
import org.otterpond.control.epoch.message.EpochMessage;
import org.otterpond.control.epoch.message.EpochMessageDecoder;
import org.otterpond.control.epoch.message.PromiseRecord;
import org.otterpond.control.epoch.message.SnapshotRecord;
import org.otterpond.control.state.CompressedText;
import org.otterpond.control.state.CoreMember;
import org.otterpond.control.state.EpochRecord;
import org.otterpond.control.state.FaultTolerance;
import org.otterpond.control.state.ReplicatedEntryDecoder;
import org.otterpond.control.state.ReplicatedState;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;
import org.otterpond.runtime.NodeRuntime;

/**
 * A member of the core: always a witness, and candidate, primary or backup when it comes to that.
 *
 * <p>An epoch begins only when a majority of the old and of the new members have its record
 * durably. An entry is committed once it is durable on the epoch's primary and on each of its
 * backups. Only a member of the newest group may begin a new epoch, and it copies its whole state
 * to the backups it names before any member is asked to accept the record. There are as many
 * backups as losses must be survived, so one of a group always remains.
 *
 * <p>This class is the interface for other packages; {@link EpochTransitions} holds the roles. All
 * calls are made on the owner thread. Times are microseconds.
 */
public final class EpochReplica {
  /** The kinds of the replicated entries, which {@link ReplicatedState} applies. */
  private final EpochContext context;

  private final EpochTransitions transitions;
  private final DurableVoteState votes;
  private final KnownRecord known;
  private final CommittedConfiguration configuration;
  private final PrimaryRole primary;
  private final EpochMessageDispatcher dispatcher;

  /**
   * Creates a member; its log is replayed before anything else is called.
   *
   * @param runtime time, messages, log and timers of this node
   * @param timeouts the time-outs
   * @param listener notified of changes of this node's role
   * @param self this node as a member
   * @param state the replicated state, empty
   * @param faultTolerance what the core must survive
   */
  public EpochReplica(
      NodeRuntime runtime,
      EpochTimeouts timeouts,
      EpochListener listener,
      CoreMember self,
      ReplicatedState state,
      FaultTolerance faultTolerance) {
    this.context = new EpochContext(runtime, timeouts, self, state, faultTolerance);
    this.transitions = new EpochTransitions(context, listener);
    this.votes = transitions.votes();
    this.known = transitions.known();
    this.configuration = transitions.configuration();
    this.primary = transitions.primary();
    this.dispatcher =
        new EpochMessageDispatcher(
            transitions,
            new Witness(context, transitions),
            new SnapshotInstaller(context, transitions));
  }

  /**
   * Replays one log record after a start.
   *
   * @throws IllegalStateException if the record is of a known kind and cannot be read
   */
  public void replay(WireRecord encoded) {
    try {
      replayRecord(encoded);
    } catch (ProtocolException e) {
      throw new IllegalStateException("unreadable log record of kind " + encoded.kind(), e);
    }
    configuration.update(context.state());
  }

  private void replayRecord(WireRecord encoded) throws ProtocolException {
    switch (encoded.kind()) {
      case PromiseRecord.KIND -> votes.replay(PromiseRecord.of(encoded));
      case AcceptRecord.KIND -> replayAccept(AcceptRecord.of(encoded));
      case BegunRecord.KIND -> votes.replay(BegunRecord.of(encoded));
      case SnapshotRecord.KIND ->
          context.state().load(SnapshotRecord.stateOf(encoded), context.now());
      default -> replayEntry(encoded);
    }
  }

  private void replayAccept(AcceptRecord entry) {
    votes.replay(entry);
    known.replace(entry.record());
    transitions.backup().losePosition();
  }

  private void replayEntry(WireRecord entry) {
    if (ReplicatedEntryDecoder.isEntry(entry.kind())) {
      context.state().apply(entry, context.now());
    } else {
      context.runtime().event("event=journal_record_skipped kind=" + entry.kind());
    }
  }

  /** Returns the records that a new log must begin with to stand for this one. */
  public List<WireRecord> journalBase() {
    return transitions.logBase();
  }

  /** Returns whether this node has ever accepted a record. */
  public boolean hasRecord() {
    return votes.acceptedRecord() != null;
  }

  /** Returns the record that this node accepted last, or null. */
  public EpochRecord record() {
    return votes.acceptedRecord();
  }

  /** Returns the newest record that this node knows of, or null. */
  public EpochRecord known() {
    return known.newest();
  }

  /** Returns whether this node is primary and may commit. */
  public boolean leading() {
    return transitions.isActivePrimary();
  }

  /** Returns the replicated state, on a primary with what is not committed yet. */
  public ReplicatedState hold() {
    return context.state();
  }

  /** Returns the revision of the newest committed configuration. */
  public long committedRevision() {
    return configuration.revision();
  }

  /** Returns the newest committed configuration, or null. */
  public CompressedText committedConfiguration() {
    return configuration.text();
  }

  /** Returns the newest committed configuration as it is sent to nodes, or null. */
  public byte[] compressedConfiguration() {
    return configuration.text() == null ? null : configuration.text().compressed();
  }

  /**
   * Takes the founding record, which the seeds have decided. A node that has promised or accepted
   * anything ignores it.
   */
  public void acceptFirstRecord(EpochRecord first) {
    if (!votes.isBlank()) {
      return;
    }
    if (first.hasMember(context.self().diskId())) {
      transitions.acceptFoundingRecord(first);
    } else {
      transitions.learn(first);
    }
  }

  /**
   * A peer closed its connection to this node. If it is another of the group, it has a short time
   * to be heard again, as after a mere reset, in place of the whole time-out of silence.
   */
  public void peerClosed(String address) {
    if (record() == null || !known().isInGroup(context.self().diskId())) {
      return;
    }
    if (leading()) {
      record().backups().stream()
          .filter(backup -> backup.address().equals(address))
          .forEach(primary.liveness()::backupConnectionClosed);
    } else if (!transitions.isPrimary() && known().primary().address().equals(address)) {
      transitions.timer().primaryConnectionClosed();
    }
  }

  /** Takes note of a record heard of from anyone; it is a hint, never a vote. */
  public void learn(EpochRecord record) {
    transitions.learn(record);
  }

  /** Does what is due; called every few tens of milliseconds. */
  public void tick() {
    long now = context.now();
    context.state().expire(now);
    primary.proof().expire(now);
    if (record() == null) {
      return;
    }
    if (transitions.isPrimary() && transitions.log().isStalled(now)) {
      context.runtime().event("event=resigned_on_disk_stall epoch=" + record().epoch());
      transitions.resign();
      return;
    }
    if (transitions.isCandidate()) {
      transitions.candidate().tick(now);
      return;
    }
    transitions.leave().tick(now);
    if (leading()) {
      primary.tick(now);
    } else {
      transitions.backup().tick(now);
    }
  }

  /** Returns whether the member said that it is shutting down. */
  public boolean leaving(CoreMember member) {
    return transitions.selection().isLeaving(member);
  }

  /**
   * Returns the newest moment at which this node is known to have been the only possible primary;
   * the distant past if it is not primary.
   */
  public long leadershipProvedAt() {
    return primary.proof().provedAt();
  }

  /**
   * Returns whether this node may, as primary and without asking, grant what stays in use for
   * {@link EpochTimeouts#lent}: its authority is fresh, no earlier primary's can be, and what the
   * one before the last granted is in use no more. So grants of at most two primaries are in use at
   * any time.
   */
  public boolean mayGrantTokens() {
    return hasFreshProof() && context.now() >= grantsTokensFrom();
  }

  /** Returns whether this node is primary and nobody else can be by now. */
  public boolean hasFreshProof() {
    return primary.proof().isFresh();
  }

  /** Returns from when on no primary before this one acts on its authority. */
  public long formerAuthorityEndsAt() {
    return transitions.formerPrimaries().authorityEndsAt();
  }

  /** Returns from when on this node may, as primary, grant what stays in use for a while. */
  public long grantsTokensFrom() {
    return transitions.formerPrimaries().grantsFrom();
  }

  /**
   * Replicates an entry.
   *
   * @param committed runs once the entry is durable on the whole group; never, if this node stops
   *     being primary before
   * @return false if this node is not primary
   */
  public boolean propose(WireRecord entry, Runnable committed) {
    return primary.propose(entry, committed);
  }

  /**
   * Proves that this node was primary at a moment after this call, and pings its backups for that.
   *
   * @param result gets true with the proof; false if there is none within {@code
   *     EpochTimeouts.proofMicros}, at once if this node is not primary
   */
  public void confirm(Consumer<Boolean> result) {
    primary.proof().confirm(result);
  }

  /** Does the same as {@link #confirm}, with the next ping that is sent in any case. */
  public void confirmLater(Consumer<Boolean> result) {
    primary.proof().confirmLater(result);
  }

  /**
   * Begins a planned shutdown: hands over the role, and takes it again only if nobody else does.
   */
  public void retire() {
    transitions.leave().start();
  }

  /** Returns whether the newest known group counts on this node and others could replace it. */
  public boolean needed() {
    return transitions.leave().isNeeded();
  }

  /** Begins an epoch with other members once the batch in flight is committed. */
  public void changeMembers(List<CoreMember> members) {
    primary.changeMembers(members);
  }

  /** Returns whether the primary has not heard of the member for longer than the given time. */
  public boolean silent(CoreMember member, long micros) {
    return primary.liveness().isSilent(member, micros);
  }

  /**
   * Handles a message between core members. One that cannot be read is logged and dropped.
   *
   * @return false if it is of another family
   */
  public boolean onMessage(String from, WireRecord encoded) {
    try {
      Optional<EpochMessage> message = EpochMessageDecoder.decode(encoded);
      message.ifPresent(decoded -> dispatcher.dispatch(from, decoded));
      return message.isPresent();
    } catch (ProtocolException e) {
      context.runtime().malformedMessage(from, e);
      return true;
    }
  }
}
