package org.otterpond.control.primary;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import org.otterpond.control.state.CoreMember;
import org.otterpond.control.state.EpochRecord;
import org.otterpond.control.state.FaultTolerance;
import org.otterpond.runtime.NodeRuntime;

/**
 * Changes the members of the core as its primary: replaces dead members, grows the core to the size
 * that the faults to be survived require, and spreads it over the zones. Each change adds one
 * member, removes one, or replaces one by another, so that the majorities before and after
 * intersect.
 */
final class CoreMembership {
  /** A member that is silent for this long is dead, and replaced if there is a replacement. */
  static final long DEAD_AFTER_MICROS = 1_500_000;

  /** Without a replacement a dead member may come back; a core that is too large waits so long. */
  private static final long REMOVED_AFTER_MICROS = 2_500_000;

  /**
   * A member that is silent for this long may be dead. No member is added meanwhile, as the dead
   * one and the new one would both count.
   */
  private static final long SUSPECTED_AFTER_MICROS = 500_000;

  /** A node must have had its lease for this long before it joins. */
  private static final long PROBATION_MICROS = 500_000;

  private static final long CHANGE_INTERVAL_MICROS = 500_000;

  private final NodeRuntime runtime;
  private final Core core;
  private final FaultTolerance faults;
  private final JoinBackoff backoff = new JoinBackoff();
  private long changedAtMicros;

  /** What this class needs of the core's replica on this node. */
  interface Core {
    /** Returns the epoch in force. */
    EpochRecord record();

    /** Whether a member was not heard for some time. */
    boolean isSilent(CoreMember member, long micros);

    /** Whether a member is shutting down. */
    boolean isLeaving(CoreMember member);

    /** Begins an epoch with other members. */
    void changeMembers(List<CoreMember> members);
  }

  /**
   * A node with a disk that has a lease.
   *
   * @param firstPolledAtMicros when the first poll of its incarnation arrived
   */
  record JoinCandidate(CoreMember member, long firstPolledAtMicros) {}

  CoreMembership(NodeRuntime runtime, Core core, FaultTolerance faults) {
    this.runtime = runtime;
    this.core = core;
    this.faults = faults;
  }

  /**
   * Makes the next change, if one is due.
   *
   * @param candidates the nodes with a disk, the present members among them
   */
  void tick(List<JoinCandidate> candidates) {
    long now = runtime.now();
    if (now - changedAtMicros < CHANGE_INTERVAL_MICROS) {
      return;
    }
    EpochRecord epoch = core.record();
    backoff.joined(epoch.members());
    List<JoinCandidate> eligible =
        candidates.stream()
            .filter(candidate -> !epoch.hasMember(candidate.member().diskId()))
            .filter(candidate -> backoff.mayTry(candidate.member(), now))
            .toList();
    if (replaceWipedDisk(epoch, eligible)) {
      return;
    }
    List<CoreMember> joinable =
        eligible.stream()
            .filter(candidate -> now - candidate.firstPolledAtMicros() > PROBATION_MICROS)
            .map(JoinCandidate::member)
            .toList();
    replaceOrReshape(epoch, joinable);
  }

  /** Replaces the member at the address of a node that came back with another disk. */
  private boolean replaceWipedDisk(EpochRecord epoch, List<JoinCandidate> eligible) {
    for (JoinCandidate candidate : eligible) {
      CoreMember member = candidate.member();
      for (CoreMember former : epoch.members()) {
        if (former.address().equals(member.address())) {
          change(epoch, member, former);
          return true;
        }
      }
    }
    return false;
  }

  private void replaceOrReshape(EpochRecord epoch, List<CoreMember> joinable) {
    List<CoreMember> members = epoch.members();
    CoreMember dead = findDead(epoch, !joinable.isEmpty());
    if (!joinable.isEmpty() && dead != null) {
      change(epoch, bestCandidate(members, joinable, dead), dead);
    } else if (dead != null && members.size() > epoch.target()) {
      change(epoch, null, dead);
    } else if (findSilent(epoch, SUSPECTED_AFTER_MICROS) == null) {
      reshape(epoch, joinable);
    }
  }

