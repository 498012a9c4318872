package org.otterpond.keyrange;

/** The state of the lease of a key range. */
public enum KeyRangeState {
  /** The owner is durable on the core; its grant may not have arrived yet. */
  GRANTING,
  /** The owner has answered the grant. */
  HELD,
  /** The owner is asked to release the range. */
  RELEASING,
  /** The owner is gone and has not released the range: its lease has to expire. */
  EXPIRING
}
