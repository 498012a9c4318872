package org.otterpond.replication;

import java.util.function.Consumer;
import org.otterpond.protocol.WireRecord;

/**
 * What a replica group replicates. It sees committed entries only, in the order of their serial
 * numbers.
 */
public interface StateMachine {
  /**
   * @param serial its serial number
   * @param place where the entry stands on this disk
   */
  void apply(WireRecord entry, long serial, long place);

  /** Forgets everything. */
  void clear();

  /**
   * Hands out the state, piece by piece and then null; what is applied meanwhile may or may not be
   * in it.
   */
  void export(Consumer<WireRecord> piece);

  /** Takes a piece of the state; one that is known already changes nothing. */
  void load(WireRecord piece, long place);

  /** This replica began or ceased to serve as primary. */
  void serving(boolean is);

  /** Stops what is under way for a planned hand-over, and runs the task once nothing is. */
  void quiesce(Runnable done);
}
