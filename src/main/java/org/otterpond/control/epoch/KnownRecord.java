package org.otterpond.control.epoch;

import org.otterpond.control.state.EpochRecord;

/** The newest record and epoch that this node has heard of. Hints, never votes; not durable. */
final class KnownRecord {
  private EpochRecord newest;
  private long highestEpoch;

  /** The newest record, or null. */
  EpochRecord newest() {
    return newest;
  }

  /** The highest epoch that any member promised, as far as it is known. */
  long highestEpoch() {
    return highestEpoch;
  }

  /** Notes an epoch that another member promised, so that the next candidacy is above it. */
  void noteEpoch(long epoch) {
    highestEpoch = Math.max(highestEpoch, epoch);
  }

  /** Takes the record of this node itself: read from its log, or begun by it. */
  void replace(EpochRecord record) {
    newest = record;
  }

  /** Takes a record heard of; false if it is not newer or of another fleet. */
  boolean learn(EpochRecord record) {
    if (record == null) {
      return false;
    }
    if (newest != null
        && (record.epoch() <= newest.epoch() || !record.fleet().equals(newest.fleet()))) {
      return false;
    }
    newest = record;
    noteEpoch(record.epoch());
    return true;
  }
}
