package org.otterpond.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** How many requests a whole fleet of nodes sends to one worker in slow start. */
class SlowStartFleetTest {
  private static final int NODES = 89;
  private static final long SECOND_MICROS = 1_000_000;

  @TempDir private Path folder;
  private SlowStartFleet fleet;

  @BeforeEach
  void createFleet() throws Exception {
    fleet = new SlowStartFleet(folder, NODES);
  }

  private void assertBoundIsKept() {
    int most = fleet.mostArrivalsInOneSecond("cold");
    assertTrue(
        most <= SlowStartFleet.ARRIVALS_BOUND,
        most + " requests in one second, allowed are " + SlowStartFleet.ARRIVALS_BOUND);
    assertEquals(0, fleet.metrics.violations.sum());
  }

  // Guards against the flood of a worker in slow start when the warm workers are full (FAILBACK).
  @Test
  void givenWarmWorkersThatAreFull_whenRequestsGoOn_thenColdWorkerGetsNoMoreThanItsBound() {
    fleet.addWarmWorkers(4);
    fleet.addColdWorker("cold", 3 * SECOND_MICROS);
    fleet.run(3 * SECOND_MICROS, 300);
    assertBoundIsKept();
  }

  // Guards against the flood of the one worker of a service that is left (FAILBACK).
  @Test
  void givenNoOtherWorker_whenEveryNodeHasRequests_thenColdWorkerGetsNoMoreThanItsBound() {
    fleet.addColdWorker("cold", 3 * SECOND_MICROS);
    fleet.run(3 * SECOND_MICROS, 300);
    assertBoundIsKept();
  }

  // Guards against the flood of a worker that becomes cold in service (FAILBACK).
  @Test
  void givenWorkerInService_whenItBecomesCold_thenItGetsNoMoreThanItsBound() {
    fleet.addWarmWorkers(4);
    fleet.addColdWorker("cold", 0);
    fleet.run(SECOND_MICROS, 100);
    fleet.becomesCold("cold", 3 * SECOND_MICROS);
    fleet.run(3 * SECOND_MICROS, 300);
    assertBoundIsKept();
  }

  // Guards against nodes that keep to the choice of an earlier primary beside those of the newest.
  @Test
  void givenTwoChoicesOfNodes_whenSomeNodesKnowEach_thenColdWorkerGetsNoMoreThanItsBound() {
    fleet.addColdWorker("cold", 3 * SECOND_MICROS);
    fleet.run(SECOND_MICROS, 300);
    fleet.chooseAgain("cold", NODES / 2);
    fleet.run(2 * SECOND_MICROS, 300);
    assertBoundIsKept();
  }

  // Guards against a node that goes on with a place that another node has by now.
  @Test
  void givenNoNewsOfTheirLeases_whenRequestsGoOn_thenNodesStopSendingToColdWorker() {
    fleet.addColdWorker("cold", 20 * SECOND_MICROS);
    fleet.run(SECOND_MICROS, 300);
    fleet.loseCore();
    fleet.run(5 * SECOND_MICROS / 2, 300);
    int before = fleet.arrivals("cold");
    assertTrue(before > 0, "nothing reached the worker before");

    fleet.run(5 * SECOND_MICROS, 300);

    assertEquals(before, fleet.arrivals("cold"));
  }

  // Guards against a step in the rate that floods a worker at the end of its slow start.
  @Test
  void givenColdWorker_whenItIsWarm_thenItTakesItsFullLoad() {
    fleet.addWarmWorkers(4);
    fleet.addColdWorker("cold", 3 * SECOND_MICROS);
    fleet.run(3 * SECOND_MICROS, 60);
    int before = fleet.arrivals("cold");

    fleet.run(4 * SECOND_MICROS, 60);

    int arrivals = fleet.arrivals("cold") - before;
    assertTrue(arrivals > 30 && arrivals < 70, arrivals + " of 240 requests at one of 5 workers");
  }

  // Guards against workers that nobody uses for the whole of their slow start.
  @Test
  void givenOnlyColdWorkers_whenEveryNodeHasRequests_thenTheyAreUsed() {
    for (int i = 0; i < 10; i++) {
      fleet.addColdWorker("cold-" + i, 3 * SECOND_MICROS);
    }
    fleet.run(3 * SECOND_MICROS, 300);
    int arrivals = 0;
    for (int i = 0; i < 10; i++) {
      arrivals += fleet.arrivals("cold-" + i);
    }
    int borne = (int) (10 * 3 * SlowStartFleet.COLD_REQUESTS_PER_SECOND);
    assertTrue(arrivals > borne / 2, arrivals + " requests of " + borne + " that they bear");
  }

  // Guards against a queue that is served all at once when a worker comes back cold (FAILBACK).
  @Test
  void givenRequestsWaitOnEveryNode_whenWorkerComesBackCold_thenItGetsNoMoreThanItsBound() {
    fleet.run(SECOND_MICROS / 2, 300);
    fleet.addColdWorker("cold", 3 * SECOND_MICROS);
    for (int node = 0; node < NODES; node++) {
      for (int i = 0; i < 5; i++) {
        fleet.request(node, Set.of());
      }
    }
    fleet.run(SECOND_MICROS, 300);
    assertBoundIsKept();
  }
}
