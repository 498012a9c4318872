package org.otterpond.control.state;

/**
 * The states of a worker instance. An instance only moves down this list, except that a newer
 * heartbeat revives a lost one. The names are encoded.
 */
public enum WorkerState {
  /** Takes requests. */
  IN_SERVICE,
  /** Finishes its requests and takes no new ones. */
  DRAINING,
  /** Its heartbeats stopped. */
  LOST,
  /** Ended for good. */
  GONE
}
