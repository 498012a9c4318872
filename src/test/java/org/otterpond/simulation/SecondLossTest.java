package org.otterpond.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntFunction;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.otterpond.control.state.EpochRecord;
import org.otterpond.control.state.FaultTolerance;

/**
 * Losses that follow each other as soon as they may: what was lost, repaired, replaced or left, and
 * then the next.
 */
class SecondLossTest {
  private static final long SECOND_MICROS = 1_000_000;
  private static final long SYNC = 4 * SECOND_MICROS;
  private static final long[] PAUSES = {
    3_000, 250_000, 500_000, 650_000, 900_000, 1_500_000, 2_500_000, 4_000_000, 6_000_000
  };
  private static final Map<String, String> REGIONS = Map.of("a", "r", "b", "r", "c", "s", "d", "t");

  private static SimulatedCluster fleet(
      long seed, int disks, FaultTolerance losses, IntFunction<String> zoneOf) {
    SimulatedCluster cluster = new SimulatedCluster(seed, disks, 2, losses.machines());
    for (int i = 0; i < cluster.nodes.size(); i++) {
      cluster.nodes.get(i).zone = zoneOf.apply(i);
      cluster.nodes.get(i).faultTolerance = losses;
    }
    cluster.world.run(9 * SECOND_MICROS);
    assertNotNull(cluster.primary(), () -> "no leader\n" + cluster.recentEvents());
    cluster.workload.start();
    cluster.world.run(2 * SECOND_MICROS);
    return cluster;
  }

  private static SimulatedCluster fleet(long seed, int disks, int machines) {
    return fleet(seed, disks, FaultTolerance.ofMachines(machines), i -> "z");
  }

  private static EpochRecord record(SimulatedCluster cluster) {
    assertNotNull(cluster.primary(), () -> "no leader\n" + cluster.recentEvents());
    return cluster.primary().agent.known();
  }

  private static SimulatedNode node(SimulatedCluster cluster, String diskId) {
    return cluster.coreNodes.stream()
        .filter(d -> d.disk.id.equals(diskId))
        .findFirst()
        .orElse(null);
  }

  private static SimulatedNode backup(SimulatedCluster cluster) {
    return node(cluster, record(cluster).backups().get(0).diskId());
  }

  /**
   * A leader, a group of live copies that is whole, a majority of live members, and all that was
   * acknowledged.
   */
  private static void whole(SimulatedCluster cluster, long within, int copies) {
    cluster.world.run(within);
    EpochRecord r = record(cluster);
    long live =
        r.members().stream()
            .filter(m -> node(cluster, m.diskId()) != null && node(cluster, m.diskId()).isRunning())
            .count();
    assertTrue(
        live >= r.quorum(),
        () -> live + " of " + r.members().size() + " members live\n" + cluster.recentEvents());
    assertEquals(
        copies,
        r.backups().stream()
            .filter(b -> node(cluster, b.diskId()) != null && node(cluster, b.diskId()).isRunning())
            .count(),
        () -> "copies\n" + cluster.recentEvents());
    int before = cluster.checker.acknowledgements;
    // The operator's own chain of calls ends with a node that it had asked.
    cluster.operator.change(() -> {});
    cluster.world.run(3 * SECOND_MICROS);
    assertTrue(
        cluster.checker.acknowledgements > before,
        () -> "no change is taken\n" + cluster.recentEvents());
    assertEquals(List.of(), cluster.checker.violations, cluster::recentEvents);
  }

  private static void remove(SimulatedCluster cluster, SimulatedNode gone) {
    gone.losePower();
    cluster.nodes.remove(gone);
    cluster.coreNodes.remove(gone);
    // What it sent is on its way for a moment still.
    cluster.world.schedule(10_000, () -> cluster.world.network.detach(gone.address));
  }

  private static SimulatedNode join(SimulatedCluster cluster, String address, String zone) {
    SimulatedNode n = cluster.add(address, true);
    n.zone = zone;
    n.faultTolerance = cluster.coreNodes.get(0).faultTolerance;
    cluster.coreNodes.add(n);
    n.startWithoutBootstrap();
    return n;
  }

