package org.otterpond.proxy;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** The bound on retries, over any sliding window and the sum of the nodes. */
class RetryBudgetTest {
  private static final double RATIO = 0.2;
  private static final double EARNED = RATIO * 0.45;
  private static final long WINDOW_MICROS = 10_000_000;
  private static final int WINDOW_MILLIS = (int) (WINDOW_MICROS / 1000);

  /** What happened on all nodes within one millisecond. */
  private record Millisecond(int requests, int retries) {}

  private static RetryBudget[] budgets(int nodes) {
    RetryBudget[] budgets = new RetryBudget[nodes];
    for (int i = 0; i < nodes; i++) {
      budgets[i] = new RetryBudget(WINDOW_MICROS);
    }
    return budgets;
  }

  @Test
  void givenAnyTraffic_whenAllNodesSpendWhatTheyCan_thenTheirSumKeepsTheBound() {
    for (int nodes : new int[] {3, 15, 400}) {
      List<Millisecond> history = history(nodes);
      assertBoundIsKept(nodes, history);
      int spent = history.stream().mapToInt(Millisecond::retries).sum();
      assertTrue(spent > 100, "the budgets were used, with " + nodes + " nodes");
    }
  }

  /** Bursts, quiet times and nodes that restart, with every chance to retry taken, or saved up. */
  private static List<Millisecond> history(int nodes) {
    long seed = 7L + nodes;
    System.out.println("retry budget seed=" + seed);
    Random random = new Random(seed);
    RetryBudget[] budgets = budgets(nodes);
    List<Millisecond> history = new ArrayList<>();
    for (int ms = 0; ms < 120_000; ms++) {
      long now = ms * 1000L;
      int requests = ms / 7_000 % 3 == 0 ? random.nextInt(6) : random.nextInt(200) == 0 ? 1 : 0;
      for (int i = 0; i < requests; i++) {
        budgets[random.nextInt(nodes)].earn(EARNED, now);
      }
      int retries = 0;
      for (RetryBudget budget : budgets) {
        while (ms % 5_000 < 2_000 && budget.spend(now)) {
          retries++;
        }
      }
      if (random.nextInt(3_000) == 0) {
        budgets[random.nextInt(nodes)] = new RetryBudget(WINDOW_MICROS);
      }
      history.add(new Millisecond(requests, retries));
    }
    return history;
  }

  private static void assertBoundIsKept(int nodes, List<Millisecond> history) {
    int requests = 0;
    int requestsBefore = 0;
    int retries = 0;
    for (int i = 0; i < history.size(); i++) {
      requests += history.get(i).requests();
      retries += history.get(i).retries();
      if (i >= WINDOW_MILLIS) {
        Millisecond left = history.get(i - WINDOW_MILLIS);
        requests -= left.requests();
        requestsBefore += left.requests();
        retries -= left.retries();
      }
      if (i >= 2 * WINDOW_MILLIS) {
        requestsBefore -= history.get(i - 2 * WINDOW_MILLIS).requests();
      }
      assertTrue(
          retries <= RATIO * Math.max(requests, requestsBefore),
          nodes
              + " nodes at "
              + i
              + ": "
              + retries
              + " retries, "
              + requests
              + " requests, "
              + requestsBefore
              + " before");
    }
  }

  @Test
  void givenFewRequests_whenEarningsAddUp_thenOneNodeCanRetryHoweverManyOthersThereAre() {
    RetryBudget budget = new RetryBudget(WINDOW_MICROS);
    for (int i = 0; i < 12; i++) {
      assertFalse(budget.spend(i * 500_000L));
      budget.earn(EARNED, i * 500_000L);
    }
    assertTrue(budget.spend(6_000_000));
    assertFalse(budget.spend(6_000_000));
  }

  @Test
  void givenEarnings_whenTheWindowHasPassed_thenTheyHaveExpired() {
    RetryBudget budget = new RetryBudget(WINDOW_MICROS);
    assertFalse(budget.spend(0));
    budget.earn(1.5, 1_000_000);
    assertFalse(budget.spend(1_000_000 + WINDOW_MICROS));
    budget.earn(0.6, 20_000_000);
    assertFalse(budget.spend(20_000_000));
    budget.earn(0.6, 25_000_000);
    assertTrue(budget.spend(26_000_000));
  }
}
