package org.otterpond.keyrange;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;

/**
 * Moves keys from workers with more requests than they can serve, gives new workers a range, and
 * joins neighbouring ranges. There are few moves, and none where the owners keep up.
 */
final class KeyRangeBalancer {
  /** A range that has moved stays for this long, unless it is very hot. */
  static final long REST_MICROS = 3_000_000;

  private static final long PERIOD_MICROS = 400_000;

  /** Fractions of a worker's slots in use from which it is overloaded. */
  private static final double SUSTAINED_OVERLOAD = 0.8;

  private static final double RECENT_OVERLOAD = 1.15;
  private static final double LEAST_OVERLOAD_RATE = 4;

  /** An overloaded worker is relieved only if its use is above the mean by this factor. */
  private static final double ABOVE_MEAN = 1.25;

  private static final double LEAST_MEAN_USE = 0.2;
  private static final int MOVES_PER_PERIOD = 24;
  private static final int MAX_MOVING = 48;
  private static final int NEW_WORKERS_PER_PERIOD = 6;
  private static final int LEAST_SPLIT_KEYS = 3;
  private static final long JOIN_AFTER_MICROS = 10_000_000;
  private static final int JOINS_PER_PERIOD = 4;

  /** Ranges are joined only where there are more of them per worker. */
  private static final int RANGES_PER_WORKER = 3;

  private final KeyRangeLeases leases;
  private final WorkerLoads loads;
  private final KeyRangeDivision division;
  private final LeaseHandover handover;
  private final Map<String, Long> balancedAtByService = new HashMap<>();

  KeyRangeBalancer(
      KeyRangeLeases leases, WorkerLoads loads, KeyRangeDivision division, LeaseHandover handover) {
    this.leases = leases;
    this.loads = loads;
    this.division = division;
    this.handover = handover;
  }

  /** Balances the ranges of a service if that is due. */
  void balanceIfDue(String service, long nowMicros) {
    Long balancedAt = balancedAtByService.get(service);
    if (balancedAt != null && nowMicros - balancedAt < PERIOD_MICROS) {
      return;
    }
    balancedAtByService.put(service, nowMicros);
    List<WorkerLoad> able =
        loads.byInstance(service).values().stream().filter(WorkerLoad::canReceive).toList();
    if (able.size() < 2) {
      return;
    }
    List<WorkerLoad> busiestFirst = new ArrayList<>(able);
    busiestFirst.sort(Comparator.comparingDouble(load -> -load.peakUse()));
    OptionalInt movesLeft = relieveOverloaded(service, busiestFirst, nowMicros);
    if (movesLeft.isPresent()) {
      supplyNewWorkers(busiestFirst, movesLeft.getAsInt(), nowMicros);
      joinNeighbours(service, busiestFirst.size(), nowMicros);
    }
  }

  private static double meanUse(List<WorkerLoad> workers) {
    return workers.stream().mapToDouble(WorkerLoad::recentUse).average().orElse(0);
  }

  private int movesAllowed(String service) {
    long moving =
        leases.of(service).stream()
            .filter(
                lease ->
                    lease.state == KeyRangeState.RELEASING || lease.state == KeyRangeState.GRANTING)
            .count();
    return (int) Math.min(MOVES_PER_PERIOD, MAX_MOVING - moving);
  }

  /** Returns how many moves are left for this period; empty if the relief has used them up. */
  private OptionalInt relieveOverloaded(String service, List<WorkerLoad> able, long nowMicros) {
    int movesLeft = movesAllowed(service);
    double meanUse = meanUse(able);
    for (WorkerLoad giver : able) {
      if (!isOverloaded(giver, meanUse)) {
        continue;
      }
      OverloadRelief.Situation situation =
          new OverloadRelief.Situation(
              giver,
              able,
              loads.workSeconds(service),
              Math.max(meanUse, LEAST_MEAN_USE),
              nowMicros);
      movesLeft -= new OverloadRelief(leases, loads, division, handover, situation).run(movesLeft);
      if (movesLeft <= 0) {
        return OptionalInt.empty();
      }
    }
    return OptionalInt.of(movesLeft);
  }

  private static boolean isOverloaded(WorkerLoad load, double meanUse) {
    boolean sustained =
        load.sustainedUse() > SUSTAINED_OVERLOAD && load.recentUse() > SUSTAINED_OVERLOAD / 2;
    boolean recent = load.recentUse() > RECENT_OVERLOAD && load.recentRate() > LEAST_OVERLOAD_RATE;
    return (sustained || recent) && load.peakUse() >= ABOVE_MEAN * meanUse;
  }

  /** Gives workers without ranges half of a wide range, one each. */
  private void supplyNewWorkers(List<WorkerLoad> able, int movesLeft, long nowMicros) {
    int supplies = Math.min(movesLeft, NEW_WORKERS_PER_PERIOD);
    long newWorkers = able.stream().filter(WorkerLoad::ownsNothing).count();
    List<WorkerLoad> widestFirst = new ArrayList<>(able);
    widestFirst.sort(Comparator.comparingDouble(load -> -load.ownedFraction()));
    for (WorkerLoad giver : widestFirst) {
      if (supplies <= 0 || newWorkers <= 0) {
        return;
      }
      if (releaseHalfOfWidest(giver, nowMicros)) {
        supplies--;
        newWorkers--;
      }
    }
  }

  private boolean releaseHalfOfWidest(WorkerLoad giver, long nowMicros) {
    KeyRangeLease widest =
        giver.heldLeases().stream()
            .filter(lease -> lease.isIdle() && nowMicros - lease.movedAt > REST_MICROS)
            .max(Comparator.comparingInt(leases::keyCount))
            .orElse(null);
    if (widest == null || leases.keyCount(widest) < LEAST_SPLIT_KEYS) {
      return false;
    }
    int lastKey = leases.lastKey(widest);
    int middle = (widest.firstKey + lastKey) / 2 + 1;
    KeyRangeLease half = division.split(widest, middle, lastKey);
    if (half == null) {
      return false;
    }
    handover.release(half);
    return true;
  }

  /** Joins neighbouring ranges of one worker, where there are many and none has moved lately. */
  private void joinNeighbours(String service, int workerCount, long nowMicros) {
    if (leases.of(service).size() < RANGES_PER_WORKER * workerCount) {
      return;
    }
    int joined = 0;
    for (KeyRangeLease lease : leases.snapshot(service)) {
      boolean rested = nowMicros - lease.movedAt > JOIN_AFTER_MICROS;
      if (joined < JOINS_PER_PERIOD
          && rested
          && leases.contains(lease)
          && division.joinWithNext(lease)) {
        joined++;
      }
    }
  }
}
