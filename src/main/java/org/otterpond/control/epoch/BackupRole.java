package org.otterpond.control.epoch;

import org.otterpond.control.epoch.message.RecordGossip;
import org.otterpond.control.epoch.message.ReplicateReject;
import org.otterpond.control.epoch.message.ReplicateRequest;
import org.otterpond.control.epoch.message.ReplicateResponse;
import org.otterpond.control.epoch.message.ResignNotice;
import org.otterpond.control.epoch.message.SnapshotProgress;
import org.otterpond.control.state.EpochRecord;

/** The backup: follows the replication of its primary, and takes over from it in its turn. */
final class BackupRole {
  /** A leaving member of the group takes over only if nobody else does. */
  private static final long LEAVING_DELAY_MICROS = 1_000_000;

  private final EpochContext context;
  private final EpochTransitions transitions;
  private final DurableVoteState votes;
  private final KnownRecord known;
  private final LogHealth log;
  private final ElectionTimer timer;
  private long lastBatchNumber;

  /** Whether a process before this one followed the epoch: how far it had come is not known. */
  private boolean positionLost;

  private long lastGossipAt;

  BackupRole(EpochContext context, EpochTransitions transitions) {
    this.context = context;
    this.transitions = transitions;
    this.votes = transitions.votes();
    this.known = transitions.known();
    this.log = transitions.log();
    this.timer = transitions.timer();
  }

  /** Begins an epoch with a complete state: its first batch is the next. */
  void resetPosition() {
    lastBatchNumber = 0;
    positionLost = false;
  }

  /** The accepted epoch was read from the log of an earlier process. */
  void losePosition() {
    positionLost = true;
  }

  void onReplicateRequest(String from, ReplicateRequest request) {
    if (!votes.follows(request.epoch()) || log.isFailed()) {
      reject(from, request.epoch(), log.isFailed());
      return;
    }
    timer.heardPrimary();
    long batchNumber = request.batchNumber();
    if (positionLost || batchNumber > lastBatchNumber + 1) {
      reportPositionLost(from, request.epoch());
      return;
    }
    Runnable respond =
        () ->
            context.send(
                from, new ReplicateResponse(request.epoch(), batchNumber, context.self().diskId()));
    Runnable refused = () -> refused(from, request.epoch());
    if (batchNumber <= lastBatchNumber) {
      votes.writePromise(respond, refused);
      return;
    }
    lastBatchNumber = batchNumber;
    log.appendBatch(
        request.entries(), entry -> context.state().apply(entry, context.now()), respond, refused);
    transitions.configuration().update(context.state());
  }

  private void refused(String from, long epoch) {
    transitions.logRefused();
    context.send(
        from,
        new ReplicateReject(epoch, votes.promisedEpoch(), context.self().diskId(), true, null));
  }

  private void reject(String from, long epoch, boolean diskFailed) {
    context.send(
        from,
        new ReplicateReject(
            epoch,
            votes.promisedEpoch(),
            context.self().diskId(),
            diskFailed,
            votes.acceptedRecord()));
  }

  /** Reports to a ping that this backup cannot follow, so that nobody waits for a batch. */
  void onPingOfFollowedEpoch(String from, long epoch) {
    if (positionLost && votes.acceptedRecord().backupRank(context.self().diskId()) >= 0) {
      reportPositionLost(from, epoch);
    }
  }

  /** Only another epoch, which copies the state, makes this member a backup again. */
  private void reportPositionLost(String from, long epoch) {
    context.runtime().event("event=backup_position_lost epoch=" + epoch);
    reject(from, epoch, false);
  }

  /**
   * Spreads the newest record where there is no primary, and takes over if it is this node's turn.
   */
  void tick(long now) {
    EpochRecord newest = known.newest();
    long silence = context.timeouts().primarySilenceMicros();
    if (timer.silence(now) > 2 * silence && now - lastGossipAt > silence) {
      lastGossipAt = now;
      context.sendToOthers(newest.members(), new RecordGossip(newest));
    }
    if (!mayTakeOver(now)) {
      return;
    }
    boolean namedPrimary = context.isSelf(newest.primary());
    if (transitions.isPrimary() || namedPrimary || timer.silence(now) > takeoverSilence(newest)) {
      transitions.startCandidacy(newest.members());
    }
  }

  private boolean mayTakeOver(long now) {
    LeaveProcess leave = transitions.leave();
    return !log.isFailed()
        && !(leave.isLeaving() && !leave.isNeeded())
        && isInKnownGroup()
        && timer.allowsCandidacy(now);
  }

  private boolean isInKnownGroup() {
    return known.newest().isInGroup(context.self().diskId());
  }

  /** The backups take their turns, so that they do not outbid each other. */
  private long takeoverSilence(EpochRecord record) {
    return context.timeouts().primarySilenceMicros() + turnDelay(record);
  }

  private long turnDelay(EpochRecord record) {
    int rank = Math.max(0, record.backupRank(context.self().diskId()));
    return rank * context.timeouts().rankStepMicros()
        + (transitions.leave().isLeaving() ? LEAVING_DELAY_MICROS : 0);
  }

  /** The primary has stopped acting and told each backup; they take their turns. */
  void onResignNotice(ResignNotice notice) {
    EpochRecord record = votes.acceptedRecord();
    if (transitions.isPrimary()
        || record == null
        || record.epoch() != notice.epoch()
        || !isInKnownGroup()
        || log.isFailed()) {
      return;
    }
    transitions.selection().exclude(record.primary().diskId());
    transitions.formerPrimaries().resigned(notice.authorityEndsInMicros());
    context.runtime().after(turnDelay(record), () -> takeOverFromResigned(notice.epoch()));
  }

  private void takeOverFromResigned(long epoch) {
    if (!transitions.isPrimary()
        && !transitions.isCandidate()
        && !log.isFailed()
        && known.newest().epoch() == epoch
        && votes.promisedEpoch() == epoch) {
      transitions.startCandidacy(known.newest().members());
    }
  }

  /** The candidate whose epoch was promised is copying its state and must not be outbid. */
  void onSnapshotProgress(SnapshotProgress message) {
    if (votes.hasGranted(message.epoch())) {
      timer.candidateActive();
    }
  }
}
