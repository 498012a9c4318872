package org.otterpond.control.epoch;

import org.otterpond.control.state.EpochRecord;

/** Told when this node's part in the core changes. */
public interface EpochListener {
  /**
   * An epoch led by this node began; continued if it led the one before and nobody else can have
   * led between.
   */
  void began(EpochRecord record, boolean continued);

  void steppedDown();

  /** A newer epoch is known, whoever leads it. */
  void learnt(EpochRecord record);
}
