package org.otterpond.replication;

/**
 * The role of a replica in its group. {@link ReplicaGroup} chooses the role from the configuration
 * in force and passes it the events; a role ignores the events that it has no part in.
 */
sealed interface ReplicaRole
    permits PrimaryRole, SecondaryRole, CandidateRole, RetainedCopyRole, NonMemberRole {
  /** Returns whether queries and updates may be served at this moment. */
  default boolean isServing() {
    return false;
  }

  /** Advances the role's timers. */
  default void tick(long nowMicros) {}

  /** Ends the role before another one begins. */
  default void end() {}

  /** Handles entries from the primary. */
  default void onPrepare(PrepareMessage message) {}

  /** Handles an acknowledgement of entries. */
  default void onPrepared(PreparedMessage message) {}

  /** Handles the prepared list of a new primary, whose configuration is the one in force. */
  default void onReconcile(ReconcileMessage message) {}

  /** Handles pieces of the state that come from the machine with that address. */
  default void onCopyPieces(String fromAddress, CopyPiecesMessage message) {}

  /** Handles the end of the connection to the machine with that address. */
  default void onConnectionLost(String address) {}
}
