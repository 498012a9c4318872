package org.otterpond.simulation;

/** How simulated clients choose the node of a request and reach it. */
interface ClientAccess {
  /** A random running node that is not a storage node, or null if there is none. */
  SimulatedNode pickNode();

  /** Runs a request on the owner thread of its node. */
  void execute(SimulatedNode node, Runnable request);
}