  private static long epochs(SimulatedCluster cluster) {
    return cluster.world.eventLog.stream().filter(l -> l.contains("event=epoch_began")).count();
  }

  @ParameterizedTest
  @CsvSource({"3,1,400", "4,1,430", "5,2,460", "8,2,490"})
  void eachLossIsBorneAsSoonAsItMayCome(int disks, int machines, long first) {
    for (long seed = first; seed < first + 30; seed++) {
      SimulatedCluster cluster = fleet(seed, disks, machines);
      // Until when each place in the core counts as lost.
      Map<Integer, Long> lost = new HashMap<>();
      SimulatedNode[] last = {null};
      int[] made = {0};
      MembershipChecker epochs = new MembershipChecker(cluster);
      for (int i = 0; i < 5; i++) {
        cluster.operator.change(() -> {});
        for (int place = 0; place < machines; place++) {
          epochs.check();
          strike(cluster, lost, last, made);
        }
        cluster.world.run(pause(cluster));
        while (lost.values().stream().filter(t -> t > cluster.world.now()).count() >= machines) {
          cluster.world.run(20_000);
        }
      }
      whole(cluster, 3 * SECOND_MICROS, machines);
      assertEquals(List.of(), epochs.violations, cluster::recentEvents);
    }
  }

  private static long pause(SimulatedCluster cluster) {
    return PAUSES[cluster.world.random.nextInt(PAUSES.length)]
        + cluster.world.random.nextInt(60_000);
  }

  /**
   * Strikes one machine if one more loss is to be borne, and sees to its return or to its
   * successor.
   */
  private static void strike(
      SimulatedCluster cluster, Map<Integer, Long> lost, SimulatedNode[] last, int[] made) {
    lost.values().removeIf(t -> t <= cluster.world.now());
    List<SimulatedNode> up =
        cluster.coreNodes.stream()
            .filter(d -> d.isRunning() && !lost.containsKey(d.hashCode()))
            .toList();
    SimulatedNode leader = cluster.primary();
    if (lost.size() >= leaderLosses(cluster) || up.isEmpty()) {
      return;
    }
    SimulatedNode victim =
        switch (cluster.world.random.nextInt(4)) {
          case 0 -> leader;
          case 1 -> leader == null || record(cluster).backups().isEmpty() ? null : backup(cluster);
          // Who has just come back or come in.
          case 2 -> last[0];
          default -> null;
        };
    SimulatedNode v =
        victim != null && up.contains(victim)
            ? victim
            : up.get(cluster.world.random.nextInt(up.size()));
    int how = cluster.world.random.nextInt(5);
    long back = pause(cluster);
    cluster.world.logEvent(
        "test", "victim=" + v.address + " how=" + how + " back_ms=" + back / 1000);
    lost.put(v.hashCode(), Long.MAX_VALUE);
    Runnable returns =
        () -> {
          lost.put(v.hashCode(), cluster.world.now() + SYNC);
          if (how < 3) {
            v.start();
            last[0] = v;
          } else {
            last[0] = join(cluster, "e" + ++made[0] + ":1", v.zone);
          }
        };
    switch (how) {
      case 0 -> v.kill();
      case 1 -> v.losePower();
      case 2 -> {
        v.losePower();
        v.disk.wipe();
      }
      case 3 -> remove(cluster, v);
      default -> {
        v.perform(() -> v.agent.retire());
        end(
            cluster,
            v,
            cluster.world.now() + 5 * SECOND_MICROS,
            () -> cluster.world.schedule(back, returns));
        return;
      }
    }
    cluster.world.schedule(back, returns);
  }

  private static int leaderLosses(SimulatedCluster cluster) {
    return cluster.coreNodes.get(0).faultTolerance.machines();
  }

