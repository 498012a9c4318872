package org.otterpond.proxy;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import org.otterpond.config.RouteType;

/**
 * Counters of the requests whose clients left before their responses were complete, by the kind of
 * the request and what it waited for.
 */
public final class DepartureMetrics {
  /** The kind of a request that has not been routed yet. */
  private static final String UNROUTED = "unrouted";

  private final Map<RequestStage, LongAdder> unroutedCancelled = counters();
  private final Map<RouteType, Map<RequestStage, LongAdder>> cancelled = countersByKind();
  private final Map<RouteType, Map<RequestStage, LongAdder>> continued = countersByKind();

  /** Attempts begun for clients that were known to have left; of keyed requests only. */
  public final LongAdder attemptsAfterDeparture = new LongAdder();

  /** Violations that {@link AbandonedWorkMonitor} has found. */
  public final LongAdder violations = new LongAdder();

  /** Gets the counters one by one. */
  public interface Visitor {
    /**
     * Takes one counter.
     *
     * @param kind the kind of the requests
     * @param stage what they waited for when the client left
     */
    void counter(String kind, String stage, LongAdder count);
  }

  private static Map<RequestStage, LongAdder> counters() {
    Map<RequestStage, LongAdder> byStage = new EnumMap<>(RequestStage.class);
    for (RequestStage stage : RequestStage.values()) {
      byStage.put(stage, new LongAdder());
    }
    return byStage;
  }

  private static Map<RouteType, Map<RequestStage, LongAdder>> countersByKind() {
    Map<RouteType, Map<RequestStage, LongAdder>> byKind = new EnumMap<>(RouteType.class);
    for (RouteType kind : RouteType.values()) {
      byKind.put(kind, counters());
    }
    return byKind;
  }

  /** Counts a request that was cancelled before its route was known. */
  public void cancelledUnrouted(RequestStage stage) {
    unroutedCancelled.get(stage).increment();
  }

  /** Counts a request that was cancelled. */
  public void cancelled(RouteType kind, RequestStage stage) {
    cancelled.get(kind).get(stage).increment();
  }

  /** Counts a request that goes on. */
  public void continued(RouteType kind, RequestStage stage) {
    continued.get(kind).get(stage).increment();
  }

  /** Returns how many requests were cancelled, as their clients had left. */
  public long cancelledTotal() {
    return sum(unroutedCancelled) + sumOfKinds(cancelled);
  }

  /** Returns how many requests went on although their clients had left. */
  public long continuedTotal() {
    return sumOfKinds(continued);
  }

  private static long sum(Map<RequestStage, LongAdder> byStage) {
    return byStage.values().stream().mapToLong(LongAdder::sum).sum();
  }

  private static long sumOfKinds(Map<RouteType, Map<RequestStage, LongAdder>> byKind) {
    return byKind.values().stream().mapToLong(DepartureMetrics::sum).sum();
  }

  /** Visits the counters of requests that were cancelled. */
  public void visitCancelled(Visitor visitor) {
    unroutedCancelled.forEach((stage, count) -> visitor.counter(UNROUTED, stage.label(), count));
    visit(cancelled, visitor);
  }

  /** Visits the counters of requests that went on. */
  public void visitContinued(Visitor visitor) {
    visit(continued, visitor);
  }

  private static void visit(Map<RouteType, Map<RequestStage, LongAdder>> byKind, Visitor visitor) {
    byKind.forEach(
        (kind, byStage) ->
            byStage.forEach(
                (stage, count) ->
                    visitor.counter(kind.name().toLowerCase(Locale.ROOT), stage.label(), count)));
  }
}
