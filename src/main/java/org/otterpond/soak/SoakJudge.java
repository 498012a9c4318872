package org.otterpond.soak;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.otterpond.soak.Disturbance.Kind;

/** Compares the records of workers and clients with what the gateway promises. */
final class SoakJudge {
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** After a client has left, work may go on for this long. */
  private static final long DEPARTURE_NANOS = 500 * NANOS_PER_MILLI;

  /** A time without unplanned disturbance begins this long before a request. */
  private static final long CALM_NANOS = 4_000 * NANOS_PER_MILLI;

  /** A request that ends sooner and was not passed on may have crossed the node's close. */
  private static final long CROSSING_NANOS = 200 * NANOS_PER_MILLI;

  private static final long SECOND_NANOS = 1_000 * NANOS_PER_MILLI;

  /** With the standard bounds of the nodes: a factor of 1.5, and 8 requests. */
  private static final int MAX_SLOW_START_ARRIVALS =
      SoakConfiguration.SLOW_START_REQUESTS_PER_SECOND * 3 / 2 + 8;

  private static final int MAX_ATTEMPTS = 2;
  private static final int OK = 200;

  private final SoakRecords records;
  private final List<String> violations = new ArrayList<>();

  SoakJudge(SoakRecords records) {
    this.records = records;
  }

  /** Returns everything that contradicts a promise, findings made while the soak ran included. */
  List<String> judge() {
    violations.addAll(records.findings);
    for (SoakRecords.Request request : records.requests) {
      checkDeparture(request);
      checkRuns(request);
      checkResponse(request);
    }
    checkKeys();
    records.slowStartArrivals.forEach(this::checkSlowStart);
    return violations;
  }

  private void violated(SoakRecords.Request request, String what) {
    violations.add(
        request.attemptId + " (" + request.kind + ", node " + request.node + "): " + what);
  }

  // GONE: nothing of it reaches a worker, and no worker runs an idempotent one.

  private void checkDeparture(SoakRecords.Request request) {
    if (request.leftAtNanos == SoakRecords.NEVER || request.kind == RequestKind.KEYED) {
      return;
    }
    for (SoakRecords.Run run : records.runs(request)) {
      long arrivedLate = run.arrivedAtNanos - allowedUntil(request, run, run.arrivedAtNanos);
      if (arrivedLate > 0) {
        violated(request, "reached worker " + run.worker + " too late by " + millis(arrivedLate));
      }
      long endedLate = run.endedAtNanos - allowedUntil(request, run, run.endedAtNanos);
      if (request.kind == RequestKind.IDEMPOTENT && endedLate > 0) {
        violated(request, "ran at worker " + run.worker + " too long by " + millis(endedLate));
      }
    }
  }

  /**
   * A node that is suspended, or cut off from the worker, can do nothing until that is over; where
   * tasks waited for a processor, it has so much more time.
   */
  private long allowedUntil(SoakRecords.Request request, SoakRecords.Run run, long untilNanos) {
    long fromNanos = request.leftAtNanos;
    for (SoakRecords.Interval interval : records.disturbances) {
      boolean hinders =
          (interval.kind() == Kind.NODE_SUSPEND && interval.target() == request.node)
              || (interval.kind() == Kind.WORKER_CUT && interval.target() == run.worker);
      if (hinders && interval.overlaps(request.leftAtNanos, untilNanos)) {
        fromNanos = Math.max(fromNanos, interval.toNanos());
      }
    }
    if (fromNanos == SoakRecords.NEVER) {
      return SoakRecords.NEVER;
    }
    return fromNanos + DEPARTURE_NANOS + records.pressure.waitedNanos(fromNanos, untilNanos);
  }

  private static String millis(long nanos) {
    return nanos / NANOS_PER_MILLI + " ms";
  }

  // How often a request may reach workers.

  private void checkRuns(SoakRecords.Request request) {
    int runs = records.runs(request).size();
    int allowed = request.kind == RequestKind.IDEMPOTENT ? MAX_ATTEMPTS : 1;
    if (runs > allowed) {
      violated(request, "ran " + runs + " times");
    }
  }

  // Whose response it is, and that there is one in calm times.

  private void checkResponse(SoakRecords.Request request) {
    if (request.status == OK && !SoakBody.belongsTo(request.body, request)) {
      violated(request, "got the response of another: " + request.body.split("\n", 2)[0]);
    }
    if (request.cutOff && isCalm(request)) {
      boolean passedOn = !records.runs(request).isEmpty();
      long lasted = request.endedAtNanos - request.sentAtNanos;
      if (passedOn || lasted > CROSSING_NANOS) {
        violated(request, "cut off after " + millis(lasted) + (passedOn ? ", passed on" : ""));
      }
    }
  }

  private boolean isCalm(SoakRecords.Request request) {
    return records.disturbances.stream()
        .noneMatch(
            interval ->
                !interval.kind().isPlanned()
                    && interval.overlaps(request.sentAtNanos - CALM_NANOS, request.endedAtNanos));
  }

  // FAILBACK: what a worker in slow start gets from all nodes within a second.

  private void checkSlowStart(String instance, Collection<Long> arrivals) {
    List<Long> times = arrivals.stream().sorted().toList();
    int most = 0;
    for (int first = 0, last = 0; last < times.size(); last++) {
      while (times.get(last) - times.get(first) >= SECOND_NANOS) {
        first++;
      }
      most = Math.max(most, last - first + 1);
    }
    if (most > MAX_SLOW_START_ARRIVALS) {
      violations.add(instance + " got " + most + " requests within a second of its slow start");
    }
  }

  // Idempotency keys: one run, one response.

  private void checkKeys() {
    Map<String, SoakRecords.Run> runByKey = new HashMap<>();
    for (List<SoakRecords.Run> runs : records.runsByAttempt.values()) {
      for (SoakRecords.Run run : runs) {
        SoakRecords.Run other = run.key == null ? null : runByKey.put(run.key, run);
        if (other != null) {
          violations.add(
              run.key + " ran twice, as " + run.attemptId + " and as " + other.attemptId);
        }
      }
    }
    Map<String, String> responseByKey = new HashMap<>();
    for (SoakRecords.Request request : records.requests) {
      if (request.key != null && request.status == OK) {
        String other = responseByKey.put(request.key, request.body);
        if (other != null && !other.equals(request.body)) {
          violated(request, "its key has two responses");
        }
      }
    }
  }
}
