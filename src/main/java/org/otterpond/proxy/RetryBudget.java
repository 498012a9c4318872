package org.otterpond.proxy;

/**
 * Limits the retries and hedged requests of one node to one service.
 *
 * <p>Each request earns a fraction of an attempt, which can be spent within one window and expires
 * then. So in any window a node spends at most what its requests of that window and of the one
 * before have earned. The sum over all nodes is at most twice the fraction times the requests of
 * whichever of the two windows had more, for any number of nodes and however few requests each has.
 * The slack of the budget is left for requests that were counted at another moment than they were
 * forwarded.
 */
final class RetryBudget {
  /** What was earned in one slot expires together; a window has this many. */
  private static final int SLOTS_PER_WINDOW = 8;

  private final long slotMicros;
  private final double[] earnedBySlot = new double[SLOTS_PER_WINDOW];
  private long newestSlot = Long.MIN_VALUE;

  RetryBudget(long windowMicros) {
    this.slotMicros = Math.max(1, windowMicros / SLOTS_PER_WINDOW);
  }

  /** Adds a fraction of an attempt. */
  void earn(double attempts, long nowMicros) {
    earnedBySlot[index(advance(nowMicros))] += attempts;
  }

  /** Spends one attempt, the oldest earnings first; returns false if less than one is left. */
  boolean spend(long nowMicros) {
    long currentSlot = advance(nowMicros);
    if (total() < 1) {
      return false;
    }
    double due = 1;
    for (long slot = currentSlot - SLOTS_PER_WINDOW + 1; due > 0; slot++) {
      double taken = Math.min(due, earnedBySlot[index(slot)]);
      earnedBySlot[index(slot)] -= taken;
      // Rounding may leave the newest slot slightly short of the rest.
      due = slot == currentSlot ? 0 : due - taken;
    }
    return true;
  }

  private double total() {
    double sum = 0;
    for (double earned : earnedBySlot) {
      sum += earned;
    }
    return sum;
  }

  /** Drops what has expired and returns the current slot. */
  private long advance(long nowMicros) {
    long currentSlot = Math.floorDiv(nowMicros, slotMicros);
    long firstExpired = Math.max(newestSlot + 1, currentSlot - SLOTS_PER_WINDOW + 1);
    for (long slot = firstExpired; slot <= currentSlot; slot++) {
      earnedBySlot[index(slot)] = 0;
    }
    newestSlot = Math.max(newestSlot, currentSlot);
    return currentSlot;
  }

  private static int index(long slot) {
    return Math.floorMod(slot, SLOTS_PER_WINDOW);
  }
}
