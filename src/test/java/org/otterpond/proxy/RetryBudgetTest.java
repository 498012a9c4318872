package org.otterpond.proxy;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** The bound on second attempts, over any sliding window and the sum of the members. */
class RetryBudgetTest {
  private static final double RATIO = 0.2;
  private static final long WINDOW = 10_000_000;

  private static RetryBudget[] purses(int nodes) {
    RetryBudget[] out = new RetryBudget[nodes];
    for (int i = 0; i < nodes; i++) {
      out[i] = new RetryBudget(WINDOW);
    }
    return out;
  }

  @Test
  void sumOfAllNodesKeepsTheBoundWhateverTheTrafficDoes() {
    for (int nodes : new int[] {3, 15, 400}) {
      long seed = 7 + nodes;
      System.out.println("purse seed=" + seed);
      Random r = new Random(seed);
      RetryBudget[] purses = purses(nodes);
      List<int[]> history = new ArrayList<>();
      int spent = 0;
      for (int ms = 0; ms < 120_000; ms++) {
        // Floods, droughts and nodes that begin again, with every chance to retry taken, or saved
        // up.
        int arrivals = ms / 7_000 % 3 == 0 ? r.nextInt(6) : r.nextInt(200) == 0 ? 1 : 0;
        int tried = 0;
        for (int a = 0; a < arrivals; a++) {
          purses[r.nextInt(nodes)].earn(RATIO * 0.45, ms * 1000L);
        }
        for (RetryBudget p : purses) {
          while (ms % 5_000 < 2_000 && p.spend(ms * 1000L)) {
            tried++;
          }
        }
        if (r.nextInt(3_000) == 0) {
          purses[r.nextInt(nodes)] = new RetryBudget(WINDOW);
        }
        history.add(new int[] {arrivals, tried});
        spent += tried;
      }
      int span = (int) (WINDOW / 1000);
      int now = 0;
      int before = 0;
      int tries = 0;
      for (int i = 0; i < history.size(); i++) {
        now += history.get(i)[0];
        tries += history.get(i)[1];
        if (i >= span) {
          now -= history.get(i - span)[0];
          before += history.get(i - span)[0];
          tries -= history.get(i - span)[1];
        }
        if (i >= 2 * span) {
          before -= history.get(i - 2 * span)[0];
        }
        assertTrue(
            tries <= RATIO * Math.max(now, before),
            nodes
                + " nodes at "
                + i
                + ": "
                + tries
                + " tries, "
                + now
                + " requests, "
                + before
                + " before");
      }
      assertTrue(spent > 100, "the purses were used, with " + nodes + " nodes");
    }
  }

  @Test
  void nodeWithFewRequestsSavesUpForATryHoweverManyOthersThereAre() {
    RetryBudget p = new RetryBudget(WINDOW);
    for (int i = 0; i < 12; i++) {
      assertFalse(p.spend(i * 500_000L));
      p.earn(RATIO * 0.45, i * 500_000L);
    }
    assertTrue(p.spend(6_000_000));
    assertFalse(p.spend(6_000_000));
  }

  @Test
  void whatWasEarnedExpiresWithTheWindow() {
    RetryBudget p = new RetryBudget(WINDOW);
    assertFalse(p.spend(0));
    p.earn(1.5, 1_000_000);
    assertFalse(p.spend(1_000_000 + WINDOW));
    p.earn(0.6, 20_000_000);
    assertFalse(p.spend(20_000_000));
    p.earn(0.6, 25_000_000);
    assertTrue(p.spend(26_000_000));
  }
}
