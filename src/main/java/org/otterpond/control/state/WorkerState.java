package org.otterpond.control.state;

/**
 * Where a worker's life stands; a life only moves down this list, but LOST may come back by a newer
 * beat.
 */
public enum WorkerState {
  IN_SERVICE,
  DRAINING,
  LOST,
  GONE
}
