package org.otterpond.control.epoch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.otterpond.control.state.CoreMember;
import org.otterpond.control.state.EpochRecord;

/** One attempt of this node to begin an epoch: what it asked for and who has answered. */
final class Candidacy {
  /** The steps of a candidacy, in their order. */
  enum Phase {
    /** Promises are asked for. */
    PREPARE,
    /** The state is copied to the chosen backups. */
    COPY,
    /** Members are asked to accept the record. */
    ACCEPT
  }

  private final long epoch;
  private final long startedAt;
  private final Map<String, EpochRecord> promises = new HashMap<>();
  private final Set<String> accepts = new HashSet<>();
  private Phase phase = Phase.PREPARE;
  private long progressAt;
  private List<CoreMember> members;
  private EpochRecord base;
  private boolean waitsForMorePromises;
  private SnapshotTransfer transfer;
  private List<CoreMember> backups = List.of();
  private EpochRecord proposal;

  Candidacy(long epoch, long now, List<CoreMember> members, EpochRecord base) {
    this.epoch = epoch;
    this.startedAt = now;
    this.progressAt = now;
    this.members = members;
    this.base = base;
  }

  long epoch() {
    return epoch;
  }

  boolean isIn(Phase wanted) {
    return phase == wanted;
  }

  /** The members of the epoch that is to begin. */
  List<CoreMember> members() {
    return members;
  }

  /** The newest record among the answers, from which this candidacy goes on. */
  EpochRecord base() {
    return base;
  }

  List<CoreMember> backups() {
    return backups;
  }

  /** The transfer to the backups; null before the copy phase and if there are no backups. */
  SnapshotTransfer transfer() {
    return transfer;
  }

  /** The proposed record; null before the accept phase. */
  EpochRecord proposal() {
    return proposal;
  }

  long age(long now) {
    return now - startedAt;
  }

  long timeWithoutProgress(long now) {
    return now - progressAt;
  }

  void progressed(long now) {
    progressAt = now;
  }

  void promised(String diskId, EpochRecord accepted) {
    promises.put(diskId, accepted);
  }

  boolean hasPromiseOf(CoreMember member) {
    return promises.containsKey(member.diskId());
  }

  Set<String> promisedDiskIds() {
    return promises.keySet();
  }

  /** Goes on from a newer record that was found, with its members. */
  void rebase(EpochRecord newerBase) {
    base = newerBase;
    members = newerBase.members();
  }

  /** Goes on without the newcomers, with the members as they were. */
  void leaveOutNewcomers() {
    members = base.members();
  }

  /** Whether each member that is not one of the base record's has promised. */
  boolean allNewcomersPromised() {
    return members.stream().allMatch(m -> base.hasMember(m.diskId()) || hasPromiseOf(m));
  }

  /** How many of these members have promised. */
  long promisesAmong(List<CoreMember> some) {
    return some.stream().filter(this::hasPromiseOf).count();
  }

  /**
   * Returns the other members that have promised and can be backups: newcomers only if there are
   * not enough others, as where a small core grows.
   */
  List<CoreMember> usableBackups(String selfDiskId, int count) {
    List<CoreMember> promisedOthers = new ArrayList<>();
    List<CoreMember> old = new ArrayList<>();
    for (CoreMember member : members) {
      if (!member.diskId().equals(selfDiskId) && hasPromiseOf(member)) {
        promisedOthers.add(member);
        if (base.hasMember(member.diskId())) {
          old.add(member);
        }
      }
    }
    return old.size() >= count ? old : promisedOthers;
  }

  /** Whether the caller is the first to wait for promises beyond a majority. */
  boolean beginWaitForMorePromises() {
    boolean first = !waitsForMorePromises;
    waitsForMorePromises = true;
    return first;
  }

  /** Enters the copy phase with the chosen backups. */
  void chooseBackups(List<CoreMember> chosen) {
    phase = Phase.COPY;
    backups = chosen;
  }

  void startTransfer(SnapshotTransfer started, long now) {
    transfer = started;
    progressAt = now;
  }

  /** Enters the accept phase. */
  void propose(EpochRecord record, long now) {
    phase = Phase.ACCEPT;
    progressAt = now;
    proposal = record;
    transfer = null;
  }

  void accepted(String diskId) {
    accepts.add(diskId);
  }

  boolean hasAcceptOf(CoreMember member) {
    return accepts.contains(member.diskId());
  }

  Set<String> acceptedDiskIds() {
    return accepts;
  }
}
