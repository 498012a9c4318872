package org.otterpond.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.otterpond.simulation.ClusterFixture.SECOND_MICROS;
import static org.otterpond.simulation.ClusterFixture.assertNoViolations;
import static org.otterpond.simulation.ClusterFixture.bootstrap;

import org.junit.jupiter.api.Test;

/** Quotas and access keys of a tenant during failovers and on nodes without contact to the core. */
class QuotaAndAccessKeyTest {
  /** What the tenant of {@link TenantClients} may run. */
  static final InvariantChecker.QuotaBound TENANT_BOUND =
      new InvariantChecker.QuotaBound(
          TenantClients.RATE_PER_SECOND,
          TenantClients.BURST_SIZE,
          TenantClients.QUOTA.windowMicros(),
          TenantClients.QUOTA.excess(),
          TenantClients.QUOTA.slack());

  private static SimulatedCluster configured(long seed) {
    SimulatedCluster cluster = bootstrap(seed, 5, 4, 2);
    cluster.operator.change(() -> {});
    return cluster;
  }

  @Test
  void tenantWithinItsQuotaIsServedDuringFailover() {
    SimulatedCluster cluster = configured(211);
    cluster.world.run(4 * SECOND_MICROS);
    cluster.workload.startTenants();
    cluster.world.run(5 * SECOND_MICROS);
    int before = cluster.checker.quotaRuns();
    assertTrue(
        before > 5 * TenantClients.RATE_PER_SECOND, "the whole quota is available: " + before);

    cluster.primary().kill();
    cluster.world.run(4 * SECOND_MICROS);

    int during = cluster.checker.quotaRuns() - before;
    assertTrue(
        during > 2 * TenantClients.RATE_PER_SECOND,
        "only " + during + " runs in four seconds around a failover");
  }

  /** Quota owners follow each other faster than the tokens expire that earlier ones have lent. */
  @Test
  void quotaIsEnforcedDuringRepeatedFailovers() {
    for (long seed = 221; seed <= 224; seed++) {
      SimulatedCluster cluster = configured(seed);
      cluster.world.run(4 * SECOND_MICROS);
      cluster.workload.startTenants();
      cluster.world.run(2 * SECOND_MICROS);

      for (int i = 0; i < 4; i++) {
        restartPrimary(cluster);
        cluster.world.run(3_700_000);
      }
      cluster.world.run(3 * SECOND_MICROS);

      int runs = cluster.checker.quotaRuns();
      assertTrue(runs > 200, "only " + runs);
      cluster.checker.checkQuota(TENANT_BOUND);
      assertNoViolations(cluster);
    }
  }

  private static void restartPrimary(SimulatedCluster cluster) {
    SimulatedNode primary = cluster.primary();
    if (primary != null) {
      primary.kill();
      cluster.world.run(300_000);
      primary.start();
    }
  }

  /** Detects freshness that is counted from the arrival of an answer, not from its request. */
  @Test
  void resumedNodeWithBufferedOldAnswerAcceptsNoAccessKeys() {
    // At some of these moments an answer is about to arrive, which is then the first thing that the
    // node finds when it resumes.
    for (long freezeMicros = 0; freezeMicros < 800_000; freezeMicros += 25_000) {
      SimulatedCluster cluster = configured(225);
      cluster.world.run(SECOND_MICROS + freezeMicros);
      SimulatedNode node = cluster.node("n3:1");
      cluster.workload.tenants.admit(node);
      int before = cluster.checker.accessKeyUses;
      assertTrue(before > 0);

      node.freeze();
      cluster.world.run(SECOND_MICROS);
      for (int i = 0; i < 2; i++) {
        cluster.operator.change(() -> {});
        cluster.world.run(SECOND_MICROS);
      }
      cluster.world.run(7 * SECOND_MICROS);
      node.perform(() -> cluster.workload.tenants.admit(node));
      node.resume();

      assertEquals(
          before,
          cluster.checker.accessKeyUses,
          "the node has received nothing since before it was frozen");
      assertNoViolations(cluster);
    }
  }

  @Test
  void isolatedNodeAcceptsAccessKeysForLimitedTime() {
    SimulatedCluster cluster = configured(212);
    cluster.world.run(SECOND_MICROS);
    SimulatedNode node = cluster.node("n3:1");

    cluster.world.network.isolate(node.address);
    cluster.world.run(3 * SECOND_MICROS);
    assertTrue(
        staleForMicros(cluster, node) < TenantClients.REVOCATION_DELAY_MICROS,
        "keys must not be refused too early");

    cluster.world.run(3 * SECOND_MICROS);
    assertTrue(
        staleForMicros(cluster, node) > TenantClients.REVOCATION_DELAY_MICROS,
        "keys must not be accepted too long");

    cluster.world.network.heal();
    cluster.world.run(3 * SECOND_MICROS);
    assertTrue(staleForMicros(cluster, node) < 2 * SECOND_MICROS);
  }

  private static long staleForMicros(SimulatedCluster cluster, SimulatedNode node) {
    return cluster.world.now() - node.agent.configurationConfirmedAt();
  }
}
