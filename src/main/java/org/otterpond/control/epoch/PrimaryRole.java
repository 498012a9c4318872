package org.otterpond.control.epoch;

import java.util.List;
import org.otterpond.control.epoch.message.AcceptRequest;
import org.otterpond.control.epoch.message.LeaveNotice;
import org.otterpond.control.epoch.message.Ping;
import org.otterpond.control.epoch.message.Pong;
import org.otterpond.control.epoch.message.ReplicateReject;
import org.otterpond.control.epoch.message.ReplicateResponse;
import org.otterpond.control.state.CoreMember;
import org.otterpond.control.state.EpochAnnouncement;
import org.otterpond.control.state.EpochRecord;
import org.otterpond.protocol.WireRecord;

/**
 * The primary: replicates entries, watches its backups, proves its leadership, and begins another
 * epoch when the group or the members have to change.
 */
final class PrimaryRole {
  private final EpochContext context;
  private final EpochTransitions transitions;
  private final BackupSelection selection;
  private final MemberLiveness liveness;
  private final LeadershipProof proof;
  private final BatchReplication replication;
  private final GroupReform reform;

  private boolean primary;
  private long begunEpoch;
  private long lastPingAt;

  /** The members wanted in the next epoch while a batch is in flight, or null. */
  private List<CoreMember> wantedMembers;

  PrimaryRole(EpochContext context, EpochTransitions transitions) {
    this.context = context;
    this.transitions = transitions;
    this.selection = transitions.selection();
    this.liveness = new MemberLiveness(context);
    this.proof = new LeadershipProof(context, transitions);
    this.replication =
        new BatchReplication(
            context, transitions, transitions.configuration(), this::onReplicationIdle);
    this.reform = new GroupReform(context, selection);
  }

  /** Whether this node is primary, be it that it is a candidate for its next epoch. */
  boolean isPrimary() {
    return primary;
  }

  long begunEpoch() {
    return begunEpoch;
  }

  LeadershipProof proof() {
    return proof;
  }

  MemberLiveness liveness() {
    return liveness;
  }

  BatchReplication replication() {
    return replication;
  }

  static Ping ping(EpochRecord record, long now) {
    return new Ping(record.epoch(), record.fleet(), now);
  }

  /** Sends a heartbeat to all members. */
  void pingMembers() {
    long now = context.now();
    context.sendToOthers(transitions.known().newest().members(), ping(transitions.record(), now));
  }

  /**
   * Replicates an entry, after the epoch that is to begin if there is one.
   *
   * @return false if this node is not primary
   */
  boolean propose(WireRecord entry, Runnable committed) {
    if (!primary) {
      return false;
    }
    if (transitions.isActivePrimary()) {
      replication.add(entry, committed);
    } else {
      replication.addToNextEpoch(entry, committed);
    }
    return true;
  }

  void tick(long now) {
    if (excludeLostBackups(now)) {
      transitions.startCandidacy(transitions.record().members());
      return;
    }
    if (reformGroup()) {
      return;
    }
    replication.resendOverdue(now);
    if (now - lastPingAt >= context.timeouts().pingMicros()) {
      lastPingAt = now;
      pingMembers();
    }
  }

  /** Excludes backups that are silent or do not sync; whether there are any. */
  private boolean excludeLostBackups(long now) {
    EpochRecord record = transitions.record();
    ReplicationBatch overdue = replication.overdue(now);
    boolean lost = false;
    for (CoreMember backup : record.backups()) {
      boolean stuck = overdue != null && !overdue.isDurableOn(backup);
      if (stuck || liveness.isBackupSilent(backup, now)) {
        context
            .runtime()
            .event(
                "event=backup_lost epoch="
                    + record.epoch()
                    + " backup="
                    + backup.name()
                    + " reason="
                    + (stuck ? "no_sync" : "silence"));
        selection.exclude(backup.diskId());
        lost = true;
      }
    }
    return lost;
  }

