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
   */
  void apply(WireRecord entry, long serial, long place);

  /** Removes the whole state. */
  void clear();

  /**
   * Hands out the state piece by piece, then null. Entries applied meanwhile may or may not be
   * included.
   */
  void export(Consumer<WireRecord> piece);

  /** Loads a piece of the state; a piece that is known already changes nothing. */
  void load(WireRecord piece, long place);

  /** Reports that this replica began or ceased to serve as primary. */
  void serving(boolean is);

  /** Stops work in flight for a planned handover, and runs the task once there is none. */
  void quiesce(Runnable done);
}
