package org.otterpond.outlier;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
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
   * Simulates a run long enough to fill the window and to confirm the result; returns the ids of
   * the slow workers at its end.
   */
  private static String slowWorkersOf(long seed, double alpha, boolean randomRouting) {
    Random random = new Random(seed);
    double lambda = LOAD * (K - 1 + alpha);
    int[] queue = new int[K];
    double[] departures = new double[K];
    Arrays.fill(departures, Double.MAX_VALUE);
    SlowWorkerDetector detector = new SlowWorkerDetector(WINDOW, 0.7, 20);
    double now = 0;
    double arrival = exponential(random, lambda);
    double nextSample = 200;
    int samples = 0;
    while (samples < 2 * WINDOW) {
      int next = 0;
      for (int i = 1; i < K; i++) {
        next = departures[i] < departures[next] ? i : next;
      }
      double at = Math.min(Math.min(arrival, nextSample), departures[next]);
      now = at;
      if (at == nextSample) {
        Map<String, Double> load = new HashMap<>();
        for (int i = 0; i < K; i++) {
          load.put("w" + i, (double) queue[i]);
        }
        detector.sample(load);
        samples++;
        nextSample += INTERVAL;
      } else if (at == arrival) {
        int to = randomRouting ? random.nextInt(K) : shortest(queue, random);
        if (queue[to]++ == 0) {
          departures[to] = now + exponential(random, to == 0 ? alpha : 1);
        }
        arrival = now + exponential(random, lambda);
      } else {
        departures[next] =
            --queue[next] == 0
                ? Double.MAX_VALUE
                : now + exponential(random, next == 0 ? alpha : 1);
      }
    }
    return String.join(",", detector.verdict().slow());
  }

  private static double exponential(Random random, double rate) {
    return -Math.log(1 - random.nextDouble()) / rate;
  }

  private static int shortest(int[] queue, Random random) {
    int best = 0;
    int ties = 1;
    for (int i = 1; i < K; i++) {
      if (queue[i] < queue[best]) {
        best = i;
        ties = 1;
      } else if (queue[i] == queue[best] && random.nextInt(++ties) == 0) {
        best = i;
      }
    }
    return best;
  }

  private static int flagged(double alpha, String expected, long firstSeed) {
    System.out.println(
        "detector seeds=" + firstSeed + ".." + (firstSeed + RUNS - 1) + " alpha=" + alpha);
    int flagged = 0;
    for (long seed = firstSeed; seed < firstSeed + RUNS; seed++) {
      String found = slowWorkersOf(seed, alpha, false);
      flagged += expected == null ? (found.isEmpty() ? 0 : 1) : (expected.equals(found) ? 1 : 0);
    }
    return flagged;
  }

  @Test
  void givenSlowedWorkerBehindJoinShortestQueue_whenSampled_thenItIsFound() {
    assertTrue(flagged(0.4, "w0", 100) >= RUNS - 1);
    assertTrue(flagged(0.5, "w0", 200) >= RUNS - 1);
    assertTrue(flagged(0.7, "w0", 300) >= RUNS * 7 / 10);
  }

  @Test
  void givenEqualWorkers_whenSampled_thenFalseAlarmsAreRare() {
    assertTrue(flagged(1.0, null, 400) <= 1);
  }

  @Test
  void givenSmallestSlowdown_whenCreated_thenTheMarginIsThePapersDefault() {
    assertEquals((1 - 1.1 * 0.7) / 2, SlowWorkerDetector.gammaFor(0.7), 1e-12);
    assertThrows(IllegalArgumentException.class, () -> new SlowWorkerDetector(10, 0.95, 1));
  }

  @Test
  void givenTwoWorkersOrAnIdleBalancer_whenSampled_thenTheyAreInconclusive() {
    SlowWorkerDetector twoWorkers = new SlowWorkerDetector(10, 0.7, 1);
    SlowWorkerDetector idle = new SlowWorkerDetector(10, 0.7, 1);
    for (int i = 0; i < 100; i++) {
      twoWorkers.sample(Map.of("a", 5.0, "b", 0.0));
      idle.sample(Map.of("a", 0.0, "b", 0.0, "c", 0.0));
    }
    assertEquals(List.of(), twoWorkers.verdict().slow());
    assertEquals(0, idle.verdict().samples(), "equal loads are left out");
  }

  @Test
  void givenFullWindow_whenWorkerJoins_thenTheWindowRestarts() {
    SlowWorkerDetector detector = new SlowWorkerDetector(10, 0.7, 1);
    for (int i = 0; i < 20; i++) {
      detector.sample(Map.of("a", 2.0, "b", 0.0, "c", 0.0));
    }
    assertEquals(List.of("a"), detector.verdict().slow());
    detector.sample(Map.of("a", 2.0, "b", 0.0, "c", 0.0, "d", 0.0));
    assertEquals(List.of(), detector.verdict().slow());
    assertEquals(1, detector.verdict().samples());
  }

  /**
   * A full window in which each worker is busy for its share of the moments, and each moment is
   * sampled several times.
   *
   * @param stated samples per observation as stated to the detector
   */
  private static SlowWorkerDetector filled(
      double[] busy, int window, int each, double stated, long seed) {
    Random random = new Random(seed);
    SlowWorkerDetector detector = new SlowWorkerDetector(window, 0.7, 1);
    while (detector.verdict().samples() < window) {
      Map<String, Double> load = new HashMap<>();
      for (int i = 0; i < busy.length; i++) {
        load.put("w" + i, random.nextDouble() < busy[i] ? 1.0 : 0.0);
      }
      for (int n = 0; n < each; n++) {
        detector.sample(load, stated);
      }
    }
    return detector;
  }

  @Test
  void givenSeveralSlowWorkers_whenSampled_thenAllAreFound() {
    double[] busy = {0.6, 0.2, 0.2, 0.6, 0.2, 0.2, 0.2, 0.2, 0.2, 0.2};
    assertEquals(List.of("w0", "w3"), filled(busy, 4000, 1, 1, 500).verdict().slow());
  }

  /**
   * The window of a node with few requests: a few independent moments, each sampled over and over.
   */
  @Test
  void givenFewRequests_whenSamplesRepeat_thenTheMarginPreventsFalseAlarms() {
    double[] busy = new double[10];
    Arrays.fill(busy, 0.25);
    int falseAlarms = 0;
    int uncorrected = 0;
    for (long seed = 600; seed < 640; seed++) {
      falseAlarms += filled(busy, 400, 20, 20, seed).verdict().slow().isEmpty() ? 0 : 1;
      uncorrected += filled(busy, 400, 20, 1, seed).verdict().slow().isEmpty() ? 0 : 1;
    }
    System.out.println(
        "false alarms of 40: "
            + falseAlarms
            + ", each sample taken as independent: "
            + uncorrected);
    assertTrue(falseAlarms <= 4 && uncorrected >= 8, falseAlarms + " and " + uncorrected);
  }
}
