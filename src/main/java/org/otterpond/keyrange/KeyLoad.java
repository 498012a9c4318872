package org.otterpond.keyrange;

import java.util.HashMap;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The request rates of the keys of one service, and how long the work of a request takes. Only keys
 * that were requested are stored.
 */
public final class KeyLoad {
  private static final double RECENT_SECONDS = 1.2;
  private static final double SUSTAINED_SECONDS = 8;

  /** A key with fewer requests than this in the sustained period is no longer stored. */
  private static final double FORGOTTEN_REQUESTS = 0.02;

  private static final double WORK_SMOOTHING = 0.05;
  private static final double MICROS_PER_SECOND = 1e6;
  private static final long NEVER = Long.MIN_VALUE;

  private final TreeMap<Integer, KeyRate> rates = new TreeMap<>();
  private long decayedAtMicros = NEVER;
  private double workSeconds;

  /** Takes a node's report of requests since its report before. */
  void add(KeyLoadReport report) {
    addWork(report.workMicros().longValue() / MICROS_PER_SECOND);
    report.requestsByKey().forEach(this::addRequests);
  }

  private void addRequests(int key, long requests) {
    KeyRate added = new KeyRate(requests / RECENT_SECONDS, requests / SUSTAINED_SECONDS);
    rates.merge(key, added, KeyRate::plus);
  }

  private void addWork(double seconds) {
    if (seconds > 0) {
      workSeconds =
          workSeconds == 0
              ? seconds
              : (1 - WORK_SMOOTHING) * workSeconds + WORK_SMOOTHING * seconds;
    }
  }

  /** Returns how long one request occupies a slot of a worker, in seconds; 0 if unknown. */
  double workSeconds() {
    return workSeconds;
  }

  /** Lets the averages decay up to a time. */
  void decay(long nowMicros) {
    if (decayedAtMicros != NEVER) {
      double elapsedSeconds = (nowMicros - decayedAtMicros) / MICROS_PER_SECOND;
      decayBy(elapsedSeconds);
    }
    decayedAtMicros = nowMicros;
  }

  private void decayBy(double elapsedSeconds) {
    double recentFactor = Math.exp(-elapsedSeconds / RECENT_SECONDS);
    double sustainedFactor = Math.exp(-elapsedSeconds / SUSTAINED_SECONDS);
    rates.replaceAll(
        (key, rate) ->
            new KeyRate(rate.recent() * recentFactor, rate.sustained() * sustainedFactor));
    rates.values().removeIf(rate -> rate.sustained() < FORGOTTEN_REQUESTS / SUSTAINED_SECONDS);
  }

  /** Returns the rate of all keys from the first to the last. */
  KeyRate rateOf(int firstKey, int lastKey) {
    return requestedKeys(firstKey, lastKey).values().stream().reduce(KeyRate.ZERO, KeyRate::plus);
  }

  /** Returns the rates of the requested keys from the first to the last. */
  SortedMap<Integer, KeyRate> requestedKeys(int firstKey, int lastKey) {
    return rates.subMap(firstKey, true, lastKey, true);
  }

  /** Counts a node's requests by service and key between two reports. */
  public static final class Meter {
    private final Map<String, Map<Integer, Integer>> counts = new HashMap<>();

    /** Counts a request. */
    public void asked(String service, int key) {
      counts.computeIfAbsent(service, name -> new HashMap<>()).merge(key, 1, Integer::sum);
    }

    /** Returns the counts since the last call, and begins anew. */
    public Map<String, Map<Integer, Integer>> take() {
      Map<String, Map<Integer, Integer>> taken = new HashMap<>(counts);
      counts.clear();
      return taken;
    }
  }
}
