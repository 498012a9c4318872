package org.otterpond.simulation;

import java.util.Random;

/** Clients who bring operation keys, old ones among them, to any node. */
final class KeyLockClients {
  private static final int REMEMBERED = 40;

  private final SimulatedCluster fleet;
  private final OperatorClient nodes;
  private final Random random;
  private boolean going = true;
  private int keys;
  private int tokens;

  KeyLockClients(SimulatedCluster fleet, OperatorClient nodes, Random random) {
    this.fleet = fleet;
    this.nodes = nodes;
    this.random = random;
  }

  void start() {
    fleet.world.at(0, this::next);
  }

  void stop() {
    going = false;
  }

  private void next() {
    if (!going) {
      return;
    }
    fleet.world.at(10_000 + random.nextInt(40_000), this::next);
    SimulatedNode n = nodes.anyNode();
    if (n != null) {
      int span = Math.min(keys, REMEMBERED);
      boolean repeat = span > 0 && random.nextInt(3) == 0;
      String key = "k" + (repeat ? keys - random.nextInt(span) : ++keys);
      String token = "t" + ++tokens;
      n.call(nodes.connection(), () -> fleet.claim(n, key, token));
    }
  }
}
