package org.otterpond.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What one simulated run shares: the clock with its events, the network, the source of random
 * numbers and the log of all nodes. The seed alone decides the run.
 */
final class SimulatedWorld {
  private static final Logger LOG = LoggerFactory.getLogger(SimulatedWorld.class);
  private static final long MICROS_PER_MILLI = 1000;

  /** The one source of random numbers of the nodes, the network and the disks. */
  final Random random;

  final SimulatedNetwork network;

  /** The log lines of all nodes, each with its time in milliseconds and the name of its node. */
  final List<String> eventLog = new ArrayList<>();

  private final EventScheduler scheduler = new EventScheduler();

  SimulatedWorld(long seed) {
    random = new Random(seed);
    network = new SimulatedNetwork(scheduler, random);
    LOG.info("event=simulation_started seed={}", seed);
  }

  /** The simulated time in microseconds. */
  long now() {
    return scheduler.now();
  }

  /** Runs the task after so many microseconds of simulated time. */
  void schedule(long delayMicros, Runnable task) {
    scheduler.schedule(delayMicros, task);
  }

  /** Runs everything that happens within the next so many microseconds. */
  void run(long durationMicros) {
    scheduler.run(durationMicros);
  }

  /** Adds a line of a node, or of the simulator itself, to the log. */
  void logEvent(String source, String line) {
    eventLog.add(now() / MICROS_PER_MILLI + " " + source + " " + line);
  }
}
