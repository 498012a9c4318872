package org.otterpond.outlier;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The potential-action statistic over one balancer's own vector of requests in flight, with the
 * minorizing rule.
 *
 * <p>Each sample is the distribution a new request would have been routed by: equal shares over the
 * least loaded. Workers are flagged when their mean shares over the window are below (1 - gamma)
 * times every other's, smoothed over several windows in a row. Sampling counts only moments at
 * which the balancer had a choice to make, that is, at which at least one worker was busier than
 * the least loaded: at rest every share is equal and says nothing.
 */
public final class SlowWorkerDetector {
  private static final double NOISE = 0.5;
  private static final double MOST_MARGIN = 0.9;

  private final int window;
  private final double gamma;
  private final int confirm;

  private final ArrayDeque<Map<String, Double>> samples = new ArrayDeque<>();
  private final Map<String, Double> sums = new HashMap<>();
  private Set<String> members = new HashSet<>();
  private List<String> candidates = List.of();
  private int agreed;
  private double repeats = 1;

  public SlowWorkerDetector(int window, double alphaMax, int confirm) {
    if (window < 1 || confirm < 1 || !(alphaMax > 0 && alphaMax < 0.9)) {
      throw new IllegalArgumentException("window, smoothing or smallest slowdown out of range");
    }
    this.window = window;
    this.gamma = gammaFor(alphaMax);
    this.confirm = confirm;
  }

  /** The paper's default margin for the smallest slowdown of interest. */
  public static double gammaFor(double alphaMax) {
    return (1 - 1.1 * alphaMax) / 2;
  }

  /** Takes a sample that owes nothing to the one before. */
  public void sample(Map<String, Double> load) {
    sample(load, 1);
  }

  /**
   * Takes one sample: requests in flight per worker, each divided by the worker's weight.
   *
   * @param repeated how many samples in a row say about the same, because requests outlast the time
   *     between them
   */
  public void sample(Map<String, Double> load, double repeated) {
    repeats = repeated;
    if (!load.keySet().equals(members)) {
      // Joining, leaving and warming workers change what each share should be: begin anew.
      reset(load.keySet());
    }
    double least = Double.MAX_VALUE;
    double most = 0;
    for (double q : load.values()) {
      least = Math.min(least, q);
      most = Math.max(most, q);
    }
    if (load.size() < 3 || most <= least) {
      return;
    }
    Map<String, Double> shares = new LinkedHashMap<>();
    final double floor = least;
    long ties = load.values().stream().filter(q -> q <= floor).count();
    load.forEach(
        (id, q) -> {
          if (q <= floor) {
            shares.put(id, 1.0 / ties);
          }
        });
    samples.addLast(shares);
    shares.forEach((id, s) -> sums.merge(id, s, Double::sum));
    if (samples.size() > window) {
      samples.removeFirst().forEach((id, s) -> sums.merge(id, -s, Double::sum));
    }
    judge();
  }

  private void reset(Set<String> now) {
    members = new HashSet<>(now);
    samples.clear();
    sums.clear();
    candidates = List.of();
    agreed = 0;
  }

  private void judge() {
    List<String> found = samples.size() < window ? List.of() : minorized();
    agreed = found.isEmpty() ? 0 : found.equals(candidates) ? agreed + 1 : 1;
    candidates = found;
  }

  /**
   * The workers whose shares are all below (1 - margin) times every other's: the fewest that have
   * such a gap above them, a third of all at most.
   */
  private List<String> minorized() {
    List<String> byShare = new ArrayList<>(members);
    byShare.sort(Comparator.comparingDouble(this::share));
    double most = 1 - margin();
    for (int n = 1; n <= Math.max(1, byShare.size() / 3); n++) {
      if (share(byShare.get(n - 1)) < most * share(byShare.get(n))) {
        List<String> found = byShare.subList(0, n);
        found.sort(null);
        return List.copyOf(found);
      }
    }
    return List.of();
  }

  /**
   * The paper's, or more where the window holds too few independent samples to tell so small a gap
   * from chance.
   */
  private double margin() {
    double each = samples.size() / repeats / members.size();
    return Math.min(MOST_MARGIN, Math.max(gamma, NOISE / Math.sqrt(each)));
  }

  public SlowdownVerdict verdict() {
    return new SlowdownVerdict(agreed >= confirm ? candidates : List.of(), samples.size());
  }

  /** The mean share of a worker over the window, for those who look into a flag. */
  public double share(String id) {
    return samples.isEmpty() ? 0 : Math.max(0, sums.getOrDefault(id, 0.0)) / samples.size();
  }
}
