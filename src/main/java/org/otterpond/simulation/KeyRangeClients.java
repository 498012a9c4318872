package org.otterpond.simulation;

import java.util.ArrayList;
import java.util.List;
import org.otterpond.keyrange.KeyRange;
import org.otterpond.keyrange.KeyRangeState;

/**
 * Clients that send requests for keys of a partitioned service to any node, and check that no two
 * workers execute requests for one key while both hold it.
 */
final class KeyRangeClients {
  /** The value of {@link #hotKey} if no key is requested more often than others. */
  static final int NO_HOT_KEY = -1;

  private static final int HOT_KEYS = 4;
  private static final int MIN_PAUSE_MICROS = 1_000;
  private static final int PAUSE_SPREAD_MICROS = 2_000;
  private static final long MIN_LATENCY_MICROS = 200;
  private static final int LATENCY_SPREAD_MICROS = 20_000;

  private final SimulatedCluster cluster;
  private final SimulatedWorkers workers;
  private final SimulatedWorld world;

  /** The first of four neighbouring keys that get half of all requests. */
  int hotKey = NO_HOT_KEY;

  /** How many requests reached a worker that held their key. */
  int served;

  /** How many requests found no worker, or one that did not hold their key. */
  int misrouted;

  /** What contradicts the rule of one owner for each key. */
  final List<String> violations = new ArrayList<>();

  KeyRangeClients(SimulatedCluster cluster, SimulatedWorkers workers) {
    this.cluster = cluster;
    this.workers = workers;
    this.world = cluster.world;
  }

  void start() {
    sendNext();
  }

  private void sendNext() {
    world.schedule(MIN_PAUSE_MICROS + world.random.nextInt(PAUSE_SPREAD_MICROS), this::sendNext);
    SimulatedNode node = cluster.randomRunningNode();
    if (node == null || node.isFrozen()) {
      return;
    }
    int key = randomKey();
    node.perform(() -> forward(node, key));
  }

  private int randomKey() {
    return hotKey != NO_HOT_KEY && world.random.nextInt(2) == 0
        ? hotKey + world.random.nextInt(HOT_KEYS) * SimulatedWorkers.KEY_STEP
        : world.random.nextInt(SimulatedWorkers.KEYS) * SimulatedWorkers.KEY_STEP;
  }

  /** Forwards by the node's own table, which may be older than the leases of the workers. */
  private void forward(SimulatedNode node, int key) {
    workers.countRequest(node.address, key);
    KeyRange range = node.keyRanges.at(SimulatedWorkers.SERVICE, key);
    if (range == null || range.state() != KeyRangeState.HELD) {
      misrouted++;
      return;
    }
    world.schedule(
        MIN_LATENCY_MICROS + world.random.nextInt(LATENCY_SPREAD_MICROS),
        () -> execute(range.owner(), key));
  }

  private void execute(String owner, int key) {
    SimulatedWorker worker =
        workers.all().stream().filter(any -> any.id.equals(owner)).findFirst().orElse(null);
    if (worker == null || !worker.holds(key)) {
      misrouted++;
      return;
    }
    served++;
    worker.beginRequest(key);
    workers.all().stream()
        .filter(other -> other != worker && other.holds(key))
        .filter(other -> other.lastRequest(key) >= heldByBothSince(worker, other, key))
        .forEach(
            other ->
                violations.add(
                    world.now() / 1000
                        + " OWNER key "
                        + key
                        + ": "
                        + worker.id
                        + " and "
                        + other.id));
  }

  private static long heldByBothSince(SimulatedWorker worker, SimulatedWorker other, int key) {
    return Math.max(worker.heldSince(key), other.heldSince(key));
  }
}
