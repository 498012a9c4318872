package org.otterpond.keyrange;

/**
 * The lease of one key range as the manager knows it: what is durable in the table, and which calls
 * may be in flight. Times are in microseconds.
 */
final class KeyRangeLease {
  private static final long NEVER = Long.MIN_VALUE / 2;

  final String service;
  final int firstKey;
  String owner;
  String address;
  long fence;
  KeyRangeState state;

  /** The handover token of the previous owner for the next one, or null. */
  String handoverToken;

  /** Whether a write to the replicated table is in progress. */
  boolean writing;

  /** Calls to the owner that have not ended. */
  int openCalls;

  /** When the next call is due. */
  long nextCallAt;

  /** Until then the owner may have the keys, if no call is open. */
  long mayBeHeldUntil;

  /** When a call that got no answer was given up. */
  long givenUpAt = NEVER;

  /** When the range last changed its owner. */
  long movedAt = NEVER;

  KeyRangeLease(KeyRange range) {
    service = range.service();
    firstKey = range.from();
    owner = range.owner();
    address = range.address();
    fence = range.fence();
    state = range.state();
  }

  /** Returns the entry of the replicated table. */
  KeyRange toKeyRange() {
    return new KeyRange(service, firstKey, owner, address, fence, state);
  }

  /** Returns a lease that begins at a later key, with the same owner and history. */
  KeyRangeLease startingAt(int key) {
    KeyRangeLease later =
        new KeyRangeLease(new KeyRange(service, key, owner, address, fence, state));
    later.nextCallAt = nextCallAt;
    later.mayBeHeldUntil = mayBeHeldUntil;
    later.givenUpAt = givenUpAt;
    later.movedAt = movedAt;
    return later;
  }

  /** Returns whether neither a write nor a call is in progress. */
  boolean isIdle() {
    return !writing && openCalls == 0;
  }

  /** Returns whether its owner has the keys and nothing is in progress. */
  boolean isHeldAndIdle() {
    return state == KeyRangeState.HELD && isIdle();
  }

  /** Returns whether a call that was given up may still arrive. */
  boolean mayHaveCallInFlight(long nowMicros) {
    return nowMicros - givenUpAt <= KeyRangeLeaseSettings.IN_FLIGHT_MICROS;
  }

  /** Returns whether the owner cannot have the keys any more. */
  boolean hasExpired(long nowMicros) {
    return openCalls == 0 && nowMicros > mayBeHeldUntil;
  }

  /** Records another owner, which has not got a grant yet. */
  void assignTo(KeyRangeRuntime.Worker worker, long newFence, String token, long nowMicros) {
    owner = worker.instance();
    address = worker.address();
    fence = newFence;
    handoverToken = token;
    mayBeHeldUntil = 0;
    givenUpAt = NEVER;
    movedAt = nowMicros;
  }
}
