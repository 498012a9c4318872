package org.otterpond.keyrange;

/**
 * Splits and joins ranges. Each write leaves a complete table, whichever of them is the last before
 * a failure.
 */
final class KeyRangeDivision {
  private final KeyRangeRuntime runtime;
  private final KeyRangeLeases leases;
  private final LeaseWriter writer;

  KeyRangeDivision(KeyRangeRuntime runtime, KeyRangeLeases leases, LeaseWriter writer) {
    this.runtime = runtime;
    this.leases = leases;
    this.writer = writer;
  }

  /**
   * Splits a piece off a held range, so that it can get another owner; what remains keeps its owner
   * and fencing token. The piece itself is written when it is released.
   *
   * @return the lease of the piece, or null if the range cannot be split now
   */
  KeyRangeLease split(KeyRangeLease lease, int firstKey, int lastKey) {
    int rangeEnd = leases.lastKey(lease);
    if (!lease.isHeldAndIdle() || firstKey < lease.firstKey || lastKey > rangeEnd) {
      return null;
    }
    if (lastKey < rangeEnd) {
      KeyRangeLease rest = lease.startingAt(lastKey + 1);
      leases.put(rest);
      writer.write(rest, () -> {});
    }
    if (firstKey == lease.firstKey) {
      return lease;
    }
    KeyRangeLease piece = lease.startingAt(firstKey);
    leases.put(piece);
    return piece;
  }

  /**
   * Joins a held range with the next one, if one worker holds both.
   *
   * @return whether the ranges are being joined
   */
  boolean joinWithNext(KeyRangeLease lease) {
    KeyRangeLease next = leases.next(lease);
    boolean joinable =
        next != null
            && lease.owner.equals(next.owner)
            && lease.isHeldAndIdle()
            && next.isHeldAndIdle();
    if (!joinable) {
      return false;
    }
    lease.mayBeHeldUntil = Math.max(lease.mayBeHeldUntil, next.mayBeHeldUntil);
    lease.givenUpAt = Math.max(lease.givenUpAt, next.givenUpAt);
    lease.nextCallAt = Math.min(lease.nextCallAt, next.nextCallAt);
    lease.writing = true;
    next.writing = true;
    if (next.fence <= lease.fence) {
      remove(next, lease);
    } else {
      lease.fence = next.fence;
      runtime.assign(lease.toKeyRange(), () -> remove(next, lease));
    }
    return true;
  }

  private void remove(KeyRangeLease removed, KeyRangeLease joined) {
    leases.remove(removed);
    runtime.assign(
        new KeyRangeRemoval(removed.service, removed.firstKey), () -> joined.writing = false);
  }
}