  /** As the daemon does: it ends once it is needed no more, or when its time is up. */
  private static void end(SimulatedCluster cluster, SimulatedNode v, long by, Runnable then) {
    cluster.world.schedule(
        50_000,
        () -> {
          if (v.agent.needed() && cluster.world.now() < by) {
            end(cluster, v, by, then);
          } else {
            remove(cluster, v);
            then.run();
          }
        });
  }

  /**
   * Cut in two between promise and acceptance, or anywhere near: two of the members make no epoch.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void noEpochBeginsWithoutMajoritiesOfTheOldAndTheNew(boolean grows) {
    noEpochOfTwo(grows, false);
  }

  /**
   * One member takes another's place: the two are a majority of the three new ones and no more than
   * one of the three old. A record that they alone accepted has never begun, and what goes on from
   * it must have the old ones' majority too.
   */
  @Test
  void noEpochBeginsOnAnExchangeThatTheOldMajorityHasNotAccepted() {
    noEpochOfTwo(true, true);
  }

  private static void noEpochOfTwo(boolean grows, boolean exchanges) {
    for (long offset = 0; offset < 12_000; offset += 500) {
      SimulatedCluster cluster = fleet(620, grows ? 3 : 5, 1);
      SimulatedNode primary = cluster.primary();
      SimulatedNode backup = backup(cluster);
      if (exchanges) {
        remove(
            cluster,
            cluster.coreNodes.stream()
                .filter(d -> d != primary && d != backup)
                .findFirst()
                .orElseThrow());
        cluster.world.run(2 * SECOND_MICROS);
      }
      MembershipChecker epochs = new MembershipChecker(cluster);
      int from = cluster.world.eventLog.size();
      if (grows) {
        join(cluster, "e1:1", "z");
      } else {
        backup.kill();
      }
      while (cluster.world.eventLog.subList(from, cluster.world.eventLog.size()).stream()
          .noneMatch(l -> l.contains("=candidacy "))) {
        cluster.world.run(100);
      }
      cluster.world.run(offset);
      SimulatedNode with =
          grows && !exchanges
              ? backup
              : cluster.coreNodes.stream()
                  .filter(d -> d != primary && d != backup)
                  .findFirst()
                  .orElseThrow();
      cluster.coreNodes.stream()
          .filter(d -> d != primary && d != with)
          .forEach(
              d -> {
                cluster.world.network.partition(primary.address, d.address);
                cluster.world.network.partition(with.address, d.address);
              });
      cluster.world.run(2 * SECOND_MICROS);
      assertEquals(List.of(), epochs.violations, cluster::recentEvents);
      cluster.world.network.heal();
      whole(cluster, SYNC, 1);
    }
  }

  /**
   * Two disks in each of four zones: wherever the primary is, its zone goes with the disks in it.
   */
  @ParameterizedTest
  @CsvSource({"1,0", "0,1"})
  void groupAndMajorityOutliveTheLossOfAZoneOrARegion(int zones, int regions) {
    FaultTolerance losses = new FaultTolerance(1, zones, regions, REGIONS);
    for (long seed = 520; seed < 530; seed++) {
      SimulatedCluster cluster =
          fleet(seed, 8, losses, i -> "aabbccdd".substring(i % 8, i % 8 + 1));
      for (int round = 0; round < 3; round++) {
        String zone = cluster.primary().zone;
        List<SimulatedNode> gone =
            cluster.coreNodes.stream()
                .filter(
                    d ->
                        regions > 0
                            ? REGIONS.get(d.zone).equals(REGIONS.get(zone))
                            : d.zone.equals(zone))
                .toList();
        gone.forEach(SimulatedNode::losePower);
        gone.forEach(d -> d.disk.wipe());
        whole(cluster, 3 * SECOND_MICROS, 1);
        gone.forEach(SimulatedNode::start);
        cluster.world.run(SYNC);
      }
      long before = epochs(cluster);
      cluster.world.run(20 * SECOND_MICROS);
      assertEquals(
          before, epochs(cluster), () -> "it changes without need\n" + cluster.recentEvents());
    }
  }

