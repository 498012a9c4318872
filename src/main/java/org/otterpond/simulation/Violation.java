package org.otterpond.simulation;

import java.util.Locale;

/**
 * One way in which a simulated run has contradicted what the system guarantees.
 *
 * @param kind which guarantee
 * @param description what was observed
 */
record Violation(Kind kind, String description) {
  /** The guarantees that are checked. */
  enum Kind {
    /** The cluster must have a primary and accept writes once no fault is in force. */
    LIVENESS,
    /** The invariants of {@link InvariantChecker}. */
    INVARIANT,
    /** A worker with an acknowledged drain must not be taken to be in service again. */
    DRAIN,
    /** The history of the configuration must be linearizable. */
    LINEARIZABILITY,
    /** Not a violation but a history that could not be checked. */
    UNDECIDED
  }

  @Override
  public String toString() {
    return kind.name().toLowerCase(Locale.ROOT) + ": " + description;
  }
}
