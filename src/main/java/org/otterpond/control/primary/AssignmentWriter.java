package org.otterpond.control.primary;

import org.otterpond.protocol.WireRecord;

/** Writes assignments to the core's replicated state. */
@FunctionalInterface
interface AssignmentWriter {
  /**
   * Writes one assignment; nodes are informed of it once it is committed.
   *
   * @param entry the assignment
   * @param done runs once it is committed
   * @return whether the entry was accepted; false if this node is not the primary
   */
  boolean assign(WireRecord entry, Runnable done);
}
