package org.otterpond.cargo;

import org.otterpond.harbour.Vessel;
import org.otterpond.quay.TenderPool;

/** One worker as this node's data path sees it. */
final class Hull {
  private static final long SUSPECT_LEAST = 350_000;

  /**
   * Work that a sound worker hardly ever goes through, in usual answer times, without giving an
   * answer.
   */
  private static final double SUSPECT_WORK = 4;

  Vessel vessel;
  final TenderPool pool;
  private final Pace pace;
  int inFlight;

  /** Since when it says that it leaves; 0 while it does not. */
  long drainingSince;

  private long quietSince;

  /** Requests in flight times the time they have waited, since the last answer. */
  private double unanswered;

  private long countedAt;
  long shunUntil;
  int failuresInRow;

  /** Lowered while the slow-worker flag stands. */
  double weight = 1.0;

  Hull(Vessel vessel, TenderPool pool, Pace pace) {
    this.vessel = vessel;
    this.pool = pool;
    this.pace = pace;
  }

  String id() {
    return vessel.id();
  }

  /** A connection that failed: keep away for a little, longer each time. */
  void failed(long now) {
    failuresInRow = Math.min(failuresInRow + 1, 6);
    shunUntil = now + (100_000L << failuresInRow);
  }

  void worked(long now) {
    failuresInRow = 0;
    shunUntil = 0;
    quietSince = now;
    unanswered = 0;
    countedAt = now;
  }

  void took(long now) {
    if (inFlight == 0) {
      quietSince = now;
      unanswered = 0;
    } else {
      unanswered = unanswered(now);
    }
    countedAt = now;
    inFlight++;
  }

  void released(long now) {
    unanswered = unanswered(now);
    countedAt = now;
    inFlight--;
  }

  long quietSince() {
    return quietSince;
  }

  private double unanswered(long now) {
    return unanswered + (double) inFlight * (now - countedAt);
  }

  /**
   * Whether it has had so much work for so long without giving any answer that others are better
   * tried first. How much that is follows from how long the service usually takes: one request that
   * is late says little, several say more.
   */
  boolean suspect(long now) {
    return inFlight > 0
        && now - quietSince > SUSPECT_LEAST
        && unanswered(now) > SUSPECT_WORK * pace.usual();
  }
}
