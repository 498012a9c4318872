package org.otterpond.control.epoch;

import java.util.List;
import org.otterpond.control.epoch.Candidacy.Phase;
import org.otterpond.control.epoch.message.AcceptRequest;
import org.otterpond.control.epoch.message.AcceptResponse;
import org.otterpond.control.epoch.message.PrepareRequest;
import org.otterpond.control.epoch.message.PrepareResponse;
import org.otterpond.control.epoch.message.RejectResponse;
import org.otterpond.control.epoch.message.SnapshotChunkResponse;
import org.otterpond.control.epoch.message.SnapshotInstalled;
import org.otterpond.control.state.CoreMember;
import org.otterpond.control.state.EpochRecord;
import org.otterpond.control.state.FaultTolerance;

/**
 * The candidate: asks for promises, copies its state to the backups it chooses, then asks members
 * to accept the record. {@link EpochTransitions} begins the epoch once enough have.
 */
final class CandidateRole {
  /**
   * Epochs of one round differ by the position of their candidate among the members, so that two
   * candidates never propose the same one; no core has as many members.
   */
  private static final int EPOCH_STEP = 64;

  /** A newcomer that has not answered by then is left out, so that old members do not wait. */
  private static final long NEWCOMER_TIMEOUT_MICROS = 300_000;

  /** Once a majority has promised, others may make a better group if they answer within this. */
  private static final long MORE_PROMISES_MICROS = 40_000;

  /** Upper bound on a snapshot transfer: pending writes of the new epoch wait no longer. */
  private static final long MAX_CANDIDACY_MICROS = 30_000_000;

  private final EpochContext context;
  private final EpochTransitions transitions;
  private final DurableVoteState votes;
  private final KnownRecord known;
  private final BackupSelection selection;
  private final FormerPrimaries formerPrimaries;

  /** The attempt in progress, or null. */
  private Candidacy candidacy;

  CandidateRole(EpochContext context, EpochTransitions transitions) {
    this.context = context;
    this.transitions = transitions;
    this.votes = transitions.votes();
    this.known = transitions.known();
    this.selection = transitions.selection();
    this.formerPrimaries = transitions.formerPrimaries();
  }

  boolean isActive() {
    return candidacy != null;
  }

  /** The attempt in progress, or null. */
  Candidacy candidacy() {
    return candidacy;
  }

  /** Ends the attempt without a trace; only {@link EpochTransitions} calls this. */
  void drop() {
    candidacy = null;
  }

  /** Promises an epoch of its own, durably, and asks the others for theirs. */
  void start(List<CoreMember> members) {
    EpochRecord base = known.newest();
    Candidacy started = new Candidacy(nextEpoch(base), context.now(), members, base);
    candidacy = started;
    context.runtime().event("event=candidacy epoch=" + started.epoch() + " base=" + base.epoch());
    votes.raisePromise(started.epoch());
    votes.writePromise(
        () -> {
          if (candidacy == started) {
            promised(started, context.self().diskId(), votes.acceptedRecord());
          }
        });
    askForPromises(started);
  }

  private long nextEpoch(EpochRecord base) {
    long highest = Math.max(Math.max(votes.promisedEpoch(), known.highestEpoch()), base.epoch());
    int position = Math.max(0, base.memberIndex(context.self().diskId()));
    return (highest / EPOCH_STEP + 1) * EPOCH_STEP + position;
  }

  private void askForPromises(Candidacy current) {
    EpochRecord base = current.base();
    for (CoreMember member : votes.membersToAsk(current.members(), base)) {
      if (!context.isSelf(member) && !current.hasPromiseOf(member)) {
        context.send(
            member.address(),
            new PrepareRequest(
                current.epoch(),
                member.diskId(),
                base.fleet(),
                base.epoch(),
                context.self().address()));
      }
    }
  }

  /** Repeats requests, and abandons an attempt that makes no progress. */
  void tick(long now) {
    Candidacy current = candidacy;
    if (current.timeWithoutProgress(now) > context.timeouts().phaseMicros()
        || current.age(now) > MAX_CANDIDACY_MICROS) {
      transitions.abandonCandidacy("timeout");
    } else if (current.isIn(Phase.PREPARE)) {
      leaveOutSilentNewcomers(current, now);
      askForPromises(current);
    } else if (current.isIn(Phase.COPY)) {
      current.transfer().tick(now, known.newest().members());
    }
  }

  /**
   * Goes on without newcomers that are silent. Nothing was sent that names them but the request for
   * their promise, so that is safe; the members that they would have replaced stay.
   */
  private void leaveOutSilentNewcomers(Candidacy current, long now) {
    if (!current.allNewcomersPromised() && current.age(now) > NEWCOMER_TIMEOUT_MICROS) {
      context.runtime().event("event=new_member_timeout epoch=" + current.epoch());
      current.leaveOutNewcomers();
      evaluatePromises(current);
    }
  }

  void onPrepareResponse(PrepareResponse response) {
    selection.setLeaving(response.diskId(), response.leaving());
    if (isCurrent(response.epoch())) {
      promised(candidacy, response.diskId(), response.acceptedRecord());
    }
  }

  void onRejectResponse(RejectResponse response) {
    known.noteEpoch(response.promisedEpoch());
    transitions.learn(response.acceptedRecord());
    if (candidacy != null
        && response.promisedEpoch() > candidacy.epoch()
        && !candidacy.isIn(Phase.ACCEPT)) {
      transitions.abandonCandidacy("outbid");
    }
  }

