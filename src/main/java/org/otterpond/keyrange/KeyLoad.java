package org.otterpond.keyrange;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.TreeMap;

/**
 * How often the keys of one service are asked for, lately and for a while. Only keys that were
 * asked for are held.
 */
public final class KeyLoad {
  private static final double LATELY = 1.2;
  private static final double A_WHILE = 8;
  private static final double COLD = 0.02;

  private final TreeMap<Integer, double[]> keys = new TreeMap<>();
  private long cooledAt = Long.MIN_VALUE;

  /** How long the work of one request usually takes, in seconds. */
  private double work;

  public void add(int key, double requests) {
    double[] h = keys.computeIfAbsent(key, k -> new double[2]);
    h[0] += requests / LATELY;
    h[1] += requests / A_WHILE;
  }

  public void work(double seconds) {
    if (seconds > 0) {
      work = work == 0 ? seconds : 0.95 * work + 0.05 * seconds;
    }
  }

  /** Seconds of a worker's slot that one request takes. */
  public double work() {
    return work;
  }

  public void cool(long now) {
    if (cooledAt == Long.MIN_VALUE) {
      cooledAt = now;
      return;
    }
    double dt = (now - cooledAt) / 1e6;
    cooledAt = now;
    double a = Math.exp(-dt / LATELY);
    double b = Math.exp(-dt / A_WHILE);
    Iterator<double[]> it = keys.values().iterator();
    while (it.hasNext()) {
      double[] h = it.next();
      h[0] *= a;
      h[1] *= b;
      if (h[1] < COLD / A_WHILE) {
        it.remove();
      }
    }
  }

  /** Requests a second in a range: lately, and for a while. */
  public double[] in(int from, int to) {
    double[] sum = new double[2];
    for (double[] h : keys.subMap(from, true, to, true).values()) {
      sum[0] += h[0];
      sum[1] += h[1];
    }
    return sum;
  }

  /** The keys of a range that were asked for, with how often. */
  public Map<Integer, double[]> of(int from, int to) {
    return keys.subMap(from, true, to, true);
  }

  /** What a node reports: counts by key, gathered until it does. */
  public static final class Meter {
    private final Map<String, Map<Integer, Integer>> counts = new HashMap<>();

    public void asked(String service, int key) {
      counts.computeIfAbsent(service, s -> new HashMap<>()).merge(key, 1, Integer::sum);
    }

    /** Hands out what was counted since the last time. */
    public Map<String, Map<Integer, Integer>> take() {
      Map<String, Map<Integer, Integer>> out = new HashMap<>(counts);
      counts.clear();
      return out;
    }
  }
}
