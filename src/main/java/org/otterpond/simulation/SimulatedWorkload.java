package org.otterpond.simulation;

/** The clients of a simulated cluster: an operator, clients with idempotency keys, and a tenant. */
final class SimulatedWorkload {
  private static final int KEY_PAUSE_SPREAD_MICROS = 20_000;

  private final SequentialOperator operator;
  private final KeyLockClients keyLocks;
  final TenantClients tenants;

  SimulatedWorkload(SimulatedCluster cluster) {
    operator = cluster.operator;
    keyLocks =
        new KeyLockClients(
            cluster, new DirectAccess(cluster), cluster.world.random, KEY_PAUSE_SPREAD_MICROS);
    tenants = new TenantClients(cluster);
  }

  /** Starts the operator and the clients with idempotency keys. */
  void start() {
    operator.start();
    keyLocks.start();
  }

  /** Starts the clients of the tenant. */
  void startTenants() {
    tenants.start();
  }

  /** Lets every client finish its last request and send no other. */
  void stop() {
    operator.stop();
    keyLocks.stop();
    tenants.stop();
  }

  /** Clients whose requests reach a node at once, even one that is frozen. */
  private record DirectAccess(SimulatedCluster cluster) implements ClientAccess {
    @Override
    public SimulatedNode pickNode() {
      return cluster.randomRunningNode();
    }

    @Override
    public void execute(SimulatedNode node, Runnable request) {
      request.run();
    }
  }
}
