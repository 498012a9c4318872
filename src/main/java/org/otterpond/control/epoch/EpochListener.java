package org.otterpond.control.epoch;

import org.otterpond.control.state.EpochRecord;

/** Notified of changes of this node's role in the core, on the owner thread. */
public interface EpochListener {
  /**
   * An epoch has begun with this node as its primary.
   *
   * @param record the record of the epoch
   * @param continued whether this node was primary of the epoch before too and nobody else can have
   *     been primary in between
   */
  void began(EpochRecord record, boolean continued);

  /** This node is no longer primary. */
  void steppedDown();

  /** A newer epoch is known, whoever its primary is. */
  void onRecordLearned(EpochRecord record);
}
