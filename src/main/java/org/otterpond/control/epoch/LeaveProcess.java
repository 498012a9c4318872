package org.otterpond.control.epoch;

import org.otterpond.control.epoch.message.LeaveNotice;
import org.otterpond.control.epoch.message.ResignNotice;
import org.otterpond.control.state.EpochRecord;

/**
 * The planned shutdown of a member: it hands its role over, and repeats its notice until a newer
 * record does without it, as one message may be lost or come amid a change.
 */
final class LeaveProcess {
  private static final long NO_EPOCH = -1;

  private final EpochContext context;
  private final EpochTransitions transitions;
  private boolean leaving;
  private long lastNoticeAt = EpochContext.DISTANT_PAST;

  /** The epoch of which this process resigned as primary. */
  private long resignedEpoch = NO_EPOCH;

  LeaveProcess(EpochContext context, EpochTransitions transitions) {
    this.context = context;
    this.transitions = transitions;
  }

  boolean isLeaving() {
    return leaving;
  }

  /** Whether the newest known group counts on this member and others could take its place. */
  boolean isNeeded() {
    EpochRecord newest = transitions.known().newest();
    return transitions.record() != null
        && newest.isInGroup(context.self().diskId())
        && newest.members().size() > 1;
  }

  /** Begins to leave. */
  void start() {
    leaving = true;
    if (transitions.isPrimary()) {
      transitions.resign();
      lastNoticeAt = context.now();
    } else {
      tick(context.now());
    }
  }

  /** Repeats the notice if it is time for that. */
  void tick(long now) {
    if (!leaving || !isNeeded() || now - lastNoticeAt < context.timeouts().resendMicros()) {
      return;
    }
    lastNoticeAt = now;
    EpochRecord newest = transitions.known().newest();
    if (transitions.isPrimary()) {
      transitions.resign();
    } else if (newest.backupRank(context.self().diskId()) >= 0) {
      context.send(newest.primary().address(), new LeaveNotice(context.self().diskId()));
    } else if (newest.epoch() == resignedEpoch) {
      sendResignNotice(newest);
    }
  }

  /** This node has resigned as primary of the epoch. */
  void resigned(EpochRecord record) {
    resignedEpoch = record.epoch();
    sendResignNotice(record);
  }

  private void sendResignNotice(EpochRecord record) {
    ResignNotice notice =
        new ResignNotice(record.epoch(), transitions.formerPrimaries().grantsFromInMicros());
    record.backups().forEach(backup -> context.send(backup.address(), notice));
  }

  /** An epoch of this node has begun: its own resignation comes a moment later. */
  void epochBegan(long now) {
    lastNoticeAt = now;
  }
}