  @Test
  void membersAreSpreadAsFarAsTheMachinesAllowAndElseTheCoreSaysSo() {
    FaultTolerance losses = new FaultTolerance(1, 1, 0, REGIONS);
    SimulatedCluster crowded = fleet(540, 5, losses, i -> i < 3 ? "a" : i == 3 ? "b" : "c");
    assertEquals(3, record(crowded).members().size());
    assertFalse(crowded.world.eventLog.stream().anyMatch(l -> l.contains("core_not_spread")));
    SimulatedCluster cluster = fleet(541, 4, losses, i -> "a");
    long before = epochs(cluster);
    cluster.world.run(60 * SECOND_MICROS);
    assertEquals(before, epochs(cluster));
    assertEquals(
        before,
        cluster.world.eventLog.stream().filter(l -> l.contains("event=core_not_spread")).count());
    // Machines elsewhere change that: in the end one zone of three holds no majority, and the group
    // spans two.
    join(cluster, "e1:1", "b");
    join(cluster, "e2:1", "c");
    cluster.world.run(20 * SECOND_MICROS);
    String group = cluster.primary().zone + backup(cluster).zone;
    assertTrue(group.charAt(0) != group.charAt(1), () -> group + "\n" + cluster.recentEvents());
    assertEquals(
        1,
        record(cluster).members().stream().filter(m -> m.zone().equals("a")).count(),
        cluster::recentEvents);
  }

  @Test
  void groupIsFormedAnewOnceItCanSpan() {
    SimulatedCluster cluster =
        fleet(545, 3, new FaultTolerance(1, 1, 0, REGIONS), i -> i == 2 ? "b" : "a");
    SimulatedNode other = cluster.primary().zone.equals("b") ? cluster.primary() : backup(cluster);
    assertEquals("b", other.zone, cluster::recentEvents);
    other.kill();
    cluster.world.run(2 * SECOND_MICROS);
    assertEquals("aa", cluster.primary().zone + backup(cluster).zone);
    other.start();
    cluster.world.run(SYNC);
    assertTrue(record(cluster).inGroup(other.disk.id), cluster::recentEvents);
    long before = epochs(cluster);
    cluster.world.run(20 * SECOND_MICROS);
    assertEquals(before, epochs(cluster), cluster::recentEvents);
  }

  @Test
  void coreOfMoreThanNineDisksReplacesItsDead() {
    SimulatedCluster cluster = fleet(550, 12, 2);
    for (int i = 0; i < 6; i++) {
      assertEquals(9, record(cluster).members().size(), cluster::recentEvents);
      remove(cluster, i % 2 == 0 ? cluster.primary() : backup(cluster));
      join(cluster, "e" + i + ":1", "z");
      whole(cluster, SYNC, 2);
    }
  }

  @Test
  void coreOfOneGrows() {
    SimulatedCluster cluster = fleet(555, 1, 1);
    join(cluster, "e1:1", "z");
    join(cluster, "e2:1", "z");
    cluster.world.run(SYNC);
    assertEquals(3, record(cluster).members().size(), cluster::recentEvents);
    whole(cluster, 0, 1);
  }

  /** Its one notice comes amid a cut; and later, while it still runs, the group loses another. */
  @Test
  void leaverIsNeededUntilAnotherHoldsItsCopyAndIsNotTakenAgain() {
    SimulatedCluster cluster = fleet(560, 5, 1);
    SimulatedNode leaver = backup(cluster);
    cluster.world.network.partition(leaver.address, cluster.primary().address);
    leaver.perform(() -> leaver.agent.retire());
    cluster.world.run(100_000);
    cluster.world.network.heal();
    assertTrue(leaver.agent.needed());
    cluster.world.run(SECOND_MICROS);
    assertFalse(leaver.agent.needed(), cluster::recentEvents);
    for (int i = 0; i < 2; i++) {
      SimulatedNode next = backup(cluster);
      next.kill();
      cluster.world.run(SYNC);
      assertFalse(record(cluster).inGroup(leaver.disk.id), cluster::recentEvents);
      next.start();
      cluster.world.run(SYNC);
    }
  }

