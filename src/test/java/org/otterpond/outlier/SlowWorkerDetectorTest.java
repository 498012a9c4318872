package org.otterpond.outlier;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * The detector in the paper's setting: K = 10 servers, join the shortest queue, load 0.95,
 * exponential work.
 */
class SlowWorkerDetectorTest {
  private static final int K = 10;
  private static final double LOAD = 0.95;
  private static final double INTERVAL = 2.0;
  private static final int WINDOW = 4000;
  private static final int RUNS = 20;

  /**
   * Simulates a run long enough to fill the window and smooth the flag; returns the verdict at its
   * end.
   */
  private static String verdictOf(long seed, double alpha, boolean random) {
    Random r = new Random(seed);
    double lambda = LOAD * (K - 1 + alpha);
    int[] queue = new int[K];
    double[] leaves = new double[K];
    java.util.Arrays.fill(leaves, Double.MAX_VALUE);
    SlowWorkerDetector detector = new SlowWorkerDetector(WINDOW, 0.7, 20);
    double now = 0;
    double arrival = exp(r, lambda);
    double sample = 200;
    int taken = 0;
    while (taken < 2 * WINDOW) {
      int next = 0;
      for (int i = 1; i < K; i++) {
        next = leaves[i] < leaves[next] ? i : next;
      }
      double at = Math.min(Math.min(arrival, sample), leaves[next]);
      now = at;
      if (at == sample) {
        Map<String, Double> q = new HashMap<>();
        for (int i = 0; i < K; i++) {
          q.put("w" + i, (double) queue[i]);
        }
        detector.sample(q);
        taken++;
        sample += INTERVAL;
      } else if (at == arrival) {
        int to = random ? r.nextInt(K) : shortest(queue, r);
        if (queue[to]++ == 0) {
          leaves[to] = now + exp(r, to == 0 ? alpha : 1);
        }
        arrival = now + exp(r, lambda);
      } else {
        leaves[next] = --queue[next] == 0 ? Double.MAX_VALUE : now + exp(r, next == 0 ? alpha : 1);
      }
    }
    return String.join(",", detector.verdict().slow());
  }

  private static double exp(Random r, double rate) {
    return -Math.log(1 - r.nextDouble()) / rate;
  }

  private static int shortest(int[] queue, Random r) {
    int best = 0;
    int ties = 1;
    for (int i = 1; i < K; i++) {
      if (queue[i] < queue[best]) {
        best = i;
        ties = 1;
      } else if (queue[i] == queue[best] && r.nextInt(++ties) == 0) {
        best = i;
      }
    }
    return best;
  }

  private static int flagged(double alpha, String who, long firstSeed) {
    System.out.println(
        "detector seeds=" + firstSeed + ".." + (firstSeed + RUNS - 1) + " alpha=" + alpha);
    int n = 0;
    for (long s = firstSeed; s < firstSeed + RUNS; s++) {
      String v = verdictOf(s, alpha, false);
      n += who == null ? (v.isEmpty() ? 0 : 1) : (who.equals(v) ? 1 : 0);
    }
    return n;
  }

  @Test
  void slowedWorkerIsFoundBehindABalancerThatEvensTheQueues() {
    assertTrue(flagged(0.4, "w0", 100) >= RUNS - 1);
    assertTrue(flagged(0.5, "w0", 200) >= RUNS - 1);
    assertTrue(flagged(0.7, "w0", 300) >= RUNS * 7 / 10);
  }

  @Test
  void equalWorkersAreHardlyEverFlagged() {
    assertTrue(flagged(1.0, null, 400) <= 1);
  }

  @Test
  void marginIsThePapersDefault() {
    assertEquals((1 - 1.1 * 0.7) / 2, SlowWorkerDetector.gammaFor(0.7), 1e-12);
    assertThrows(IllegalArgumentException.class, () -> new SlowWorkerDetector(10, 0.95, 1));
  }

  @Test
  void fewerThanThreeWorkersOrARestingBalancerAreInconclusive() {
    SlowWorkerDetector two = new SlowWorkerDetector(10, 0.7, 1);
    SlowWorkerDetector rest = new SlowWorkerDetector(10, 0.7, 1);
    for (int i = 0; i < 100; i++) {
      two.sample(Map.of("a", 5.0, "b", 0.0));
      rest.sample(Map.of("a", 0.0, "b", 0.0, "c", 0.0));
    }
    assertEquals(List.of(), two.verdict().slow());
    assertEquals(0, rest.verdict().samples(), "nothing was to be learnt from these");
  }

  @Test
  void aChangeAmongTheWorkersBeginsTheWindowAnew() {
    SlowWorkerDetector l = new SlowWorkerDetector(10, 0.7, 1);
    for (int i = 0; i < 20; i++) {
      l.sample(Map.of("a", 2.0, "b", 0.0, "c", 0.0));
    }
    assertEquals(List.of("a"), l.verdict().slow());
    l.sample(Map.of("a", 2.0, "b", 0.0, "c", 0.0, "d", 0.0));
    assertEquals(List.of(), l.verdict().slow());
    assertEquals(1, l.verdict().samples());
  }

  /**
   * A full window in which each worker is busy for its share of the moments, and each moment is
   * sampled several times.
   *
   * @param told how many samples the detector is told say about the same
   */
  private static SlowWorkerDetector seen(
      double[] busy, int window, int each, double told, long seed) {
    Random r = new Random(seed);
    SlowWorkerDetector l = new SlowWorkerDetector(window, 0.7, 1);
    while (l.verdict().samples() < window) {
      Map<String, Double> q = new HashMap<>();
      for (int i = 0; i < busy.length; i++) {
        q.put("w" + i, r.nextDouble() < busy[i] ? 1.0 : 0.0);
      }
      for (int n = 0; n < each; n++) {
        l.sample(q, told);
      }
    }
    return l;
  }

  @Test
  void severalSlowWorkersAreFoundTogether() {
    double[] busy = {0.6, 0.2, 0.2, 0.6, 0.2, 0.2, 0.2, 0.2, 0.2, 0.2};
    assertEquals(List.of("w0", "w3"), seen(busy, 4000, 1, 1, 500).verdict().slow());
  }

  /**
   * The window of a node with few requests: a few independent moments, each sampled over and over.
   */
  @Test
  void chanceIsNotTakenForSlownessWhereFewRequestsAreSeen() {
    double[] busy = new double[10];
    java.util.Arrays.fill(busy, 0.25);
    int careful = 0;
    int careless = 0;
    for (long seed = 600; seed < 640; seed++) {
      careful += seen(busy, 400, 20, 20, seed).verdict().slow().isEmpty() ? 0 : 1;
      careless += seen(busy, 400, 20, 1, seed).verdict().slow().isEmpty() ? 0 : 1;
    }
    System.out.println(
        "false alarms of 40: " + careful + ", taking each sample for independent: " + careless);
    assertTrue(careful <= 4 && careless >= 8, careful + " and " + careless);
  }
}
