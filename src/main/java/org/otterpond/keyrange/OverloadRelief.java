package org.otterpond.keyrange;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Moves the hottest keys of one overloaded worker to workers that have room for them. */
final class OverloadRelief {
  /** Fraction of its slots up to which a receiver is filled. */
  private static final double RECEIVER_FILL = 0.65;

  /** Fraction of the receivers' fill down to which the giver is relieved at most. */
  private static final double GIVER_FLOOR = 0.8;

  /** Fraction of the difference between giver and receiver that a single hot key may have. */
  private static final double SINGLE_KEY_PART = 0.8;

  private static final double LEAST_COUNTED_RATE = 0.1;

  private final KeyRangeLeases leases;
  private final WorkerLoads loads;
  private final KeyRangeDivision division;
  private final LeaseHandover handover;
  private final Situation situation;
  private final List<WorkerLoad> receivers;
  private double excessRate;
  private int moves;

  /**
   * What a relief begins with.
   *
   * @param giver the overloaded worker
   * @param able the workers that may receive ranges, the giver among them
   * @param workSeconds how long one request occupies a slot
   * @param meanUse mean fraction of the slots in use
   */
  record Situation(
      WorkerLoad giver,
      List<WorkerLoad> able,
      double workSeconds,
      double meanUse,
      long nowMicros) {}

  OverloadRelief(
      KeyRangeLeases leases,
      WorkerLoads loads,
      KeyRangeDivision division,
      LeaseHandover handover,
      Situation situation) {
    this.leases = leases;
    this.loads = loads;
    this.division = division;
    this.handover = handover;
    this.situation = situation;
    WorkerLoad giver = situation.giver();
    double target = Math.max(situation.meanUse(), RECEIVER_FILL * GIVER_FLOOR);
    excessRate = (giver.peakUse() - target) * giver.slots() / situation.workSeconds();
    receivers = new ArrayList<>(situation.able());
    receivers.remove(giver);
    receivers.sort(Comparator.comparingDouble(WorkerLoad::peakUse));
  }

  /**
   * Moves pieces, each to another receiver.
   *
   * @return the number of moves, at most the limit
   */
  int run(int limit) {
    List<KeyRangeLease> hottestFirst = new ArrayList<>(situation.giver().heldLeases());
    hottestFirst.sort(Comparator.comparingDouble(lease -> -loads.recentRate(lease)));
    for (KeyRangeLease lease : hottestFirst) {
      boolean splittable = true;
      while (splittable && excessRate > 0 && moves < limit && moves < receivers.size()) {
        splittable = moveOnePiece(lease);
      }
    }
    return moves;
  }

  /** Returns whether another piece of the same range may be moved now. */
  private boolean moveOnePiece(KeyRangeLease lease) {
    WorkerLoad receiver = receivers.get(moves);
    double freeRate = freeRate(receiver);
    if (freeRate <= 0 || movedTooRecently(lease, freeRate)) {
      return false;
    }
    KeyLoad keyLoad = loads.keyLoad(lease.service);
    HotKeys.Piece piece =
        HotKeys.find(
            keyLoad.requestedKeys(lease.firstKey, leases.lastKey(lease)),
            Math.min(freeRate, excessRate),
            SINGLE_KEY_PART * differenceRate(receiver));
    if (piece == null) {
      return false;
    }
    KeyRate movedRate = keyLoad.rateOf(piece.firstKey(), piece.lastKey());
    KeyRangeLease split = division.split(lease, piece.firstKey(), piece.lastKey());
    if (split == null) {
      return false;
    }
    handover.release(split);
    receiver.addRate(movedRate);
    excessRate -= Math.max(movedRate.recent(), LEAST_COUNTED_RATE);
    moves++;
    return split != lease && lease.isHeldAndIdle();
  }

  /** Returns the requests per second that the receiver has room for. */
  private double freeRate(WorkerLoad receiver) {
    double fill = RECEIVER_FILL + Math.max(0, situation.meanUse() - RECEIVER_FILL);
    return (fill - receiver.peakUse()) * receiver.slots() / situation.workSeconds();
  }

  private boolean movedTooRecently(KeyRangeLease lease, double freeRate) {
    boolean resting = situation.nowMicros() - lease.movedAt < KeyRangeBalancer.REST_MICROS;
    return resting && loads.recentRate(lease) < 2 * freeRate;
  }

  private double differenceRate(WorkerLoad receiver) {
    WorkerLoad giver = situation.giver();
    return (giver.peakUse() - receiver.peakUse()) * giver.slots() / situation.workSeconds();
  }
}