  /**
   * The word that it resigns is lost: it says so again, before the backups take its silence for an
   * answer.
   */
  @Test
  void leavingPrimaryIsFollowedThoughItsNoticeIsLost() {
    SimulatedCluster cluster = fleet(562, 5, 2);
    SimulatedNode leaver = cluster.primary();
    cluster.world.network.isolate(leaver.address);
    leaver.perform(() -> leaver.agent.retire());
    cluster.world.run(20_000);
    cluster.world.network.heal();
    cluster.world.run(450_000);
    assertFalse(record(cluster).inGroup(leaver.disk.id), cluster::recentEvents);
    assertFalse(leaver.agent.needed());
  }

  /** What it would hand over to dies as it does: then the leaver holds the only copy. */
  @Test
  void leavingPrimaryWhoseSuccessorDiesMakesAnother() {
    for (long seed = 565; seed < 575; seed++) {
      SimulatedCluster cluster = fleet(seed, 4, 1);
      SimulatedNode leaver = cluster.primary();
      SimulatedNode heir = backup(cluster);
      leaver.perform(() -> leaver.agent.retire());
      cluster.world.run(cluster.world.random.nextInt(8_000));
      heir.losePower();
      heir.disk.wipe();
      cluster.world.run(4_500_000);
      assertFalse(leaver.agent.needed(), cluster::recentEvents);
      heir.start();
      cluster.world.run(SYNC);
      leaver.kill();
      whole(cluster, 3 * SECOND_MICROS, 1);
    }
  }

  /**
   * A new primary has not heard from all when it begins; who is heard a moment later is no dead
   * member.
   */
  @Test
  void memberThatAnswersLateStaysOne() {
    SimulatedCluster cluster = fleet(600, 4, 1);
    join(cluster, "e1:1", "z");
    join(cluster, "e2:1", "z");
    cluster.world.run(SYNC);
    assertEquals(6, record(cluster).members().size(), cluster::recentEvents);
    SimulatedNode late =
        cluster.coreNodes.stream()
            .filter(d -> !record(cluster).inGroup(d.disk.id))
            .findFirst()
            .orElseThrow();
    cluster.primary().kill();
    cluster.world.network.isolate(late.address);
    while (cluster.primary() == null) {
      cluster.world.run(1_000);
    }
    cluster.world.run(SECOND_MICROS);
    assertTrue(record(cluster).hasMember(late.disk.id), cluster::recentEvents);
    cluster.world.network.heal();
    whole(cluster, SYNC, 1);
  }

  @Test
  void newcomerThatDiesAsItJoinsHoldsNobodyUp() {
    SimulatedCluster cluster = fleet(580, 4, 1);
    SimulatedNode fresh = join(cluster, "e1:1", "z");
    while (cluster.world.eventLog.stream().noneMatch(l -> l.contains("event=core_change"))) {
      cluster.world.run(100);
    }
    fresh.losePower();
    long from = cluster.world.now();
    while (cluster.primary() == null || epochs(cluster) < 2) {
      cluster.world.run(10_000);
      assertTrue(cluster.world.now() - from < 600_000, () -> "no epoch\n" + cluster.recentEvents());
    }
  }

  /** The dead and its successor must never both count: then two of four would be no majority. */
  @Test
  void successorTakesThePlaceOfTheDead() {
    for (long seed = 590; seed < 600; seed++) {
      SimulatedCluster cluster = fleet(seed, 3, 1);
      remove(
          cluster,
          cluster.coreNodes.stream()
              .filter(d -> d != cluster.primary() && d != backup(cluster))
              .findFirst()
              .orElseThrow());
      join(cluster, "e1:1", "z");
      cluster.world.run(SYNC);
      cluster.primary().losePower();
      whole(cluster, 3 * SECOND_MICROS, 1);
    }
  }
}
