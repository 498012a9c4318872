package org.otterpond.keyrange;

/**
 * How long a new primary takes no range from its owner: until no call of an earlier primary can
 * arrive any more, so that a range that was released stays released.
 */
final class TakeoverDelay {
  private final KeyRangeRuntime runtime;

  TakeoverDelay(KeyRangeRuntime runtime) {
    this.runtime = runtime;
  }

  /** Returns whether ranges may change their owners. */
  boolean isOver(long nowMicros) {
    return nowMicros
        > runtime.predecessorAuthorityEndsAt()
            + KeyRangeLeaseSettings.GRANT_TIMEOUT_MICROS
            + KeyRangeLeaseSettings.IN_FLIGHT_MICROS;
  }
}
