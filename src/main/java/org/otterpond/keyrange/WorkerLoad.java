package org.otterpond.keyrange;

import java.util.ArrayList;
import java.util.List;

/** The ranges of one worker and the requests for them. */
final class WorkerLoad {
  /** Weight of the owned keys, so that ranges without requests are spread too. */
  private static final double OWNED_KEYS_WEIGHT = 0.05;

  private static final double MOVING_RANGE_WEIGHT = 0.02;

  final KeyRangeRuntime.Worker worker;
  private final double workSeconds;
  private final List<KeyRangeLease> heldLeases = new ArrayList<>();
  private KeyRate rate = KeyRate.ZERO;
  private double ownedFraction;
  private int movingRanges;

  WorkerLoad(KeyRangeRuntime.Worker worker, double workSeconds) {
    this.worker = worker;
    this.workSeconds = workSeconds;
  }

  /** Adds a range that it owns. */
  void addOwned(KeyRangeLease lease, int keyCount, KeyRate rangeRate) {
    rate = rate.plus(rangeRate);
    ownedFraction += keyCount / (double) KeyRange.KEY_COUNT;
    if (lease.state == KeyRangeState.HELD) {
      heldLeases.add(lease);
    } else {
      movingRanges++;
    }
  }

  /** Adds the requests of keys that it is about to get. */
  void addRate(KeyRate expected) {
    rate = rate.plus(expected);
  }

  /** Returns the ranges that it holds and that are not moving. */
  List<KeyRangeLease> heldLeases() {
    return heldLeases;
  }

  /** Returns whether it owns no range, not even one that is moving. */
  boolean ownsNothing() {
    return heldLeases.isEmpty() && movingRanges == 0;
  }

  /** Returns the owned keys as a fraction of all keys. */
  double ownedFraction() {
    return ownedFraction;
  }

  /** Returns the recent rate of requests per second. */
  double recentRate() {
    return rate.recent();
  }

  /** Returns the number of slots, at least 1. */
  int slots() {
    return Math.max(1, worker.slots());
  }

  /** Returns whether it may get ranges. */
  boolean canReceive() {
    return worker.inService() && worker.alive();
  }

  /** Returns the fraction of its slots in use, by the recent rate. */
  double recentUse() {
    return rate.recent() * workSeconds / slots();
  }

  /** Returns the fraction of its slots in use, by the sustained rate. */
  double sustainedUse() {
    return rate.sustained() * workSeconds / slots();
  }

  /** Returns the larger of the recent and the sustained use. */
  double peakUse() {
    return Math.max(recentUse(), sustainedUse());
  }

  /** Returns how unsuited it is for another range; the worker with the least value gets it. */
  double receiverCost(int workerCount) {
    return peakUse()
        + OWNED_KEYS_WEIGHT * ownedFraction * workerCount
        + MOVING_RANGE_WEIGHT * movingRanges;
  }
}