  private boolean reformGroup() {
    EpochRecord record = transitions.record();
    if (!reform.isDue(record, liveness.reachable(record.members()))) {
      return false;
    }
    transitions.startCandidacy(record.members());
    return true;
  }

  /** Begins an epoch with other members, as soon as no batch is in flight. */
  void changeMembers(List<CoreMember> members) {
    if (!transitions.isActivePrimary()) {
      return;
    }
    if (replication.isIdle()) {
      transitions.startCandidacy(members);
    } else {
      wantedMembers = members;
    }
  }

  private void onReplicationIdle() {
    if (wantedMembers != null) {
      transitions.startCandidacy(wantedMembers);
    } else {
      replication.sendNext();
    }
  }

  /** Whatever members were wanted, the candidacy that starts now decides them. */
  void candidacyStarts() {
    wantedMembers = null;
    replication.writeOpenBatch();
  }

  void onReplicateResponse(ReplicateResponse response) {
    if (!transitions.isActivePrimary()
        || transitions.record().epoch() != response.epoch()
        || transitions.record().backupRank(response.diskId()) < 0) {
      return;
    }
    liveness.backupHeard(response.diskId());
    liveness.memberHeard(response.diskId());
    replication.acknowledged(response.diskId(), response.batchNumber());
  }

  void onReplicateReject(ReplicateReject reject) {
    transitions.known().noteEpoch(reject.promisedEpoch());
    transitions.learn(reject.acceptedRecord());
    if (transitions.isActivePrimary() && transitions.record().epoch() == reject.epoch()) {
      if (reject.diskFailed()) {
        selection.exclude(reject.diskId());
      }
      transitions.startCandidacy(transitions.record().members());
    }
  }

  void onPong(String from, Pong pong) {
    if (transitions.isActivePrimary() && pong.epoch() == 0) {
      // A blank disk at a member's address may know nobody else who can tell it of the core.
      context.send(from, new EpochAnnouncement(transitions.record()));
    }
    transitions.learn(pong.newerRecord());
    if (!transitions.isActivePrimary()) {
      return;
    }
    EpochRecord record = transitions.record();
    String diskId = pong.status().diskId();
    boolean follows =
        record.backupRank(diskId) >= 0 && pong.promisedEpoch().orElse(0) <= record.epoch();
    liveness.onPong(pong, follows);
    selection.setLeaving(diskId, pong.status().leaving());
    if (pong.status().diskFailed()) {
      selection.exclude(diskId);
    }
    if (follows && pong.pingSentAtMicros().isPresent() && pong.epoch() == record.epoch()) {
      proof.followed(diskId, pong.pingSentAtMicros().getAsLong());
    }
    if (pong.epoch() < transitions.record().epoch()) {
      repeatAcceptRequest(diskId);
    }
  }

  /** The member has not accepted the record of this epoch yet. */
  private void repeatAcceptRequest(String diskId) {
    EpochRecord record = transitions.record();
    for (CoreMember member : record.members()) {
      if (member.diskId().equals(diskId)) {
        context.send(member.address(), new AcceptRequest(record, diskId, context.self().address()));
      }
    }
  }

  void onLeaveNotice(LeaveNotice notice) {
    selection.setLeaving(notice.diskId(), true);
    if (transitions.isActivePrimary()) {
      reformGroup();
    }
  }

  /** Becomes primary of the epoch; only {@link EpochTransitions} calls this. */
  void activate(Candidacy candidacy) {
    if (!primary) {
      liveness.forgetMembers();
    }
    primary = true;
    begunEpoch = candidacy.epoch();
    replication.epochBegan();
    proof.epochBegan();
    liveness.epochBegan(candidacy);
    lastPingAt = context.now();
  }

  /** Is no longer primary; only {@link EpochTransitions} calls this. */
  void deactivate() {
    primary = false;
    replication.discardAll();
    wantedMembers = null;
    proof.steppedDown();
  }
}
