package org.otterpond.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.otterpond.control.state.WorkerInstance;
import org.otterpond.control.state.WorkerState;

/** How requests are spread over zones, and which workers of a zone are nearby. */
class ZoneAwareLoadBalancerTest {
  private static final int DRAWS = 10_000;

  private final List<WorkerEndpoint> endpoints = new ArrayList<>();
  private final ZoneAwareLoadBalancer balancer =
      new ZoneAwareLoadBalancer(new Random(1), endpoints);

  private void addWorkers(String zone, int count, int slots) {
    for (int i = 0; i < count; i++) {
      String id = String.format("%s-%02d", zone, i);
      WorkerInstance worker =
          new WorkerInstance(id, "s", "h:1", zone, "-", slots, WorkerState.IN_SERVICE, 1, 0);
      endpoints.add(new WorkerEndpoint(worker, null, new LatencyAverage()));
    }
  }

  private void nodes(Map<String, Integer> byZone, int rank) {
    balancer.setZoneShares(new ZoneShares("a", byZone, rank));
    balancer.refresh();
  }

  private double drawnFrom(String zone) {
    int drawn = 0;
    for (int i = 0; i < DRAWS; i++) {
      drawn += balancer.drawNearby().get(0).zone().equals(zone) ? 1 : 0;
    }
    return (double) drawn / DRAWS;
  }

  @Test
  void givenSlotsInProportionToNodes_whenDrawn_thenAllRequestsStayInTheZone() {
    addWorkers("a", 2, 4);
    addWorkers("b", 2, 4);
    nodes(Map.of("a", 3, "b", 3), 0);
    assertEquals(1, drawnFrom("a"));
  }

  @Test
  void givenFewerSlotsThanNodes_whenDrawn_thenTheRestGoesToZonesWithSpareSlots() {
    addWorkers("a", 1, 4);
    addWorkers("b", 3, 4);
    nodes(Map.of("a", 1, "b", 1), 0);
    assertEquals(0.5, drawnFrom("a"), 0.03);
    assertEquals(0.5, drawnFrom("b"), 0.03);
  }

  @Test
  void givenNoWorkers_whenRefreshed_thenZonesAreNotWeighted() {
    nodes(Map.of("a", 1), 0);
    assertFalse(balancer.weighted());
  }

  @Test
  void givenTwoNodesAndTwentyWorkers_whenRefreshed_thenEachNodeHasOtherNearbyWorkers() {
    addWorkers("a", 20, 1);
    nodes(Map.of("a", 2), 0);
    Set<WorkerEndpoint> ofFirst = Set.copyOf(balancer.nearbyInOwnZone());
    nodes(Map.of("a", 2), 1);
    Set<WorkerEndpoint> ofSecond = Set.copyOf(balancer.nearbyInOwnZone());

    assertEquals(10, ofFirst.size());
    assertEquals(10, ofSecond.size());
    assertTrue(ofFirst.stream().noneMatch(ofSecond::contains));
  }

  @Test
  void givenManyNodes_whenTheirShareIsBelowOneSlot_thenItIsOne() {
    addWorkers("a", 4, 2);
    nodes(Map.of("a", 50), 0);
    assertEquals(1, balancer.fairShareOfSlots());
    nodes(Map.of("a", 1), 0);
    assertEquals(2, balancer.fairShareOfSlots());
  }
}