  private boolean isCurrent(long epoch) {
    return candidacy != null && candidacy.epoch() == epoch;
  }

  private void promised(Candidacy current, String diskId, EpochRecord accepted) {
    if (!current.isIn(Phase.PREPARE)) {
      return;
    }
    current.promised(diskId, accepted);
    if (accepted != null && accepted.epoch() > current.base().epoch()) {
      transitions.learn(accepted);
      current.rebase(accepted);
      if (!accepted.isInGroup(context.self().diskId())) {
        transitions.abandonCandidacy("not_in_group");
        return;
      }
      askForPromises(current);
    }
    evaluatePromises(current);
  }

  /**
   * Chooses the backups once enough members have promised.
   *
   * <p>A record may be accepted somewhere and still never begin; the next candidate must then find
   * a majority of its members. So none is proposed before a majority of them, and each newcomer, is
   * known to answer.
   */
  private void evaluatePromises(Candidacy current) {
    List<CoreMember> members = current.members();
    if (current.promisesAmong(members) < members.size() / 2 + 1
        || !current.allNewcomersPromised()) {
      return;
    }
    EpochRecord base = current.base();
    if (!votes.isAgreed(base, current.promisedDiskIds())) {
      return;
    }
    long promisesOfBase = current.promisesAmong(base.members());
    boolean quorum = promisesOfBase >= base.quorum();
    if (promisesOfBase >= base.members().size() || (quorum && presentGroupIsComplete(current))) {
      chooseBackups(current);
    } else if (quorum && current.beginWaitForMorePromises()) {
      context.runtime().after(MORE_PROMISES_MICROS, () -> chooseBackups(current));
    }
  }

  /** Whether enough sound members of the present group have promised, so that it stays as it is. */
  private boolean presentGroupIsComplete(Candidacy current) {
    List<CoreMember> staying =
        usableBackups(current).stream()
            .filter(m -> current.base().isInGroup(m.diskId()) && selection.isSound(m))
            .toList();
    return staying.size() >= backupCount(current) && selection.isSpread(staying);
  }

  private int backupCount(Candidacy current) {
    return selection.backupCount(current.members());
  }

  private List<CoreMember> usableBackups(Candidacy current) {
    return current.usableBackups(context.self().diskId(), backupCount(current));
  }

  private void chooseBackups(Candidacy current) {
    if (candidacy != current || !current.isIn(Phase.PREPARE)) {
      return;
    }
    int count = backupCount(current);
    List<CoreMember> backups = selection.choose(usableBackups(current), current.base(), count);
    if (backups.size() < count) {
      transitions.abandonCandidacy("too_few_backups");
      return;
    }
    current.chooseBackups(backups);
    logIfTooSmall(current);
    if (backups.isEmpty()) {
      propose(current);
      return;
    }
    SnapshotTransfer transfer =
        new SnapshotTransfer(
            context, current.epoch(), backups, formerPrimaries.remaining(transitions.isPrimary()));
    current.startTransfer(transfer, context.now());
    transfer.start();
  }

  private void logIfTooSmall(Candidacy current) {
    FaultTolerance faultTolerance = context.faultTolerance();
    int members = current.members().size();
    if (members < 2 * faultTolerance.machines() + 1) {
      context
          .runtime()
          .event(
              "event=core_too_small members="
                  + members
                  + " fault_tolerance="
                  + faultTolerance.machines());
    }
  }

  void onChunkResponse(SnapshotChunkResponse response) {
    if (isCurrent(response.epoch())
        && candidacy.isIn(Phase.COPY)
        && candidacy.transfer().onResponse(response)) {
      candidacy.progressed(context.now());
    }
  }

  void onSnapshotInstalled(SnapshotInstalled message) {
    if (!isCurrent(message.epoch()) || !candidacy.isIn(Phase.COPY)) {
      return;
    }
    SnapshotTransfer transfer = candidacy.transfer();
    transfer.installed(message.diskId());
    if (transfer.isComplete()) {
      propose(candidacy);
    }
  }

  /** Accepts the record itself and asks old and new members to accept it. */
  private void propose(Candidacy current) {
    EpochRecord base = current.base();
    EpochRecord record =
        new EpochRecord(
            base.fleet(),
            current.epoch(),
            context.self(),
            current.backups(),
            current.members(),
            base.target(),
            priorMemberSets(current));
    current.propose(record, context.now());
    transitions.acceptOwnRecord(
        record,
        () -> {
          if (candidacy == current) {
            accepted(current, context.self().diskId());
          }
        });
    for (CoreMember member : votes.membersToAsk(current.members(), base)) {
      if (!context.isSelf(member)) {
        context.send(
            member.address(), new AcceptRequest(record, member.diskId(), context.self().address()));
      }
    }
  }

  private List<List<CoreMember>> priorMemberSets(Candidacy current) {
    return votes.memberSetsToAgree(current.base()).stream()
        .filter(set -> !EpochRecord.sameSet(set, current.members()))
        .toList();
  }

  void onAcceptResponse(AcceptResponse response) {
    if (isCurrent(response.epoch()) && candidacy.isIn(Phase.ACCEPT)) {
      accepted(candidacy, response.diskId());
    }
  }

  private void accepted(Candidacy current, String diskId) {
    current.accepted(diskId);
    if (votes.isAgreed(current.base(), current.acceptedDiskIds())
        && EpochRecord.isMajority(current.members(), current.acceptedDiskIds())
        && current.hasAcceptOf(context.self())) {
      transitions.beginEpoch(current);
    }
  }
}
