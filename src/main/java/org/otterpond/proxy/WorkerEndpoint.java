package org.otterpond.proxy;

import org.otterpond.control.state.WorkerInstance;
import org.otterpond.net.WorkerConnectionPool;

/** One worker as this node's data path sees it. */
public final class WorkerEndpoint {
  private static final long SUSPECT_LEAST = 350_000;

  /**
   * Work that a sound worker hardly ever goes through, in usual answer times, without giving an
   * answer.
   */
  private static final double SUSPECT_WORK = 4;

  public WorkerInstance worker;
  public final WorkerConnectionPool pool;
  private final LatencyAverage pace;
  int inFlight;

  /** Since when it says that it leaves; 0 while it does not. */
  long drainingSince;

  private long quietSince;

  /** Requests in flight times the time they have waited, since the last answer. */
  private double unanswered;

  private long countedAt;
  public long shunUntil;
  int failuresInRow;

  /** Lowered while the slow-worker flag stands. */
  double weight = 1.0;

  WorkerEndpoint(WorkerInstance worker, WorkerConnectionPool pool, LatencyAverage pace) {
    this.worker = worker;
    this.pool = pool;
    this.pace = pace;
  }

  public String id() {
    return worker.id();
  }

  /** A connection that failed: keep away for a little, longer each time. */
  public void failed(long now) {
    failuresInRow = Math.min(failuresInRow + 1, 6);
    shunUntil = now + (100_000L << failuresInRow);
  }

  public void worked(long now) {
    failuresInRow = 0;
    shunUntil = 0;
    quietSince = now;
    unanswered = 0;
    countedAt = now;
  }

  public void took(long now) {
    if (inFlight == 0) {
      quietSince = now;
      unanswered = 0;
    } else {
      unanswered = unanswered(now);
    }
    countedAt = now;
    inFlight++;
  }

  public void released(long now) {
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
