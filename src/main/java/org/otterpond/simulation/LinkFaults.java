package org.otterpond.simulation;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.otterpond.simulation.SimulatedNetwork.Route;

/**
 * The network faults in force, which may overlap: a direction is healed only when the last fault
 * that impairs it has ended.
 */
final class LinkFaults {
  private final SimulatedNetwork network;
  private final Map<Route, Integer> partitions = new HashMap<>();
  private final Map<Route, Integer> interruptions = new HashMap<>();

  LinkFaults(SimulatedNetwork network) {
    this.network = network;
  }

  /** Drops what is sent on the routes. */
  void partition(List<Route> routes) {
    for (Route route : routes) {
      if (partitions.merge(route, 1, Integer::sum) == 1) {
        network.partitionOneWay(route.from(), route.to());
      }
    }
  }

  /** Ends one partition of the routes. */
  void heal(List<Route> routes) {
    for (Route route : routes) {
      if (partitions.merge(route, -1, Integer::sum) == 0) {
        network.healOneWay(route.from(), route.to());
      }
    }
  }

  /** Buffers what is sent on the routes. */
  void interrupt(List<Route> routes) {
    for (Route route : routes) {
      if (interruptions.merge(route, 1, Integer::sum) == 1) {
        network.startBuffering(route.from(), route.to());
      }
    }
  }

  /** Ends one interruption of the routes. */
  void resume(List<Route> routes, Random random) {
    for (Route route : routes) {
      if (interruptions.merge(route, -1, Integer::sum) == 0) {
        network.stopBuffering(route.from(), route.to(), random);
      }
    }
  }
}
