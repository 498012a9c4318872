package org.otterpond.proxy;

/**
 * What one node may spend on second attempts at one service. A request earns a part of an attempt,
 * which can be spent within one window of the budget and not later. So in any window a node spends
 * at most what its requests of that window and of the one before have earned, and the sum over all
 * nodes is at most twice the part times the requests of whichever of the two had more: the bound
 * holds for any number of nodes, however few requests each has, and leaves the budget's slack whole
 * for requests that were counted at another moment than they were carried.
 */
final class RetryBudget {
  /** What was earned together expires together, this many times in a window. */
  private static final int SLOTS = 8;

  private final long slotMicros;
  private final double[] earned = new double[SLOTS];
  private long newest = Long.MIN_VALUE;

  RetryBudget(long windowMicros) {
    this.slotMicros = Math.max(1, windowMicros / SLOTS);
  }

  void earn(double part, long now) {
    earned[at(turn(now))] += part;
  }

  boolean spend(long now) {
    long slot = turn(now);
    double sum = 0;
    for (double e : earned) {
      sum += e;
    }
    if (sum < 1) {
      return false;
    }
    double due = 1;
    for (long s = slot - SLOTS + 1; due > 0; s++) {
      double taken = Math.min(due, earned[at(s)]);
      earned[at(s)] -= taken;
      // Rounding may leave the newest a hair short of the rest.
      due = s == slot ? 0 : due - taken;
    }
    return true;
  }

  /** Lets what has expired go; the slot of now. */
  private long turn(long now) {
    long slot = Math.floorDiv(now, slotMicros);
    for (long s = Math.max(newest + 1, slot - SLOTS + 1); s <= slot; s++) {
      earned[at(s)] = 0;
    }
    newest = Math.max(newest, slot);
    return slot;
  }

  private static int at(long slot) {
    return (int) Math.floorMod(slot, SLOTS);
  }
}
