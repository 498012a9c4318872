package org.otterpond.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.otterpond.protocol.WireRecord;
import org.otterpond.replication.GroupConfiguration;
import org.otterpond.replication.ReplicaGroupTimeouts;

/**
 * The replica group against its source: one history, one primary, nothing acknowledged lost; and
 * breaks are noticed.
 */
class ReplicaGroupTest {
  private static final long S = 1_000_000;

  private static void troubles(SimulatedReplicaGroup g) {
    List<SimulatedReplicaGroup.Member> all = new ArrayList<>(g.members.values());
    for (int i = 0; i < 8; i++) {
      SimulatedReplicaGroup.Member m = all.get(g.world.random.nextInt(all.size()));
      switch (g.world.random.nextInt(6)) {
        case 0 -> m.kill(false);
        case 1 -> m.kill(true);
        case 2 -> m.frozen = m.up;
        case 3 -> g.cutOff(m.name, false);
        case 4 -> g.cutOff(m.name, true);
        default -> m.slowDisk = true;
      }
      g.world.network.lossProbability = g.world.random.nextInt(3) == 0 ? 0.05 : 0;
      g.world.run(300_000 + g.world.random.nextInt(2_500_000));
      g.heal();
      all.forEach(
          o -> {
            o.slowDisk = false;
            o.thaw();
            o.start();
          });
      g.world.run(g.world.random.nextInt(2_000_000));
    }
    g.settle();
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
  void oneHistoryThroughTroubles(long seed) {
    SimulatedReplicaGroup g = new SimulatedReplicaGroup(seed, seed % 2 == 0 ? 3 : 4);
    g.world.run(2 * S);
    troubles(g);
    assertEquals(List.of(), g.broken, () -> String.join("\n", g.world.eventLog));
    assertTrue(
        g.updates > 500 && g.queries > 500, g.updates + " updates, " + g.queries + " queries");
  }

  @Test
  void quietGroupAcknowledgesEverything() {
    SimulatedReplicaGroup g = new SimulatedReplicaGroup(101, 3);
    g.world.run(4 * S);
    g.settle();
    assertEquals(List.of(), g.broken);
    assertTrue(g.updates > 1_000, g.updates + " updates");
    assertTrue(g.world.eventLog.stream().filter(l -> l.contains("group_reconciled")).count() <= 2);
  }

  private interface Break {
    void of(SimulatedReplicaGroup g);
  }

  private static int noticed(Break b) {
    int noticed = 0;
    for (long seed = 201; seed <= 216; seed++) {
      SimulatedReplicaGroup g = new SimulatedReplicaGroup(seed, 3);
      b.of(g);
      g.world.run(2 * S);
      troubles(g);
      noticed += g.broken.isEmpty() ? 0 : 1;
    }
    return noticed;
  }

  @Test
  void managerThatTakesAnyVersionIsNoticed() {
    assertTrue(noticed(g -> g.managerTakesAnyVersion = true) > 0);
  }

  /** A primary that wakes with old acknowledgements in hand must not take them for new. */
  @Test
  void leaseCountedFromTheAnswerIsNoticed() {
    assertEquals(0, wakingPrimariesThatServeBesideAnother(false));
    assertTrue(wakingPrimariesThatServeBesideAnother(true) > 0);
  }

  private static int wakingPrimariesThatServeBesideAnother(boolean fromTheAnswer) {
    int noticed = 0;
    for (long seed = 401; seed <= 520; seed++) {
      SimulatedReplicaGroup g = new SimulatedReplicaGroup(seed, 3);
      g.leaseFromTheAnswer = fromTheAnswer;
      g.world.run(S + g.world.random.nextInt(50_000));
      SimulatedReplicaGroup.Member first = g.members.values().iterator().next();
      first.frozen = true;
      g.world.run(900_000 + g.world.random.nextInt(200_000));
      first.thaw();
      g.world.run(100_000);
      noticed += g.broken.isEmpty() ? 0 : 1;
    }
    return noticed;
  }

  @Test
  void disksThatAnswerBeforeTheyHaveWrittenAreNoticed() {
    SimulatedReplicaGroup g = new SimulatedReplicaGroup(301, 3);
    g.disksLie = true;
    g.world.run(2 * S);
    g.members.values().forEach(m -> m.kill(true));
    g.settle();
    assertTrue(
        g.broken.stream().anyMatch(b -> b.contains("lacks") || b.contains("serve in the end")));
  }

  @ParameterizedTest
  @ValueSource(longs = {31, 32, 33, 34})
  void allLosePowerAndNothingAcknowledgedIsLost(long seed) {
    SimulatedReplicaGroup g = new SimulatedReplicaGroup(seed, 3);
    g.world.run(2 * S + g.world.random.nextInt(100_000));
    g.members.values().forEach(m -> m.kill(true));
    g.world.run(S);
    g.settle();
    assertEquals(List.of(), g.broken, () -> String.join("\n", g.world.eventLog));
  }

  /**
   * The manager's word of whom to take in is newer than what an answer or another member says of
   * the same version.
   */
  @Test
  void lateWordOfTheVersionInForceDoesNotBringBackWhoIsNoLongerWanted() {
    SimulatedReplicaGroup g = new SimulatedReplicaGroup(35, 3);
    g.world.run(2 * S);
    for (SimulatedReplicaGroup.Member m : g.members.values()) {
      GroupConfiguration old = m.group.view();
      List<String> wanted = List.of(old.primary(), "newcomer@x:1");
      m.group.learn(old.wanting(wanted));
      m.group.onMessage(
          old.primary(),
          new WireRecord("g.view")
              .with("group", old.group())
              .with("view", old.toWireRecord("view")));
      assertEquals(wanted, m.group.view().wanted());
    }
  }

  @Test
  void graceBelowTheLeaseIsRefused() {
    assertThrows(
        IllegalArgumentException.class,
        () -> new ReplicaGroupTimeouts(100_000, 500_000, 505_000, 1, 1));
    assertThrows(
        IllegalArgumentException.class,
        () -> new ReplicaGroupTimeouts(200_000, 500_000, 600_000, 1, 1));
  }
}
