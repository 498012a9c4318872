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
 * Finds slow workers behind a load balancer that evens the queues, after Xu Kuang and Gal
 * Mendelson, "Learning Service Slowdown using Observational Data". Symbols of the paper are in
 * parentheses.
 *
 * <p>A sample is the potential action of the balancer: the distribution by which it would have
 * routed a new request, equal shares over the least loaded of the K workers. The statistic of
 * worker k (h_k) is its mean share over a sliding window. By the minorizing rule worker k is slow
 * if h_k &lt; (1 - gamma) h_j for all other workers j, with gamma = (1 - 1.1 alpha_max) / 2, where
 * alpha_max is the smallest slowdown of interest as a fraction of the normal speed.
 *
 * <p>Changes to the paper: samples at which all workers are equally loaded are left out, as equal
 * shares say nothing; several workers may be slow; the result must be the same several times in a
 * row; the margin is wider while the window holds few independent samples. The reasons are in
 * docs/design.md, "Slow workers".
 *
 * <p>Confined to the owner thread.
 */
public final class SlowWorkerDetector {
  /** The margin is at least this, divided by the square root of the samples of one worker. */
  private static final double SAMPLING_NOISE = 0.5;

  private static final double MAX_MARGIN = 0.9;

  /** With two workers the rule cannot say whether one is slow or the other fast. */
  private static final int MIN_WORKERS = 3;

  /** Of this many workers one may be slow at most; of fewer workers one as well. */
  private static final int WORKERS_PER_SLOW_WORKER = 3;

  /** Above it gamma would not be positive; compare {@link #gammaFor}. */
  private static final double ALPHA_LIMIT = 0.9;

  private final int windowSamples;
  private final double gamma;
  private final int requiredAgreements;

  private final ArrayDeque<Map<String, Double>> window = new ArrayDeque<>();
  private final Map<String, Double> shareSums = new HashMap<>();
  private Set<String> workers = new HashSet<>();
  private double samplesPerObservation = 1;

  /** The workers found by the last sample, and how many samples in a row have found them. */
  private List<String> candidates = List.of();

  private int agreements;

  /**
   * Creates a detector.
   *
   * @param windowSamples size of the sliding window, in samples
   * @param alphaMax smallest slowdown of interest (alpha_max), as a fraction of the normal speed
   * @param requiredAgreements samples in a row that must find the same workers
   * @throws IllegalArgumentException if a parameter is out of range
   */
  public SlowWorkerDetector(int windowSamples, double alphaMax, int requiredAgreements) {
    if (windowSamples < 1 || requiredAgreements < 1 || !(alphaMax > 0 && alphaMax < ALPHA_LIMIT)) {
      throw new IllegalArgumentException(
          "out of range: window "
              + windowSamples
              + ", alphaMax "
              + alphaMax
              + ", agreements "
              + requiredAgreements);
    }
    this.windowSamples = windowSamples;
    this.gamma = gammaFor(alphaMax);
    this.requiredAgreements = requiredAgreements;
  }

  /** Returns the paper's default margin (gamma) for a smallest slowdown of interest (alpha_max). */
  public static double gammaFor(double alphaMax) {
    return (1 - 1.1 * alphaMax) / 2;
  }

  /** Takes a sample that is independent of the one before. */
  public void sample(Map<String, Double> load) {
    sample(load, 1);
  }

  /**
   * Takes a sample. A change among the workers restarts the window, as it changes all shares.
   *
   * @param load requests in flight by worker id, each divided by the worker's weight
   * @param samplesPerObservation number of samples in a row that show the same requests, because
   *     requests last longer than the sampling interval
   */
  public void sample(Map<String, Double> load, double samplesPerObservation) {
    this.samplesPerObservation = samplesPerObservation;
    if (!load.keySet().equals(workers)) {
      restart(load.keySet());
    }
    Map<String, Double> shares = potentialAction(load);
    boolean informative = shares.size() < load.size();
    if (load.size() < MIN_WORKERS || !informative) {
      return;
    }
    addToWindow(shares);
    updateCandidates();
  }

  private void restart(Set<String> newWorkers) {
    workers = new HashSet<>(newWorkers);
    window.clear();
    shareSums.clear();
    candidates = List.of();
    agreements = 0;
  }

  /** Returns equal shares for the least loaded workers; the others are left out. */
  private static Map<String, Double> potentialAction(Map<String, Double> load) {
    double leastLoad = load.values().stream().mapToDouble(Double::doubleValue).min().orElse(0);
    Map<String, Double> shares = new LinkedHashMap<>();
    load.forEach(
        (id, workerLoad) -> {
          if (workerLoad <= leastLoad) {
            shares.put(id, 0.0);
          }
        });
    double share = 1.0 / shares.size();
    shares.replaceAll((id, unset) -> share);
    return shares;
  }

  private void addToWindow(Map<String, Double> shares) {
    window.addLast(shares);
    shares.forEach((id, share) -> shareSums.merge(id, share, Double::sum));
    if (window.size() > windowSamples) {
      window.removeFirst().forEach((id, share) -> shareSums.merge(id, -share, Double::sum));
    }
  }

  private void updateCandidates() {
    List<String> found = window.size() < windowSamples ? List.of() : minorizedWorkers();
    if (found.isEmpty()) {
      agreements = 0;
    } else {
      agreements = found.equals(candidates) ? agreements + 1 : 1;
    }
    candidates = found;
  }

  /**
   * Applies the minorizing rule to sets of workers: returns the smallest set whose shares are all
   * below (1 - margin) times every other worker's share, sorted by id.
   */
  private List<String> minorizedWorkers() {
    List<String> byShare = new ArrayList<>(workers);
    byShare.sort(Comparator.comparingDouble(this::share));
    int maxSlow = Math.max(1, byShare.size() / WORKERS_PER_SLOW_WORKER);
    double maxRatio = 1 - margin();
    for (int slow = 1; slow <= maxSlow; slow++) {
      double largestSlowShare = share(byShare.get(slow - 1));
      double smallestOtherShare = share(byShare.get(slow));
      if (largestSlowShare < maxRatio * smallestOtherShare) {
        return byShare.subList(0, slow).stream().sorted().toList();
      }
    }
    return List.of();
  }

  /** Returns gamma, or more if so small a difference may be chance in this window. */
  private double margin() {
    double independentSamples = window.size() / samplesPerObservation;
    double samplesOfWorker = independentSamples / workers.size();
    return Math.min(MAX_MARGIN, Math.max(gamma, SAMPLING_NOISE / Math.sqrt(samplesOfWorker)));
  }

  /** Returns the slow workers according to the samples so far. */
  public SlowdownVerdict verdict() {
    List<String> slow = agreements >= requiredAgreements ? candidates : List.of();
    return new SlowdownVerdict(slow, window.size());
  }

  /** Returns the mean share of a worker over the window (h_k), from 0 to 1. */
  public double share(String id) {
    return window.isEmpty() ? 0 : Math.max(0, shareSums.getOrDefault(id, 0.0)) / window.size();
  }
}
