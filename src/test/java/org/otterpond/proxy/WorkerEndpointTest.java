package org.otterpond.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * When a worker that answers nothing is tried last: that follows from how long its service usually
 * takes.
 */
class WorkerEndpointTest {
  private static final long MS = 1_000;

  private static LatencyAverage paceOf(long micros) {
    LatencyAverage p = new LatencyAverage();
    for (int i = 0; i < 100; i++) {
      p.answered(micros);
    }
    return p;
  }

  @Test
  void oneLongRequestOfASlowServiceIsNoSuspicion() {
    WorkerEndpoint h = new WorkerEndpoint(null, null, paceOf(600 * MS));
    h.took(0);
    assertFalse(h.suspect(2_000 * MS));
    assertTrue(h.suspect(2_500 * MS));
    WorkerEndpoint quick = new WorkerEndpoint(null, null, paceOf(20 * MS));
    quick.took(0);
    assertFalse(quick.suspect(300 * MS));
    assertTrue(quick.suspect(400 * MS));
  }

  @Test
  void severalUnansweredRequestsSayMoreThanOne() {
    WorkerEndpoint h = new WorkerEndpoint(null, null, paceOf(600 * MS));
    for (int i = 0; i < 5; i++) {
      h.took(0);
    }
    assertFalse(h.suspect(400 * MS));
    assertTrue(h.suspect(500 * MS));
    h.released(500 * MS);
    h.worked(500 * MS);
    assertFalse(h.suspect(900 * MS), "it has just answered");
  }

  @Test
  void aFewSlowAnswersDoNotPassForTheUsual() {
    LatencyAverage p = paceOf(100 * MS);
    for (int i = 0; i < 64; i++) {
      p.answered(i % 5 == 0 ? 2_000 * MS : 100 * MS);
    }
    assertEquals(125 * MS, p.usual(), 40 * MS);
  }
}
