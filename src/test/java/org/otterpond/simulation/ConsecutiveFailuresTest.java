package org.otterpond.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.otterpond.simulation.ClusterFixture.SECOND_MICROS;
import static org.otterpond.simulation.CoreFixture.RECOVERY_MICROS;
import static org.otterpond.simulation.CoreFixture.assertRecovered;
import static org.otterpond.simulation.CoreFixture.startCore;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Failures that follow each other as soon as they may: recovery, replacement, then the next. */
class ConsecutiveFailuresTest {
  private static final long[] PAUSES_MICROS = {
    3_000, 250_000, 500_000, 650_000, 900_000, 1_500_000, 2_500_000, 4_000_000, 6_000_000
  };

  @ParameterizedTest
  @CsvSource({"3,1,400", "4,1,430", "5,2,460", "8,2,490"})
  void nextFailureIsToleratedAsSoonAsItMayOccur(int coreSize, int maxFailures, long firstSeed) {
    for (long seed = firstSeed; seed < firstSeed + 30; seed++) {
      SimulatedCluster cluster = startCore(seed, coreSize, maxFailures);
      MembershipChecker membership = new MembershipChecker(cluster);
      FailureSequence failures = new FailureSequence(cluster, maxFailures);

      for (int i = 0; i < 5; i++) {
        cluster.operator.change(() -> {});
        for (int failure = 0; failure < maxFailures; failure++) {
          membership.check();
          failures.injectNext();
        }
        cluster.world.run(failures.randomPauseMicros());
        failures.awaitNextAllowed();
      }

      assertRecovered(cluster, 3 * SECOND_MICROS, maxFailures);
      assertEquals(List.of(), membership.violations, cluster::recentEvents);
    }
  }

  /** Fails core nodes one after another, never more at once than the core must tolerate. */
  private static final class FailureSequence {
    private static final long NOT_RETURNED = Long.MAX_VALUE;
    private static final long DRAIN_DEADLINE_MICROS = 5 * SECOND_MICROS;

    private final SimulatedCluster cluster;
    private final Random random;
    private final int maxFailures;

    /** Until when each failed node counts as lost. */
    private final Map<SimulatedNode, Long> lostUntilMicros = new HashMap<>();

    private SimulatedNode lastReturned;
    private int replacements;

    FailureSequence(SimulatedCluster cluster, int maxFailures) {
      this.cluster = cluster;
      this.random = cluster.world.random;
      this.maxFailures = maxFailures;
    }

    long randomPauseMicros() {
      return PAUSES_MICROS[random.nextInt(PAUSES_MICROS.length)] + random.nextInt(60_000);
    }

    private long countLost() {
      return lostUntilMicros.values().stream()
          .filter(untilMicros -> untilMicros > cluster.world.now())
          .count();
    }

    void awaitNextAllowed() {
      while (countLost() >= maxFailures) {
        cluster.world.run(20_000);
      }
    }

    /** Fails a node if one more failure is to be tolerated, and schedules its return. */
    void injectNext() {
      lostUntilMicros.values().removeIf(untilMicros -> untilMicros <= cluster.world.now());
      List<SimulatedNode> candidates =
          cluster.coreNodes.stream()
              .filter(node -> node.isRunning() && !lostUntilMicros.containsKey(node))
              .toList();
      if (lostUntilMicros.size() >= maxFailures || candidates.isEmpty()) {
        return;
      }
      SimulatedNode victim = chooseVictim(candidates);
      int kind = random.nextInt(5);
      long returnMicros = randomPauseMicros();
      cluster.world.logEvent(
          "test",
          "victim=" + victim.address + " kind=" + kind + " return_ms=" + returnMicros / 1000);
      lostUntilMicros.put(victim, NOT_RETURNED);
      fail(victim, kind, returnMicros);
    }

    private SimulatedNode chooseVictim(List<SimulatedNode> candidates) {
      SimulatedNode primary = cluster.primary();
      SimulatedNode preferred =
          switch (random.nextInt(4)) {
            case 0 -> primary;
            case 1 -> backupOf(primary);
            case 2 -> lastReturned;
            default -> null;
          };
      return preferred != null && candidates.contains(preferred)
          ? preferred
          : candidates.get(random.nextInt(candidates.size()));
    }

    private SimulatedNode backupOf(SimulatedNode primary) {
      return primary == null || primary.agent.known().backups().isEmpty()
          ? null
          : CoreFixture.backup(cluster);
    }

    private void fail(SimulatedNode victim, int kind, long returnMicros) {
      Runnable restart = () -> returned(victim, restarted(victim));
      Runnable replace = () -> returned(victim, replacementOf(victim));
      switch (kind) {
        case 0 -> {
          victim.kill();
          cluster.world.schedule(returnMicros, restart);
        }
        case 1 -> {
          victim.losePower();
          cluster.world.schedule(returnMicros, restart);
        }
        case 2 -> {
          victim.losePower();
          victim.disk.wipe();
          cluster.world.schedule(returnMicros, restart);
        }
        case 3 -> {
          CoreFixture.remove(cluster, victim);
          cluster.world.schedule(returnMicros, replace);
        }
        default -> {
          victim.perform(() -> victim.agent.retire());
          long deadlineMicros = cluster.world.now() + DRAIN_DEADLINE_MICROS;
          removeOnceDrained(
              victim, deadlineMicros, () -> cluster.world.schedule(returnMicros, replace));
        }
      }
    }

    private void returned(SimulatedNode victim, SimulatedNode returning) {
      lostUntilMicros.put(victim, cluster.world.now() + RECOVERY_MICROS);
      lastReturned = returning;
    }

    private static SimulatedNode restarted(SimulatedNode victim) {
      victim.start();
      return victim;
    }

    private SimulatedNode replacementOf(SimulatedNode victim) {
      return CoreFixture.join(cluster, "e" + ++replacements + ":1", victim.zone);
    }

    /** As the server does: it ends once it is no longer needed, or at the deadline. */
    private void removeOnceDrained(SimulatedNode node, long deadlineMicros, Runnable then) {
      cluster.world.schedule(
          50_000,
          () -> {
            if (node.agent.needed() && cluster.world.now() < deadlineMicros) {
              removeOnceDrained(node, deadlineMicros, then);
            } else {
              CoreFixture.remove(cluster, node);
              then.run();
            }
          });
    }
  }
}
