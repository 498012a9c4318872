package org.otterpond.proxy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.otterpond.outlier.SlowWorkerDetector;

/**
 * Feeds the slow-worker detector of one service and lowers the weight of the workers that it flags,
 * for a limited time. An ejected worker still gets work that no other can take.
 */
final class OutlierEjection {
  /** The interval between two samples. */
  static final long SAMPLE_INTERVAL_MICROS = 20_000;

  private static final int WINDOW_SAMPLES = 400;
  private static final double MAX_SLOWDOWN = 0.7;
  private static final int CONFIRMING_SAMPLES = 40;
  private static final double EJECTED_WEIGHT = 0.25;
  private static final double FULL_WEIGHT = 1.0;
  private static final long EJECTION_MICROS = 5_000_000;

  private final ServiceEndpoints service;
  private final boolean ejectionEnabled;
  private final SlowWorkerDetector detector =
      new SlowWorkerDetector(WINDOW_SAMPLES, MAX_SLOWDOWN, CONFIRMING_SAMPLES);
  private final List<WorkerEndpoint> ejected = new ArrayList<>();
  private long ejectedUntilMicros;
  private List<String> flagged = List.of();

  OutlierEjection(ServiceEndpoints service, boolean ejectionEnabled) {
    this.service = service;
    this.ejectionEnabled = ejectionEnabled;
  }

  /** Takes one sample and acts on the verdict; returns a line for the log, or null. */
  String sample(long nowMicros) {
    Map<String, Double> loads = loads(nowMicros);
    // Samples within about one response time of each other are not independent.
    detector.sample(loads, Math.max(1, service.latency().meanMicros() / SAMPLE_INTERVAL_MICROS));
    if (nowMicros > ejectedUntilMicros) {
      ejected.forEach(endpoint -> endpoint.setWeight(FULL_WEIGHT));
      ejected.clear();
    }
    List<String> slow = detector.verdict().slow();
    boolean changed = !slow.isEmpty() && !slow.equals(flagged);
    flagged = slow;
    if (ejectionEnabled && ejected.isEmpty()) {
      eject(slow, nowMicros);
    }
    return changed ? logLine(slow, loads.size()) : null;
  }

  /**
   * Zones are drawn by fixed weights, and least-outstanding applies only among the nearby workers
   * of one zone. So the statistic is taken over those that get most of this node's requests.
   */
  private Map<String, Double> loads(long nowMicros) {
    Map<String, Double> loads = new HashMap<>();
    for (WorkerEndpoint endpoint : service.nearbyInOwnZone()) {
      if (endpoint.inService() && !endpoint.inSlowStart(nowMicros)) {
        loads.put(endpoint.id(), endpoint.weightedInFlight());
      }
    }
    return loads;
  }

  private void eject(List<String> slow, long nowMicros) {
    for (String id : slow) {
      WorkerEndpoint endpoint = service.endpoint(id);
      endpoint.setWeight(EJECTED_WEIGHT);
      ejected.add(endpoint);
      ejectedUntilMicros = nowMicros + EJECTION_MICROS;
    }
  }

  private String logLine(List<String> slow, int workers) {
    return "event=slow_worker service="
        + service.name()
        + " instance="
        + String.join(",", slow)
        + " share="
        + Math.round(1000 * detector.share(slow.get(0))) / 1000.0
        + " workers="
        + workers;
  }
}
