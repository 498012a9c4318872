package org.otterpond.harbour;

/**
 * Where a worker's life stands; a life only moves down this list, but LOST may come back by a newer
 * beat.
 */
public enum VesselState {
  IN_SERVICE,
  DRAINING,
  LOST,
  GONE
}
