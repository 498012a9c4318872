package org.otterpond.keyrange;

/** What is under way with a range of keys. */
public enum KeyRangeState {
  /** The owner is written; its grant may not have arrived yet. */
  GRANTING,
  /** The owner has the grant. */
  HELD,
  /** The owner is asked to let go. */
  RELEASING,
  /** The owner is gone and did not let go: its hold has to run out. */
  EXPIRING
}
