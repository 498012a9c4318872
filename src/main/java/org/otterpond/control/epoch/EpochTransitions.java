package org.otterpond.control.epoch;

import java.util.ArrayList;
import java.util.List;
import org.otterpond.control.epoch.Candidacy.Phase;
import org.otterpond.control.state.CoreMember;
import org.otterpond.control.state.EpochRecord;
import org.otterpond.control.state.FaultTolerance;
import org.otterpond.protocol.WireRecord;

/**
 * Owns the roles of this node and every transition between them. Each member is a witness; besides,
 * it may be candidate, primary or backup. A primary stays primary while it is a candidate for its
 * next epoch, and commits nothing until that has begun.
 */
final class EpochTransitions {
  private final EpochContext context;
  private final EpochListener listener;
  private final LogHealth log;
  private final DurableVoteState votes;
  private final KnownRecord known = new KnownRecord();
  private final CommittedConfiguration configuration = new CommittedConfiguration();
  private final ElectionTimer timer;
  private final FormerPrimaries formerPrimaries;
  private final BackupSelection selection;
  private final LeaveProcess leave;
  private final BackupRole backup;
  private final CandidateRole candidate;
  private final PrimaryRole primary;

  EpochTransitions(EpochContext context, EpochListener listener) {
    this.context = context;
    this.listener = listener;
    this.log = new LogHealth(context, this::logBase, this::logRefused);
    this.votes = new DurableVoteState(log);
    this.timer = new ElectionTimer(context);
    this.formerPrimaries = new FormerPrimaries(context);
    this.selection = new BackupSelection(context);
    this.leave = new LeaveProcess(context, this);
    this.backup = new BackupRole(context, this);
    this.candidate = new CandidateRole(context, this);
    this.primary = new PrimaryRole(context, this);
  }

  LogHealth log() {
    return log;
  }

  DurableVoteState votes() {
    return votes;
  }

  KnownRecord known() {
    return known;
  }

  CommittedConfiguration configuration() {
    return configuration;
  }

  ElectionTimer timer() {
    return timer;
  }

  FormerPrimaries formerPrimaries() {
    return formerPrimaries;
  }

  BackupSelection selection() {
    return selection;
  }

  LeaveProcess leave() {
    return leave;
  }

  BackupRole backup() {
    return backup;
  }

  CandidateRole candidate() {
    return candidate;
  }

  PrimaryRole primary() {
    return primary;
  }

  /** The record that this member accepted, or null. */
  EpochRecord record() {
    return votes.acceptedRecord();
  }

  /** Whether this node is primary, be it that it is a candidate for its next epoch. */
  boolean isPrimary() {
    return primary.isPrimary();
  }

  boolean isCandidate() {
    return candidate.isActive();
  }

  /**
   * Whether this node may commit. A primary that has promised a newer epoch, even its own, commits
   * nothing until that epoch has begun: a witness may already have accepted a record whose backups
   * lack what would be committed now.
   */
  boolean isActivePrimary() {
    return isPrimary()
        && !isCandidate()
        && primary.begunEpoch() == record().epoch()
        && votes.promisedEpoch() == primary.begunEpoch();
  }

  /** Returns what a new log must begin with to stand for this node. */
  List<WireRecord> logBase() {
    List<WireRecord> records = new ArrayList<>(votes.logRecords());
    records.add(context.state().snapshot());
    return records;
  }

  /** Takes note of a record heard of; a newer epoch ends what this node does in an older one. */
  void learn(EpochRecord record) {
    if (!known.learn(record)) {
      return;
    }
    if (isPrimary() && record.epoch() > record().epoch()) {
      stepDown("newer_epoch");
    }
    if (isCandidate() && record.epoch() > candidate.candidacy().epoch()) {
      candidate.drop();
    }
    listener.onRecordLearned(record);
  }

  /** Accepts the record of this node's own candidacy. */
  void acceptOwnRecord(EpochRecord record, Runnable whenDurable) {
    accept(record, whenDurable, () -> {});
  }

  /** Accepts the record of another member's candidacy; a refused write is a failed disk. */
  void acceptRecordOfOther(EpochRecord record, Runnable whenDurable) {
    accept(record, whenDurable, this::logRefused);
  }

