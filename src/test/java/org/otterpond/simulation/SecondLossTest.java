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
  private static final long S = 1_000_000;
  private static final long SYNC = 4 * S;
  private static final long[] PAUSES = {
    3_000, 250_000, 500_000, 650_000, 900_000, 1_500_000, 2_500_000, 4_000_000, 6_000_000
  };
  private static final Map<String, String> REGIONS = Map.of("a", "r", "b", "r", "c", "s", "d", "t");

  private static SimulatedCluster fleet(
      long seed, int disks, FaultTolerance losses, IntFunction<String> zoneOf) {
    SimulatedCluster f = new SimulatedCluster(seed, disks, 2, losses.machines());
    for (int i = 0; i < f.all.size(); i++) {
      f.all.get(i).zone = zoneOf.apply(i);
      f.all.get(i).losses = losses;
    }
    f.world.run(9 * S);
    assertNotNull(f.leader(), () -> "no leader\n" + f.tail());
    f.callers();
    f.world.run(2 * S);
    return f;
  }

  private static SimulatedCluster fleet(long seed, int disks, int machines) {
    return fleet(seed, disks, FaultTolerance.ofMachines(machines), i -> "z");
  }

  private static EpochRecord record(SimulatedCluster f) {
    assertNotNull(f.leader(), () -> "no leader\n" + f.tail());
    return f.leader().node.known();
  }

  private static SimulatedNode node(SimulatedCluster f, String diskId) {
    return f.disks.stream().filter(d -> d.disk.id.equals(diskId)).findFirst().orElse(null);
  }

  private static SimulatedNode backup(SimulatedCluster f) {
    return node(f, record(f).backups().get(0).diskId());
  }

  /**
   * A leader, a group of live copies that is whole, a majority of live members, and all that was
   * acknowledged.
   */
  private static void whole(SimulatedCluster f, long within, int copies) {
    f.world.run(within);
    EpochRecord r = record(f);
    long live =
        r.members().stream()
            .filter(m -> node(f, m.diskId()) != null && node(f, m.diskId()).up())
            .count();
    assertTrue(
        live >= r.quorum(),
        () -> live + " of " + r.members().size() + " members live\n" + f.tail());
    assertEquals(
        copies,
        r.backups().stream()
            .filter(b -> node(f, b.diskId()) != null && node(f, b.diskId()).up())
            .count(),
        () -> "copies\n" + f.tail());
    int before = f.checker.acknowledgements;
    // The operator's own chain of calls ends with a node that it had asked.
    f.change(() -> {});
    f.world.run(3 * S);
    assertTrue(f.checker.acknowledgements > before, () -> "no change is taken\n" + f.tail());
    assertEquals(List.of(), f.checker.broken, f::tail);
  }

  private static void remove(SimulatedCluster f, SimulatedNode gone) {
    gone.losePower();
    f.all.remove(gone);
    f.disks.remove(gone);
    // What it sent is on its way for a moment still.
    f.world.at(10_000, () -> f.world.nodes.remove(gone.address));
  }

  private static SimulatedNode join(SimulatedCluster f, String address, String zone) {
    SimulatedNode n = f.add(address, true);
    n.zone = zone;
    n.losses = f.disks.get(0).losses;
    f.disks.add(n);
    n.joinLate();
    return n;
  }

  private static long epochs(SimulatedCluster f) {
    return f.world.log.stream().filter(l -> l.contains("event=epoch_began")).count();
  }

  @ParameterizedTest
  @CsvSource({"3,1,400", "4,1,430", "5,2,460", "8,2,490"})
  void eachLossIsBorneAsSoonAsItMayCome(int disks, int machines, long first) {
    for (long seed = first; seed < first + 30; seed++) {
      SimulatedCluster f = fleet(seed, disks, machines);
      // Until when each place in the core counts as lost.
      Map<Integer, Long> lost = new HashMap<>();
      SimulatedNode[] last = {null};
      int[] made = {0};
      MembershipChecker epochs = new MembershipChecker(f);
      for (int i = 0; i < 5; i++) {
        f.change(() -> {});
        for (int place = 0; place < machines; place++) {
          epochs.look();
          strike(f, lost, last, made);
        }
        f.world.run(pause(f));
        while (lost.values().stream().filter(t -> t > f.world.now()).count() >= machines) {
          f.world.run(20_000);
        }
      }
      whole(f, 3 * S, machines);
      assertEquals(List.of(), epochs.broken, f::tail);
    }
  }

  private static long pause(SimulatedCluster f) {
    return PAUSES[f.world.random.nextInt(PAUSES.length)] + f.world.random.nextInt(60_000);
  }

  /**
   * Strikes one machine if one more loss is to be borne, and sees to its return or to its
   * successor.
   */
  private static void strike(
      SimulatedCluster f, Map<Integer, Long> lost, SimulatedNode[] last, int[] made) {
    lost.values().removeIf(t -> t <= f.world.now());
    List<SimulatedNode> up =
        f.disks.stream().filter(d -> d.up() && !lost.containsKey(d.hashCode())).toList();
    SimulatedNode leader = f.leader();
    if (lost.size() >= leaderLosses(f) || up.isEmpty()) {
      return;
    }
    SimulatedNode victim =
        switch (f.world.random.nextInt(4)) {
          case 0 -> leader;
          case 1 -> leader == null || record(f).backups().isEmpty() ? null : backup(f);
          // Who has just come back or come in.
          case 2 -> last[0];
          default -> null;
        };
    SimulatedNode v =
        victim != null && up.contains(victim) ? victim : up.get(f.world.random.nextInt(up.size()));
    int how = f.world.random.nextInt(5);
    long back = pause(f);
    f.world.event("test", "victim=" + v.address + " how=" + how + " back_ms=" + back / 1000);
    lost.put(v.hashCode(), Long.MAX_VALUE);
    Runnable returns =
        () -> {
          lost.put(v.hashCode(), f.world.now() + SYNC);
          if (how < 3) {
            v.start();
            last[0] = v;
          } else {
            last[0] = join(f, "e" + ++made[0] + ":1", v.zone);
          }
        };
    switch (how) {
      case 0 -> v.kill();
      case 1 -> v.losePower();
      case 2 -> {
        v.losePower();
        v.disk.wipe();
      }
      case 3 -> remove(f, v);
      default -> {
        v.perform(() -> v.node.retire());
        end(f, v, f.world.now() + 5 * S, () -> f.world.at(back, returns));
        return;
      }
    }
    f.world.at(back, returns);
  }

  private static int leaderLosses(SimulatedCluster f) {
    return f.disks.get(0).losses.machines();
  }

  /** As the daemon does: it ends once it is needed no more, or when its time is up. */
  private static void end(SimulatedCluster f, SimulatedNode v, long by, Runnable then) {
    f.world.at(
        50_000,
        () -> {
          if (v.node.needed() && f.world.now() < by) {
            end(f, v, by, then);
          } else {
            remove(f, v);
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
      SimulatedCluster f = fleet(620, grows ? 3 : 5, 1);
      SimulatedNode primary = f.leader();
      SimulatedNode backup = backup(f);
      if (exchanges) {
        remove(
            f, f.disks.stream().filter(d -> d != primary && d != backup).findFirst().orElseThrow());
        f.world.run(2 * S);
      }
      MembershipChecker epochs = new MembershipChecker(f);
      int from = f.world.log.size();
      if (grows) {
        join(f, "e1:1", "z");
      } else {
        backup.kill();
      }
      while (f.world.log.subList(from, f.world.log.size()).stream()
          .noneMatch(l -> l.contains("=candidacy "))) {
        f.world.run(100);
      }
      f.world.run(offset);
      SimulatedNode with =
          grows && !exchanges
              ? backup
              : f.disks.stream().filter(d -> d != primary && d != backup).findFirst().orElseThrow();
      f.disks.stream()
          .filter(d -> d != primary && d != with)
          .forEach(
              d -> {
                f.world.cut(primary.address, d.address);
                f.world.cut(with.address, d.address);
              });
      f.world.run(2 * S);
      assertEquals(List.of(), epochs.broken, f::tail);
      f.world.heal();
      whole(f, SYNC, 1);
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
      SimulatedCluster f = fleet(seed, 8, losses, i -> "aabbccdd".substring(i % 8, i % 8 + 1));
      for (int round = 0; round < 3; round++) {
        String zone = f.leader().zone;
        List<SimulatedNode> gone =
            f.disks.stream()
                .filter(
                    d ->
                        regions > 0
                            ? REGIONS.get(d.zone).equals(REGIONS.get(zone))
                            : d.zone.equals(zone))
                .toList();
        gone.forEach(SimulatedNode::losePower);
        gone.forEach(d -> d.disk.wipe());
        whole(f, 3 * S, 1);
        gone.forEach(SimulatedNode::start);
        f.world.run(SYNC);
      }
      long before = epochs(f);
      f.world.run(20 * S);
      assertEquals(before, epochs(f), () -> "it changes without need\n" + f.tail());
    }
  }

  @Test
  void membersAreSpreadAsFarAsTheMachinesAllowAndElseTheCoreSaysSo() {
    FaultTolerance losses = new FaultTolerance(1, 1, 0, REGIONS);
    SimulatedCluster crowded = fleet(540, 5, losses, i -> i < 3 ? "a" : i == 3 ? "b" : "c");
    assertEquals(3, record(crowded).members().size());
    assertFalse(crowded.world.log.stream().anyMatch(l -> l.contains("core_not_spread")));
    SimulatedCluster f = fleet(541, 4, losses, i -> "a");
    long before = epochs(f);
    f.world.run(60 * S);
    assertEquals(before, epochs(f));
    assertEquals(
        before, f.world.log.stream().filter(l -> l.contains("event=core_not_spread")).count());
    // Machines elsewhere change that: in the end one zone of three holds no majority, and the group
    // spans two.
    join(f, "e1:1", "b");
    join(f, "e2:1", "c");
    f.world.run(20 * S);
    String group = f.leader().zone + backup(f).zone;
    assertTrue(group.charAt(0) != group.charAt(1), () -> group + "\n" + f.tail());
    assertEquals(
        1, record(f).members().stream().filter(m -> m.zone().equals("a")).count(), f::tail);
  }

  @Test
  void groupIsFormedAnewOnceItCanSpan() {
    SimulatedCluster f =
        fleet(545, 3, new FaultTolerance(1, 1, 0, REGIONS), i -> i == 2 ? "b" : "a");
    SimulatedNode other = f.leader().zone.equals("b") ? f.leader() : backup(f);
    assertEquals("b", other.zone, f::tail);
    other.kill();
    f.world.run(2 * S);
    assertEquals("aa", f.leader().zone + backup(f).zone);
    other.start();
    f.world.run(SYNC);
    assertTrue(record(f).inGroup(other.disk.id), f::tail);
    long before = epochs(f);
    f.world.run(20 * S);
    assertEquals(before, epochs(f), f::tail);
  }

  @Test
  void coreOfMoreThanNineDisksReplacesItsDead() {
    SimulatedCluster f = fleet(550, 12, 2);
    for (int i = 0; i < 6; i++) {
      assertEquals(9, record(f).members().size(), f::tail);
      remove(f, i % 2 == 0 ? f.leader() : backup(f));
      join(f, "e" + i + ":1", "z");
      whole(f, SYNC, 2);
    }
  }

  @Test
  void coreOfOneGrows() {
    SimulatedCluster f = fleet(555, 1, 1);
    join(f, "e1:1", "z");
    join(f, "e2:1", "z");
    f.world.run(SYNC);
    assertEquals(3, record(f).members().size(), f::tail);
    whole(f, 0, 1);
  }

  /** Its one notice comes amid a cut; and later, while it still runs, the group loses another. */
  @Test
  void leaverIsNeededUntilAnotherHoldsItsCopyAndIsNotTakenAgain() {
    SimulatedCluster f = fleet(560, 5, 1);
    SimulatedNode leaver = backup(f);
    f.world.cut(leaver.address, f.leader().address);
    leaver.perform(() -> leaver.node.retire());
    f.world.run(100_000);
    f.world.heal();
    assertTrue(leaver.node.needed());
    f.world.run(S);
    assertFalse(leaver.node.needed(), f::tail);
    for (int i = 0; i < 2; i++) {
      SimulatedNode next = backup(f);
      next.kill();
      f.world.run(SYNC);
      assertFalse(record(f).inGroup(leaver.disk.id), f::tail);
      next.start();
      f.world.run(SYNC);
    }
  }

  /**
   * The word that it resigns is lost: it says so again, before the backups take its silence for an
   * answer.
   */
  @Test
  void leavingPrimaryIsFollowedThoughItsNoticeIsLost() {
    SimulatedCluster f = fleet(562, 5, 2);
    SimulatedNode leaver = f.leader();
    f.world.cutOff(leaver.address);
    leaver.perform(() -> leaver.node.retire());
    f.world.run(20_000);
    f.world.heal();
    f.world.run(450_000);
    assertFalse(record(f).inGroup(leaver.disk.id), f::tail);
    assertFalse(leaver.node.needed());
  }

  /** What it would hand over to dies as it does: then the leaver holds the only copy. */
  @Test
  void leavingPrimaryWhoseSuccessorDiesMakesAnother() {
    for (long seed = 565; seed < 575; seed++) {
      SimulatedCluster f = fleet(seed, 4, 1);
      SimulatedNode leaver = f.leader();
      SimulatedNode heir = backup(f);
      leaver.perform(() -> leaver.node.retire());
      f.world.run(f.world.random.nextInt(8_000));
      heir.losePower();
      heir.disk.wipe();
      f.world.run(4_500_000);
      assertFalse(leaver.node.needed(), f::tail);
      heir.start();
      f.world.run(SYNC);
      leaver.kill();
      whole(f, 3 * S, 1);
    }
  }

  /**
   * A new primary has not heard from all when it begins; who is heard a moment later is no dead
   * member.
   */
  @Test
  void memberThatAnswersLateStaysOne() {
    SimulatedCluster f = fleet(600, 4, 1);
    join(f, "e1:1", "z");
    join(f, "e2:1", "z");
    f.world.run(SYNC);
    assertEquals(6, record(f).members().size(), f::tail);
    SimulatedNode late =
        f.disks.stream().filter(d -> !record(f).inGroup(d.disk.id)).findFirst().orElseThrow();
    f.leader().kill();
    f.world.cutOff(late.address);
    while (f.leader() == null) {
      f.world.run(1_000);
    }
    f.world.run(S);
    assertTrue(record(f).hasMember(late.disk.id), f::tail);
    f.world.heal();
    whole(f, SYNC, 1);
  }

  @Test
  void newcomerThatDiesAsItJoinsHoldsNobodyUp() {
    SimulatedCluster f = fleet(580, 4, 1);
    SimulatedNode fresh = join(f, "e1:1", "z");
    while (f.world.log.stream().noneMatch(l -> l.contains("event=core_change"))) {
      f.world.run(100);
    }
    fresh.losePower();
    long from = f.world.now();
    while (f.leader() == null || epochs(f) < 2) {
      f.world.run(10_000);
      assertTrue(f.world.now() - from < 600_000, () -> "no epoch\n" + f.tail());
    }
  }

  /** The dead and its successor must never both count: then two of four would be no majority. */
  @Test
  void successorTakesThePlaceOfTheDead() {
    for (long seed = 590; seed < 600; seed++) {
      SimulatedCluster f = fleet(seed, 3, 1);
      remove(
          f,
          f.disks.stream()
              .filter(d -> d != f.leader() && d != backup(f))
              .findFirst()
              .orElseThrow());
      join(f, "e1:1", "z");
      f.world.run(SYNC);
      f.leader().losePower();
      whole(f, 3 * S, 1);
    }
  }
}
