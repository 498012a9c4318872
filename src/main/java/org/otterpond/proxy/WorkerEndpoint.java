package org.otterpond.proxy;

import org.otterpond.control.state.WorkerInstance;
import org.otterpond.control.state.WorkerState;
import org.otterpond.net.WorkerConnectionPool;

/** One worker instance with its connections and its load, as this node sees it. */
public final class WorkerEndpoint {
  private static final int REQUESTS_PER_SLOT = 2;
  private static final double SLOW_START_WEIGHT = 0.5;
  private static final long MIN_UNRESPONSIVE_MICROS = 350_000;
  private static final long FAILURE_BACKOFF_MICROS = 100_000;
  private static final int MAX_BACKOFF_DOUBLINGS = 6;

  /** How long a worker that rejected a request is avoided. */
  private static final long REJECTION_BACKOFF_MICROS = 60_000;

  /**
   * Work without any response, in average response times, that a healthy worker hardly ever has.
   */
  private static final double UNRESPONSIVE_WORK = 4;

  private final WorkerConnectionPool connectionPool;
  private final LatencyAverage latency;
  private WorkerInstance instance;
  private long drainingSinceMicros;

  /** Null until the worker belongs to a service. */
  private SlowStartLimiter slowStartLimiter;

  private long lastSentAtMicros = Long.MIN_VALUE / 2;
  private int inFlight;
  private long lastResponseAtMicros;

  /** Sum over the requests in flight of their waiting times since the last response. */
  private double unansweredMicros;

  private long unansweredCountedAtMicros;

  /** Whether a request was abandoned since the last response; its time goes on to count. */
  private boolean abandonedSinceResponse;

  private long avoidUntilMicros;
  private int consecutiveFailures;
  private double weight = 1.0;

  WorkerEndpoint(
      WorkerInstance instance, WorkerConnectionPool connectionPool, LatencyAverage latency) {
    this.instance = instance;
    this.connectionPool = connectionPool;
    this.latency = latency;
  }

  /** Returns the identity of the worker instance. */
  public String id() {
    return instance.id();
  }

  /** Returns the pool of connections to the worker. */
  public WorkerConnectionPool connectionPool() {
    return connectionPool;
  }

  /** Returns whether the worker takes new requests. */
  public boolean inService() {
    return instance.state() == WorkerState.IN_SERVICE;
  }

  /** Sets what limits the requests of this node to the worker while it is in slow start. */
  void setSlowStartLimiter(SlowStartLimiter limiter) {
    slowStartLimiter = limiter;
  }

  /**
   * Returns whether this node may send the worker another request as far as its slow start goes.
   */
  boolean slowStartPermits(long nowMicros) {
    return slowStartLimiter == null
        || slowStartLimiter.permits(instance, lastSentAtMicros, nowMicros);
  }

  String zone() {
    return instance.zone();
  }

  int slots() {
    return Math.max(1, instance.slots());
  }

  /** Takes in the newest state of the worker. */
  void update(WorkerInstance newest, long nowMicros) {
    instance = newest;
    if (newest.state() == WorkerState.DRAINING && drainingSinceMicros == 0) {
      drainingSinceMicros = nowMicros;
    }
  }

  /** Returns whether the worker has left service, and that for longer than the given time. */
  boolean drainingLongerThan(long micros, long nowMicros) {
    return !inService() && nowMicros - drainingSinceMicros > micros;
  }

  /** Notes that an attempt failed; the worker is avoided for a time that doubles each time. */
  public void attemptFailed(long nowMicros) {
    consecutiveFailures = Math.min(consecutiveFailures + 1, MAX_BACKOFF_DOUBLINGS);
    avoidUntilMicros = nowMicros + (FAILURE_BACKOFF_MICROS << consecutiveFailures);
  }

  /** Notes that the worker rejected a request as it has no free slot. */
  public void requestRejected(long nowMicros) {
    avoidUntilMicros = nowMicros + REJECTION_BACKOFF_MICROS;
  }

  /** Notes that the worker has executed a request. */
  public void requestExecuted(long nowMicros) {
    consecutiveFailures = 0;
    avoidUntilMicros = 0;
    lastResponseAtMicros = nowMicros;
    unansweredMicros = 0;
    unansweredCountedAtMicros = nowMicros;
    abandonedSinceResponse = false;
  }

  /** Counts a request as in flight. */
  public void attemptStarted(long nowMicros) {
    if (slowStartLimiter != null) {
      slowStartLimiter.sent(instance, lastSentAtMicros, nowMicros);
    }
    lastSentAtMicros = nowMicros;
    if (inFlight > 0) {
      unansweredMicros = unansweredMicros(nowMicros);
    } else if (abandonedSinceResponse) {
      // The time without any request is no silence.
      lastResponseAtMicros += nowMicros - unansweredCountedAtMicros;
    } else {
      lastResponseAtMicros = nowMicros;
      unansweredMicros = 0;
    }
    unansweredCountedAtMicros = nowMicros;
    inFlight++;
  }

  /**
   * Notes that a request in flight is given up before its response; {@link #attemptEnded} follows.
   * Its response time is not known, only that it is longer than the time until now: that is neither
   * a failure nor a response, and the worker has still been silent for as long.
   */
  public void attemptAbandoned() {
    abandonedSinceResponse = true;
  }

  /** Counts a request as ended, however it ended. */
  public void attemptEnded(long nowMicros) {
    unansweredMicros = unansweredMicros(nowMicros);
    unansweredCountedAtMicros = nowMicros;
    inFlight--;
  }

  int inFlight() {
    return inFlight;
  }

  int maxInFlight() {
    return slots() * REQUESTS_PER_SLOT;
  }

  /** Returns when the worker last answered, or when it got its first request since it was idle. */
  long lastResponseAtMicros() {
    return lastResponseAtMicros;
  }

  private double unansweredMicros(long nowMicros) {
    return unansweredMicros + (double) inFlight * (nowMicros - unansweredCountedAtMicros);
  }

  /** Returns whether the worker is avoided after a failure or a rejection. */
  boolean avoided(long nowMicros) {
    return avoidUntilMicros > nowMicros;
  }

  /**
   * Returns whether the worker has had so much work for so long without any response that others
   * are tried first. The limit follows from the average response time of the service: one late
   * request says little, several say more.
   */
  boolean unresponsive(long nowMicros) {
    return inFlight > 0
        && nowMicros - lastResponseAtMicros > MIN_UNRESPONSIVE_MICROS
        && unansweredMicros(nowMicros) > UNRESPONSIVE_WORK * latency.meanMicros();
  }

  boolean inSlowStart(long nowMicros) {
    return instance.inSlowStart(nowMicros);
  }

  /** Sets the weight in the selection; below 1 while the worker is ejected as an outlier. */
  void setWeight(double newWeight) {
    weight = newWeight;
  }

  /** Returns the requests in flight over the weight that outlier detection has set. */
  double weightedInFlight() {
    return inFlight / weight;
  }

  /**
   * Returns the load to compare: 0 for an idle worker of full weight, more for an idle lighter one.
   */
  double load(long nowMicros) {
    double effectiveWeight = inSlowStart(nowMicros) ? weight * SLOW_START_WEIGHT : weight;
    return inFlight / effectiveWeight + (1 / effectiveWeight - 1);
  }
}
