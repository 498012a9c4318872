package org.otterpond.control.epoch;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.otterpond.control.epoch.message.AcceptRecord;
import org.otterpond.control.epoch.message.BegunRecord;
import org.otterpond.control.epoch.message.PromiseRecord;
import org.otterpond.control.state.CoreMember;
import org.otterpond.control.state.EpochRecord;
import org.otterpond.protocol.WireRecord;

/**
 * What this member has promised and accepted, as it stands in the log.
 *
 * <p>Each change takes effect in memory at once, so that the member contradicts it from then on,
 * and is answered to others only after its log record is durable.
 */
final class DurableVoteState {
  /** The epoch before any other. */
  private static final long NO_EPOCH = 0;

  private final LogHealth log;
  private long promisedEpoch;

  /** The epoch last promised to another member since the start; its candidate may ask again. */
  private long grantedEpoch;

  private EpochRecord acceptedRecord;

  /** The newest epoch that is known to have begun. */
  private long begunEpoch;

  DurableVoteState(LogHealth log) {
    this.log = log;
  }

  long promisedEpoch() {
    return promisedEpoch;
  }

  /** The accepted record, or null. */
  EpochRecord acceptedRecord() {
    return acceptedRecord;
  }

  long acceptedEpoch() {
    return acceptedRecord == null ? NO_EPOCH : acceptedRecord.epoch();
  }

  /** Whether nothing was ever promised or accepted with this disk. */
  boolean isBlank() {
    return acceptedRecord == null && promisedEpoch == NO_EPOCH;
  }

  /** Whether the newest promise is for this epoch and was given to another member since start. */
  boolean hasGranted(long epoch) {
    return promisedEpoch == epoch && grantedEpoch == epoch;
  }

  /** Whether this member has accepted the epoch and promised no newer one. */
  boolean follows(long epoch) {
    return acceptedRecord != null && acceptedEpoch() == epoch && promisedEpoch == epoch;
  }

  void replay(PromiseRecord entry) {
    promisedEpoch = Math.max(promisedEpoch, entry.epoch());
  }

  void replay(AcceptRecord entry) {
    acceptedRecord = entry.record();
    promisedEpoch = Math.max(promisedEpoch, acceptedRecord.epoch());
  }

  void replay(BegunRecord entry) {
    begunEpoch = Math.max(begunEpoch, entry.epoch());
  }

  /** The records of this state that a new log must begin with. */
  List<WireRecord> logRecords() {
    List<WireRecord> records = new ArrayList<>();
    records.add(new PromiseRecord(promisedEpoch).toWireRecord());
    if (acceptedRecord != null) {
      records.add(new AcceptRecord(acceptedRecord).toWireRecord());
    }
    if (begunEpoch > NO_EPOCH) {
      records.add(new BegunRecord(begunEpoch).toWireRecord());
    }
    return records;
  }

  /** Promises the epoch in memory; the caller writes what it answers. */
  void raisePromise(long epoch) {
    promisedEpoch = epoch;
  }

  /** Promises the epoch to another member in memory; the caller writes what it answers. */
  void grant(long epoch) {
    promisedEpoch = epoch;
    grantedEpoch = epoch;
  }

  /** Writes the newest promise; nobody waits for it. */
  void writePromise() {
    log.append(new PromiseRecord(promisedEpoch));
  }

  /** Writes the newest promise; the action runs once it and all before it are durable. */
  void writePromise(Runnable whenDurable) {
    log.append(new PromiseRecord(promisedEpoch), whenDurable);
  }

  /** Writes the newest promise and runs one of the actions. */
  void writePromise(Runnable whenDurable, Runnable whenRefused) {
    log.append(new PromiseRecord(promisedEpoch), whenDurable, whenRefused);
  }

  /** Accepts the record in memory and writes it; one of the actions runs. */
  void accept(EpochRecord record, Runnable whenDurable, Runnable whenRefused) {
    acceptedRecord = record;
    promisedEpoch = Math.max(promisedEpoch, record.epoch());
    log.append(new AcceptRecord(record), whenDurable, whenRefused);
  }

  /**
   * Notes that an epoch has begun, so that the member sets in force before it no longer have to
   * agree. That is written if there are such sets, so that it outlasts this process.
   */
  void markBegun(long epoch) {
    if (epoch <= begunEpoch) {
      return;
    }
    begunEpoch = epoch;
    if (acceptedRecord.epoch() == epoch && !acceptedRecord.priors().isEmpty()) {
      log.append(new BegunRecord(epoch));
    }
  }

  /**
   * Returns the member sets of which each must agree to a successor of the record: its own, and
   * those before it unless it is known to have begun. Two candidates then meet in a majority of the
   * newest set after which an epoch has begun, whichever records they go on from; the majorities of
   * two sets that differ by an exchange of one member need not meet.
   */
  List<List<CoreMember>> memberSetsToAgree(EpochRecord base) {
    List<List<CoreMember>> sets = new ArrayList<>();
    if (base.epoch() > begunEpoch) {
      sets.addAll(base.priors());
    }
    sets.add(base.members());
    return sets;
  }

  /** Whether a majority of each set that must agree to a successor of the record is among these. */
  boolean isAgreed(EpochRecord base, Set<String> diskIds) {
    return memberSetsToAgree(base).stream().allMatch(set -> EpochRecord.isMajority(set, diskIds));
  }

  /** Returns the given members and all of the sets that must agree to a successor of the record. */
  Set<CoreMember> membersToAsk(List<CoreMember> members, EpochRecord base) {
    Set<CoreMember> all = new HashSet<>(members);
    memberSetsToAgree(base).forEach(all::addAll);
    return all;
  }
}
