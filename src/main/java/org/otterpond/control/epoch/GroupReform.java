package org.otterpond.control.epoch;

import java.util.List;
import org.otterpond.control.state.CoreMember;
import org.otterpond.control.state.EpochRecord;

/**
 * Decides when a primary begins another epoch for the sake of a better group: one with more
 * backups, with fewer leaving members, or with a better spread. Attempts back off, so that a group
 * that cannot be improved costs next to nothing.
 */
final class GroupReform {
  private static final long BACKOFF_MICROS = 1_000_000;
  private static final int MAX_BACKOFF_FACTOR = 32;

  private final EpochContext context;
  private final BackupSelection selection;
  private long nextAttemptAt;
  private int backoffFactor = 1;

  GroupReform(EpochContext context, BackupSelection selection) {
    this.context = context;
    this.selection = selection;
  }

  /**
   * Whether another epoch should begin now.
   *
   * @param record the record of the present epoch
   * @param reachable the other members that were heard of lately
   */
  boolean isDue(EpochRecord record, List<CoreMember> reachable) {
    List<CoreMember> better =
        selection.choose(reachable, record, selection.backupCount(record.members()));
    long now = context.now();
    if (!isBetter(better, record.backups())) {
      if (now > nextAttemptAt + BACKOFF_MICROS * backoffFactor) {
        backoffFactor = 1;
      }
      return false;
    }
    if (now < nextAttemptAt) {
      return false;
    }
    nextAttemptAt = now + BACKOFF_MICROS * backoffFactor;
    backoffFactor = Math.min(MAX_BACKOFF_FACTOR, 2 * backoffFactor);
    context
        .runtime()
        .event(
            "event=group_reformed epoch="
                + record.epoch()
                + " leaving="
                + leavingCount(record.backups())
                + " backups="
                + EpochContext.names(better));
    return true;
  }

  private boolean isBetter(List<CoreMember> better, List<CoreMember> present) {
    if (better.size() != present.size()) {
      return better.size() > present.size();
    }
    long leaving = leavingCount(present);
    long wouldLeave = leavingCount(better);
    if (wouldLeave != leaving) {
      return wouldLeave < leaving;
    }
    return selection.spread(better) > selection.spread(present);
  }

  private long leavingCount(List<CoreMember> backups) {
    return backups.stream().filter(selection::isLeaving).count();
  }
}