  /** Accepts the founding record, which the seeds have decided. */
  void acceptFoundingRecord(EpochRecord record) {
    accept(record, () -> {}, () -> {});
    learn(record);
    timer.founded(context.isSelf(record.primary()));
  }

  private void accept(EpochRecord record, Runnable whenDurable, Runnable whenRefused) {
    backup.resetPosition();
    timer.heardPrimary();
    votes.accept(record, whenDurable, whenRefused);
  }

  /** Becomes a candidate for an epoch with these members. */
  void startCandidacy(List<CoreMember> members) {
    primary.candidacyStarts();
    candidate.start(members);
  }

  /** Ends the candidacy because another member's epoch was promised or accepted. */
  void dropCandidacy() {
    candidate.drop();
  }

  /** Gives way to the candidate or primary of another epoch. */
  void yieldTo(String reason) {
    if (isPrimary()) {
      stepDown(reason);
    }
    candidate.drop();
  }

  /** Ends a candidacy that failed; another may start a little later. */
  void abandonCandidacy(String reason) {
    Candidacy abandoned = candidate.candidacy();
    context
        .runtime()
        .event("event=candidacy_abandoned epoch=" + abandoned.epoch() + " reason=" + reason);
    if (abandoned.isIn(Phase.COPY)) {
      abandoned.backups().stream()
          .filter(member -> !abandoned.transfer().isInstalledOn(member))
          .forEach(member -> selection.exclude(member.diskId()));
    }
    candidate.drop();
    if (isPrimary() && !context.isSelf(known.newest().primary())) {
      stepDown(reason);
    }
    timer.candidacyAbandoned();
  }

  /** Becomes primary of the epoch that enough members have accepted. */
  void beginEpoch(Candidacy candidacy) {
    EpochRecord record = candidacy.proposal();
    boolean continued = isPrimary();
    candidate.drop();
    selection.forgetBefore(record);
    if (!continued) {
      formerPrimaries.becamePrimary();
    }
    primary.activate(candidacy);
    votes.markBegun(record.epoch());
    known.replace(record);
    configuration.update(context.state());
    logEpochBegan(record);
    primary.replication().commitAllCopied();
    listener.began(record, continued);
    primary.pingMembers();
    primary.replication().addWaiting();
    leave.epochBegan(context.now());
  }

  private void logEpochBegan(EpochRecord record) {
    context
        .runtime()
        .event(
            "event=epoch_began epoch="
                + record.epoch()
                + " primary="
                + context.self().name()
                + " backups="
                + EpochContext.names(record.backups())
                + " members="
                + record.members().size()
                + " key_locks="
                + context.state().keyLockCount()
                + " revision="
                + context.state().revision());
    FaultTolerance tolerance = context.faultTolerance();
    boolean groupSpread = selection.isSpread(record.backups());
    boolean majoritySpread = tolerance.margin(record.members()) >= 0;
    if (tolerance.zones() + tolerance.regions() > 0 && !(groupSpread && majoritySpread)) {
      context
          .runtime()
          .event(
              "event=core_not_spread epoch="
                  + record.epoch()
                  + " zone_tolerance="
                  + tolerance.zones()
                  + " region_tolerance="
                  + tolerance.regions()
                  + " group="
                  + spreadText(groupSpread)
                  + " majority="
                  + spreadText(majoritySpread));
    }
  }

  private static String spreadText(boolean spread) {
    return spread ? "spread" : "crowded";
  }

  /** Stops being primary; nothing that is in flight is acknowledged. */
  private void stepDown(String reason) {
    context.runtime().event("event=stepped_down reason=" + reason + " epoch=" + record().epoch());
    candidate.drop();
    primary.deactivate();
    timer.heardPrimary();
    listener.steppedDown();
  }

  /** Hands the role of the primary to the backups: the first that can begins a new epoch. */
  void resign() {
    if (!isPrimary()) {
      return;
    }
    EpochRecord record = record();
    stepDown("resigned");
    timer.resigned();
    leave.resigned(record);
  }

  /** A write that somebody waits for was refused: this node gives up every role but witness. */
  void logRefused() {
    log.markFailed();
    candidate.drop();
    resign();
  }
}
