package org.otterpond.control.primary;

import org.otterpond.protocol.WireRecord;

/** Writes entries to the replicated log of the core. */
@FunctionalInterface
interface StateWriter {
  /**
   * Proposes an entry, which is applied to this node's state at once.
   *
   * @param entry the entry
   * @param committed runs once the entry is durable on the epoch's whole group; never if the node
   *     ceases to be the primary before
   * @return whether the entry was accepted; false if this node is not the primary
   */
  boolean propose(WireRecord entry, Runnable committed);
}
