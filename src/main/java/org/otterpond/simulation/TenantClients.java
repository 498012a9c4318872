package org.otterpond.simulation;

import org.otterpond.config.Tenant;
import org.otterpond.control.agent.QuotaCache;
import org.otterpond.control.epoch.EpochTimeouts;
import org.otterpond.control.primary.QuotaSettings;

/**
 * Clients of one tenant that send more requests than its quota allows and use every access key that
 * there has ever been.
 */
final class TenantClients {
  static final QuotaSettings QUOTA =
      new QuotaSettings(5_000_000, 0.1, 20, EpochTimeouts.standard().lent());

  /** How long after its removal is acknowledged an access key may still be accepted. */
  static final long REVOCATION_DELAY_MICROS = 5_000_000;

  static final String TENANT = "acme";
  static final int RATE_PER_SECOND = 40;
  static final int BURST_SIZE = 200;

  /** By so much a node stops to accept access keys before the revocation delay is over. */
  private static final long REVOCATION_MARGIN_MICROS = 250_000;

  private static final long QUOTA_WAIT_MICROS = 1_000_000;
  private static final int MIN_PAUSE_MICROS = 2_000;
  private static final int PAUSE_SPREAD_MICROS = 3_000;

  private final SimulatedCluster cluster;
  private final SimulatedWorld world;
  private boolean running = true;

  TenantClients(SimulatedCluster cluster) {
    this.cluster = cluster;
    this.world = cluster.world;
  }

  void start() {
    world.schedule(0, this::sendNext);
  }

  void stop() {
    running = false;
  }

  private void sendNext() {
    if (!running) {
      return;
    }
    world.schedule(MIN_PAUSE_MICROS + world.random.nextInt(PAUSE_SPREAD_MICROS), this::sendNext);
    SimulatedNode node = cluster.randomRunningNode();
    if (node != null) {
      node.perform(() -> admit(node));
    }
  }

  /**
   * Admits one request under every access key of the node's configuration, as the data path does:
   * the configuration must be fresh, the key in it, and a token of the quota available.
   */
  void admit(SimulatedNode node) {
    if (node.configuration == null
        || world.now() - node.agent.configurationConfirmedAt()
            >= REVOCATION_DELAY_MICROS - REVOCATION_MARGIN_MICROS) {
      return;
    }
    for (Tenant tenant : node.configuration.tenants()) {
      tenant
          .keys()
          .forEach(
              key -> cluster.checker.accessKeyUsed(node.address, key, REVOCATION_DELAY_MICROS));
    }
    node.agent.stores().acquire(TENANT, new QuotaRequest());
  }

  /** One request that waits a second at most for a token of the quota. */
  private final class QuotaRequest implements QuotaCache.Taker {
    private final long deadlineMicros = world.now() + QUOTA_WAIT_MICROS;
    private boolean done;

    @Override
    public boolean waits() {
      return !done && world.now() < deadlineMicros;
    }

    @Override
    public void taken() {
      done = true;
      cluster.checker.quotaRunCounted();
    }

    @Override
    public void over(double retryAfterSeconds) {
      done = true;
    }
  }
}
