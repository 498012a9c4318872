package org.otterpond.sim;

import java.util.Random;

/** Clients who bring operation keys, old ones among them, to any node. */
final class ClaimCalls {
  private static final int REMEMBERED = 40;

  private final SimFleet fleet;
  private final OperatorCalls nodes;
  private final Random random;
  private boolean going = true;
  private int keys;
  private int tokens;

  ClaimCalls(SimFleet fleet, OperatorCalls nodes, Random random) {
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
    SimNode n = nodes.anyNode();
    if (n != null) {
      int span = Math.min(keys, REMEMBERED);
      boolean repeat = span > 0 && random.nextInt(3) == 0;
      String key = "k" + (repeat ? keys - random.nextInt(span) : ++keys);
      String token = "t" + ++tokens;
      n.call(nodes.connection(), () -> fleet.claim(n, key, token));
    }
  }
}
