package org.otterpond.simulation;

import java.util.Random;
import org.otterpond.control.agent.ControlPlaneAgent;

/** Clients that send requests with idempotency keys, new and recent ones, to any node. */
final class KeyLockClients {
  private static final int RECENT_KEYS = 40;
  private static final int MIN_PAUSE_MICROS = 10_000;
  private static final long ACQUIRE_TIMEOUT_MICROS = 600_000;
  private static final long ACQUIRE_RETRY_MICROS = 200_000;
  private static final long RELEASE_TIMEOUT_MICROS = 2_000_000;
  private static final long RELEASE_RETRY_MICROS = 300_000;
  private static final int MIN_EXECUTION_MICROS = 20_000;
  private static final int EXECUTION_SPREAD_MICROS = 80_000;

  private final SimulatedCluster cluster;
  private final ClientAccess access;
  private final Random random;
  private final int pauseSpreadMicros;
  private boolean running = true;
  private int lastKey;
  private int lastToken;

  KeyLockClients(
      SimulatedCluster cluster, ClientAccess access, Random random, int pauseSpreadMicros) {
    this.cluster = cluster;
    this.access = access;
    this.random = random;
    this.pauseSpreadMicros = pauseSpreadMicros;
  }

  void start() {
    cluster.world.schedule(0, this::sendNext);
  }

  void stop() {
    running = false;
  }

  private void sendNext() {
    if (!running) {
      return;
    }
    cluster.world.schedule(MIN_PAUSE_MICROS + random.nextInt(pauseSpreadMicros), this::sendNext);
    SimulatedNode node = access.pickNode();
    if (node == null) {
      return;
    }
    int recent = Math.min(lastKey, RECENT_KEYS);
    boolean repeats = recent > 0 && random.nextInt(3) == 0;
    String key = "k" + (repeats ? lastKey - random.nextInt(recent) : ++lastKey);
    String token = "t" + ++lastToken;
    access.execute(node, () -> acquire(node, key, token));
  }

  private void acquire(SimulatedNode node, String key, String token) {
    ControlPlaneAgent agent = node.agent;
    agent.ask(
        ControlRequests.acquireKeyLock(key, token, node.address),
        ACQUIRE_TIMEOUT_MICROS,
        ACQUIRE_RETRY_MICROS,
        reply -> {
          if (reply == null) {
            // The request times out before it is forwarded to a worker, so it is never executed.
            release(agent, key, token);
          } else if (reply.truth("granted")) {
            execute(agent, key, token);
          }
        });
  }

  /** Executes the request of a granted key; one in ten turns out not to have been executed. */
  private void execute(ControlPlaneAgent agent, String key, String token) {
    cluster.checker.keyGranted(key, token);
    cluster.world.schedule(
        MIN_EXECUTION_MICROS + cluster.world.random.nextInt(EXECUTION_SPREAD_MICROS),
        () -> {
          if (cluster.world.random.nextInt(10) == 0) {
            cluster.checker.keyReleased(key, token);
            release(agent, key, token);
          }
        });
  }

  private static void release(ControlPlaneAgent agent, String key, String token) {
    agent.ask(
        ControlRequests.releaseKeyLock(key, token),
        RELEASE_TIMEOUT_MICROS,
        RELEASE_RETRY_MICROS,
        reply -> {});
  }
}
