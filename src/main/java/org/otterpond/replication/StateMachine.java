package org.otterpond.replication;

import java.util.function.Consumer;
import org.otterpond.protocol.WireRecord;

/**
 * What a replica group replicates. It gets committed entries only, in the order of their serial
 * numbers. All calls are made on the owner thread.
 */
public interface StateMachine {
  /**
   * Applies a committed entry.
   *
   * @param serial serial number of the entry
   * @param place position of the entry in the log of this node
   * @param writtenAtMicros when this node wrote it to its log, on the clock of this process; before
   *     its start if an earlier process did
   */
  void apply(WireRecord entry, long serial, long place, long writtenAtMicros);

  /**
   * Applies a durable entry that may have been committed but is not known to be, as a copy that is
   * about to be refreshed must not lack it.
   *
   * @param serial serial number of the entry; the group may have used it for another one
   * @param place position of the entry in the log of this node
   * @param writtenAtMicros when this node wrote it to its log, on the clock of this process
   */
  default void applyPossiblyCommitted(
      WireRecord entry, long serial, long place, long writtenAtMicros) {
    apply(entry, serial, place, writtenAtMicros);
  }

  /** Removes the whole state. */
  void clear();

  /**
   * Hands out the state piece by piece, then null. Entries applied meanwhile may or may not be
   * included.
   */
  void export(Consumer<WireRecord> piece);

  /**
   * Loads a piece of the state; a piece that is known already changes nothing, unless a refresh is
   * in progress and it was known before that began.
   *
   * @param place position of the piece in the log of this node
   * @param writtenAtMicros when this node wrote it to its log, on the clock of this process
   */
  void load(WireRecord piece, long place, long writtenAtMicros);

  /**
   * Begins to replace the state piece by piece. Until the refresh ends, the present state stays
   * valid where neither a piece was loaded nor an entry applied.
   */
  void beginRefresh();

  /** Ends a refresh: what was neither loaded nor applied since its beginning is removed. */
  void finishRefresh();

  /** Gives up a refresh: what has not been replaced stays. */
  void cancelRefresh();

  /** Reports that this replica began or ceased to serve as primary. */
  void serving(boolean is);

  /** Stops work in flight for a planned handover, and runs the task once there is none. */
  void quiesce(Runnable done);
}
