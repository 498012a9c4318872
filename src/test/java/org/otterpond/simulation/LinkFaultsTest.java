package org.otterpond.simulation;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.otterpond.simulation.SimulatedNetwork.Route;

class LinkFaultsTest {
  @Test
  void directionIsHealedWhenItsLastPartitionEnds() {
    SimulatedNetwork network = new SimulatedNetwork(new EventScheduler(), new Random(1));
    LinkFaults faults = new LinkFaults(network);
    List<Route> first = List.of(new Route("a", "b"), new Route("b", "a"));
    List<Route> second = List.of(new Route("a", "b"));
    faults.partition(first);
    faults.partition(second);

    faults.heal(first);
    assertTrue(network.isPartitioned("a", "b"));
    assertFalse(network.isPartitioned("b", "a"));

    faults.heal(second);
    assertFalse(network.isPartitioned("a", "b"));
  }
}
