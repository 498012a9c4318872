package org.otterpond.keyrange;

/** A range as its keeper knows it: what is written, and what may be on its way. */
final class KeyRangeLease {
  final String service;
  int from;
  String owner;
  String address;
  long fence;
  KeyRangeState state;

  /** The handover token of the last holder, for the next. */
  String token;

  boolean writing;

  /** Calls to the owner that have not ended. */
  int calls;

  long renewAt;

  /** Until then the owner may hold the keys, if no call is open. */
  long heldUntil;

  /** When a call that got no answer was given up. */
  long lostAt = Long.MIN_VALUE / 2;

  long movedAt = Long.MIN_VALUE / 2;
  long since;

  KeyRangeLease(KeyRange r) {
    service = r.service();
    from = r.from();
    owner = r.owner();
    address = r.address();
    fence = r.fence();
    state = r.state();
  }

  KeyRange range() {
    return new KeyRange(service, from, owner, address, fence, state);
  }

  /** Another that begins at a later key, with the same owner and the same past. */
  KeyRangeLease from(int key) {
    KeyRangeLease l = new KeyRangeLease(new KeyRange(service, key, owner, address, fence, state));
    l.renewAt = renewAt;
    l.heldUntil = heldUntil;
    l.lostAt = lostAt;
    l.movedAt = movedAt;
    l.since = since;
    return l;
  }

  boolean quiet() {
    return !writing && calls == 0;
  }
}
