package org.otterpond.proxy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
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
  }

  // Guards against the flood of a worker in slow start when the warm workers are full (FAILBACK).
  @Test
  void givenWarmWorkersThatAreFull_whenRequestsGoOn_thenColdWorkerGetsNoMoreThanItsBound() {
    fleet.addWarmWorkers(4);
    fleet.addColdWorker("cold", 3 * SECOND_MICROS);
    fleet.run(3 * SECOND_MICROS, 300);
    assertBoundIsKept();
  }
}