  /** Returns a dead member; with a replacement also one that is shutting down; null if none. */
  private CoreMember findDead(EpochRecord epoch, boolean replaceable) {
    if (!replaceable) {
      return findSilent(epoch, REMOVED_AFTER_MICROS);
    }
    return others(epoch).stream()
        .filter(member -> core.isSilent(member, DEAD_AFTER_MICROS) || core.isLeaving(member))
        .findFirst()
        .orElse(null);
  }

  private CoreMember findSilent(EpochRecord epoch, long micros) {
    return others(epoch).stream()
        .filter(member -> core.isSilent(member, micros))
        .findFirst()
        .orElse(null);
  }

  private static List<CoreMember> others(EpochRecord epoch) {
    return epoch.members().stream()
        .filter(member -> !member.diskId().equals(epoch.primary().diskId()))
        .toList();
  }

  /** Returns the candidate with which the core survives most faults; null if there is none. */
  private CoreMember bestCandidate(
      List<CoreMember> members, List<CoreMember> joinable, CoreMember removed) {
    // Of several equal ones max returns the last, so they are compared in reverse order.
    List<CoreMember> lastFirst = new ArrayList<>(joinable);
    Collections.reverse(lastFirst);
    return lastFirst.stream()
        .max(
            Comparator.comparingInt(
                candidate -> faults.margin(changed(members, candidate, removed))))
        .orElse(null);
  }

  /** With all members heard recently: grows the core, or spreads it better over the zones. */
  private void reshape(EpochRecord epoch, List<CoreMember> joinable) {
    if (faults.margin(epoch.members()) >= 0) {
      grow(epoch, joinable);
    } else {
      spread(epoch, joinable);
    }
  }

  private void grow(EpochRecord epoch, List<CoreMember> joinable) {
    List<CoreMember> members = epoch.members();
    CoreMember candidate = bestCandidate(members, joinable, null);
    if (candidate != null
        && members.size() < faults.maxMembers()
        && faults.margin(changed(members, candidate, null)) >= 0) {
      change(epoch, candidate, null);
    }
  }

  /** Moves toward the members with which no fault to be survived takes a majority. */
  private void spread(EpochRecord epoch, List<CoreMember> joinable) {
    List<CoreMember> members = epoch.members();
    List<CoreMember> wanted = faults.members(removalOrder(epoch, joinable));
    CoreMember added = joinable.stream().filter(wanted::contains).findFirst().orElse(null);
    CoreMember removed =
        faults.margin(wanted) <= faults.margin(members)
            ? null
            : members.stream()
                .filter(member -> !wanted.contains(member) && !member.equals(epoch.primary()))
                .findFirst()
                .orElse(null);
    if (added != null || removed != null) {
      change(epoch, added, removed);
    }
  }

  /** All members and candidates; the primary is first, as it is removed last. */
  private static List<CoreMember> removalOrder(EpochRecord epoch, List<CoreMember> joinable) {
    List<CoreMember> all = new ArrayList<>(epoch.members());
    all.remove(epoch.primary());
    all.add(0, epoch.primary());
    all.addAll(joinable);
    return all;
  }

  private static List<CoreMember> changed(
      List<CoreMember> members, CoreMember added, CoreMember removed) {
    List<CoreMember> changed = new ArrayList<>(members);
    changed.remove(removed);
    if (added != null) {
      changed.add(added);
    }
    return List.copyOf(changed);
  }

  private void change(EpochRecord epoch, CoreMember added, CoreMember removed) {
    changedAtMicros = runtime.now();
    if (added != null) {
      backoff.attempted(added, changedAtMicros);
    }
    runtime.event("event=core_change in=" + nameOf(added) + " out=" + nameOf(removed));
    core.changeMembers(changed(epoch.members(), added, removed));
  }

  private static String nameOf(CoreMember member) {
    return member == null ? "none" : member.name();
  }
}
