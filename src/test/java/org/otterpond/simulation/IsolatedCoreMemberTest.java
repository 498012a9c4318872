package org.otterpond.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.otterpond.simulation.ClusterFixture.SECOND_MICROS;
import static org.otterpond.simulation.ClusterFixture.bootstrap;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.otterpond.control.state.EpochRecord;
import org.otterpond.control.state.WorkerState;

/**
 * A core node without contact to others for twenty seconds while requests still reach it: it
 * confirms nothing, rejects nothing and returns nothing stale; the others soon have a primary;
 * after the contact is restored it is soon up to date.
 */
class IsolatedCoreMemberTest {
  private static final long ISOLATION_MICROS = 20 * SECOND_MICROS;

  /** From the beginning of the isolation until the others have a primary that they reach. */
  private static final long MAX_FAILOVER_MICROS = 2_500_000;

  /** An operator waits a second for an answer, and every second attempt may meet the victim. */
  private static final long MAX_GAP_MICROS = MAX_FAILOVER_MICROS + 2 * SECOND_MICROS;

  private static final long RECOVERY_MICROS = 4 * SECOND_MICROS;

  private enum Role {
    PRIMARY,
    BACKUP,
    WITNESS
  }

  private enum Isolation {
    BOTH_DIRECTIONS,
    INBOUND_ONLY,
    OUTBOUND_ONLY,
    /** Only the link to the primary is down or, for the primary, the link to its backup. */
    PARTNER_ONLY,
    FROZEN
  }

  @ParameterizedTest
  @CsvSource({
    "4,1,PRIMARY",
    "4,1,BACKUP",
    "4,1,WITNESS",
    "5,2,PRIMARY",
    "5,2,BACKUP",
    "5,2,WITNESS",
    "8,2,PRIMARY",
    "8,2,BACKUP"
  })
  void isolatedMemberServesNothingStaleAndOthersTakeOver(int coreSize, int maxFailures, Role role) {
    for (Isolation isolation : Isolation.values()) {
      new Scenario(400 + coreSize, coreSize, maxFailures, role, isolation).run();
    }
  }

  /** One isolation of one member. */
  private static final class Scenario {
    private final String name;
    private final Role role;
    private final Isolation isolation;
    private final SimulatedCluster cluster;
    private final SimulatedWorld world;
    private final RetryingOperator operator;

    Scenario(long seed, int coreSize, int maxFailures, Role role, Isolation isolation) {
      this.name = role + " " + isolation + " seed=" + seed + " of " + coreSize;
      this.role = role;
      this.isolation = isolation;
      cluster = bootstrap(seed, coreSize, 4, maxFailures);
      world = cluster.world;
      operator = new RetryingOperator(cluster);
    }

    private String failure(String what) {
      return name + " " + what + "\n" + cluster.recentEvents();
    }

    void run() {
      operator.start();
      sendHeartbeats(1);
      world.run(2 * SECOND_MICROS);
      assertTrue(operator.confirmedRevision() > 3, () -> failure("few writes are confirmed"));

      SimulatedNode primary = cluster.primary();
      SimulatedNode victim = chooseVictim(primary.agent.known());
      operator.restartGapMeasurement();
      final long epoch = primary.agent.known().epoch();
      isolate(victim, primary);
      assertFailover(victim, epoch);
      assertEquals(List.of(), operator.wrongAnswers, () -> failure("wrong answers"));
      assertTrue(
          operator.longestGapMicros() < MAX_GAP_MICROS,
          () -> failure("no confirmation for " + operator.longestGapMicros() / 1000 + " ms"));

      world.network.heal();
      victim.resume();
      world.run(RECOVERY_MICROS);
      assertRejoined(victim);
    }

    private void sendHeartbeats(long sequence) {
      SimulatedNode node = cluster.randomRunningNode();
      node.perform(
          () ->
              node.agent.beat(
                  SimulatedCluster.worker("w1", WorkerState.IN_SERVICE, sequence), accepted -> {}));
      world.schedule(400_000, () -> sendHeartbeats(sequence + 1));
    }

    private SimulatedNode chooseVictim(EpochRecord epoch) {
      return cluster.coreNodes.stream()
          .filter(
              node ->
                  switch (role) {
                    case PRIMARY -> node == cluster.primary();
                    case BACKUP -> epoch.backupRank(node.disk.id) == 0;
                    case WITNESS -> !epoch.isInGroup(node.disk.id);
                  })
          .findFirst()
          .orElseThrow();
    }

    private void isolate(SimulatedNode victim, SimulatedNode primary) {
      if (isolation == Isolation.FROZEN) {
        victim.freeze();
        return;
      }
      EpochRecord epoch = primary.agent.known();
      for (SimulatedNode other : cluster.coreNodes) {
        boolean isPartner =
            role == Role.PRIMARY ? epoch.backupRank(other.disk.id) == 0 : other == primary;
        if (other == victim || (isolation == Isolation.PARTNER_ONLY && !isPartner)) {
          continue;
        }
        if (isolation != Isolation.OUTBOUND_ONLY) {
          world.network.partitionOneWay(other.address, victim.address);
        }
        if (isolation != Isolation.INBOUND_ONLY) {
          world.network.partitionOneWay(victim.address, other.address);
        }
      }
    }

    /** Lets the isolation last and asserts that there is a primary of a new epoch in time. */
    private void assertFailover(SimulatedNode victim, long epoch) {
      final long isolatedMicros = world.now();
      long failoverMicros = 0;
      while (world.now() < isolatedMicros + ISOLATION_MICROS) {
        world.run(20_000);
        if (failoverMicros == 0 && othersHavePrimary(victim, epoch)) {
          failoverMicros = world.now() - isolatedMicros;
        }
      }
      long measuredMicros = failoverMicros;
      assertTrue(
          role == Role.WITNESS || (measuredMicros > 0 && measuredMicros < MAX_FAILOVER_MICROS),
          () -> failure("failover took " + measuredMicros / 1000 + " ms"));
    }

    private boolean othersHavePrimary(SimulatedNode victim, long epoch) {
      SimulatedNode primary = cluster.primary();
      return primary != null
          && (primary != victim || isolation == Isolation.PARTNER_ONLY)
          && primary.agent.known().epoch() > epoch;
    }

    private void assertRejoined(SimulatedNode victim) {
      SimulatedNode primary = cluster.primary();
      assertNotNull(primary, () -> failure("no primary"));
      assertTrue(
          primary.agent.known().hasMember(victim.disk.id), () -> failure("victim is no member"));

      operator.stop();
      world.run(2 * SECOND_MICROS);

      for (SimulatedNode node : cluster.nodes) {
        assertEquals(
            primary.agent.known().epoch(),
            node.agent.known().epoch(),
            () -> name + " " + node.address);
        assertEquals(
            operator.confirmedRevision(), node.agent.revision(), () -> failure(node.address));
      }
      assertEquals(List.of(), operator.wrongAnswers, () -> failure("wrong answers"));
      assertEquals(List.of(), cluster.checker.violations, () -> failure("violations"));
    }
  }
}
