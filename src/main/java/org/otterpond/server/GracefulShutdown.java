package org.otterpond.server;

/** Ends a node in order within its grace period. Owned by the node's owner thread. */
interface GracefulShutdown {
  /** Time reserved at the end of the grace period for the end of the process. */
  long MARGIN_MICROS = 700_000;

  /** Time for the last responses to be sent, and for key locks in flight to be released. */
  long FLUSH_MICROS = 200_000;

  /** Begins the shutdown; called once. */
  void begin();
}
