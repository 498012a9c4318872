package org.otterpond.control.epoch;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.otterpond.control.state.CoreMember;
import org.otterpond.control.state.EpochRecord;

/** Chooses the backups of an epoch, and knows which members are leaving or doubtful. */
final class BackupSelection {
  /** Long enough for a member to be noticed as dead or to have answered again. */
  private static final long EXCLUSION_MICROS = 3_000_000;

  private final EpochContext context;

  /** Until when each member is chosen only if there is no other. */
  private final Map<String, Long> excludedUntil = new HashMap<>();

  /** The members that said that they are shutting down and have not come back since. */
  private final Set<String> leaving = new HashSet<>();

  BackupSelection(EpochContext context) {
    this.context = context;
  }

  /** Doubts a member whose disk or responses failed. */
  void exclude(String diskId) {
    excludedUntil.put(diskId, context.now() + EXCLUSION_MICROS);
  }

  private boolean isExcluded(CoreMember member) {
    return excludedUntil.getOrDefault(member.diskId(), Long.MIN_VALUE) > context.now();
  }

  void setLeaving(String diskId, boolean leaves) {
    if (leaves) {
      leaving.add(diskId);
    } else {
      leaving.remove(diskId);
    }
  }

  boolean isLeaving(CoreMember member) {
    return leaving.contains(member.diskId());
  }

  /** Whether the member is neither leaving nor doubtful. */
  boolean isSound(CoreMember member) {
    return !isExcluded(member) && !isLeaving(member);
  }

  /** Forgets what no longer matters in the new epoch. */
  void forgetBefore(EpochRecord record) {
    excludedUntil.values().removeIf(until -> until <= context.now());
    leaving.removeIf(diskId -> !record.hasMember(diskId));
  }

  /** How many backups an epoch with these members must have. */
  int backupCount(List<CoreMember> members) {
    return Math.min(context.faultTolerance().backupCount(), members.size() - 1);
  }

  /**
   * Chooses backups. Leaving members come last and doubtful ones before them, each only if there
   * are too few others. Among equals the spread of the group counts first, and members of the
   * present group come before others.
   */
  List<CoreMember> choose(List<CoreMember> candidates, EpochRecord base, int count) {
    Comparator<CoreMember> preference =
        Comparator.comparing(this::isLeaving)
            .thenComparing(this::isExcluded)
            .thenComparing(member -> !base.isInGroup(member.diskId()));
    return context
        .faultTolerance()
        .backups(context.self(), preferred(candidates, count), preference, count);
  }

  private List<CoreMember> preferred(List<CoreMember> candidates, int count) {
    List<CoreMember> sound = candidates.stream().filter(this::isSound).toList();
    if (sound.size() >= count) {
      return sound;
    }
    List<CoreMember> staying = candidates.stream().filter(m -> !isLeaving(m)).toList();
    return staying.size() >= count ? staying : candidates;
  }

  /** How far the group of these backups and this node is spread over zones and regions. */
  int spread(List<CoreMember> backups) {
    return context.faultTolerance().spread(context.groupWith(backups));
  }

  /** Whether no loss that must be survived takes the whole group of these backups and this node. */
  boolean isSpread(List<CoreMember> backups) {
    return context.faultTolerance().spans(context.groupWith(backups));
  }
}
