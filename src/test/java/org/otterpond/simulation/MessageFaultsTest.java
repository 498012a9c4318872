package org.otterpond.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.otterpond.protocol.WireRecord;
import org.otterpond.replication.GroupConfiguration;

/** The message tier as a whole, under faults; each seed its own schedule. */
class MessageFaultsTest {
  private static final long S = 1_000_000;

  private static final class Tier {
    final SimulatedCluster fleet;
    final MessageInvariantChecker checker;
    final SimulatedProducers senders;

    Tier(long seed, int stores, int faults) {
      fleet = new SimulatedCluster(seed, 4, 3, faults);
      checker = new MessageInvariantChecker(fleet.world);
      senders = new SimulatedProducers(fleet, checker);
      for (int i = 1; i <= stores; i++) {
        SimulatedNode n = fleet.addStore("s" + i + ":1", checker);
        fleet.world.at(fleet.world.random.nextInt(1_500_000), n::start);
      }
      fleet.world.run(10 * S);
      fleet.change(() -> {});
      fleet.world.run(2 * S);
      senders.start();
      fleet.world.run(S);
      assertFalse(checker.accepted.isEmpty(), () -> "nothing is accepted\n" + fleet.tail());
    }

    /** All is well again: everything that was accepted must come to an end or be there. */
    void settle() {
      fleet.world.heal();
      fleet.world.loss = 0;
      fleet.all.forEach(
          n -> {
            n.thaw();
            n.start();
          });
      fleet.world.run(5 * S);
      senders.stop();
      fleet.world.run(8 * S);
      senders.askForAll();
      fleet.world.run(6 * S);
      assertEquals(List.of(), checker.broken, this::stuck);
    }

    /** What the machines say of partitions that nobody serves. */
    private String stuck() {
      StringBuilder b = new StringBuilder(fleet.tail()).append("\n");
      for (int p = 0; p < 32; p++) {
        int id = p;
        boolean served = stores().anyMatch(n -> n.store.describe(id) != null && n.store.serves(id));
        if (!served) {
          stores()
              .forEach(
                  n -> b.append(n.address).append(" ").append(n.store.describe(id)).append("\n"));
        }
      }
      return b.toString();
    }

    private java.util.stream.Stream<SimulatedNode> stores() {
      return fleet.stores.stream().filter(SimulatedNode::up);
    }

    /** Every partition has its copies, all on machines that are up. */
    void whole() {
      SimulatedNode edge = fleet.disks.get(0);
      for (GroupConfiguration v : edge.partitions.values()) {
        assertTrue(
            v.members().containsAll(v.wanted()) && v.wanted().size() == 3,
            () -> v + "\n" + fleet.tail());
      }
    }
  }

  @Test
  void calmDaysEndEverythingOnce() {
    Tier t = new Tier(1, 5, 2);
    t.checker.calm = true;
    t.fleet.world.run(6 * S);
    t.settle();
    t.whole();
    long open = t.checker.accepted.values().stream().filter(s -> !s.ended).count();
    assertEquals(0, open);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14})
  void nothingAcceptedIsLostWhileTwoFailAtOnce(long seed) {
    Tier t = new Tier(seed, 6, 2);
    for (int i = 0; i < 5; i++) {
      List<SimulatedNode> s = t.fleet.stores;
      SimulatedNode a = s.get(t.fleet.world.random.nextInt(s.size()));
      SimulatedNode b = s.get(t.fleet.world.random.nextInt(s.size()));
      trouble(t, a);
      t.fleet.world.run(t.fleet.world.random.nextInt(900_000));
      if (a != b) {
        trouble(t, b);
      }
      t.fleet.world.run(S + t.fleet.world.random.nextInt(2_000_000));
      t.fleet.world.heal();
      s.forEach(
          n -> {
            n.thaw();
            n.start();
          });
      t.fleet.world.run(6 * S);
    }
    t.settle();
    t.whole();
  }

  private static void trouble(Tier t, SimulatedNode n) {
    switch (t.fleet.world.random.nextInt(5)) {
      case 0 -> n.kill();
      case 1 -> n.losePower();
      case 2 -> {
        n.losePower();
        n.storeDisk.wipe();
      }
      case 3 -> n.freeze();
      default ->
          t.fleet.stores.forEach(
              o -> {
                if (o != n) {
                  t.fleet.world.cut(n.address, o.address);
                }
              });
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {21, 22, 23, 24})
  void allLosePowerAndNothingAcceptedIsLost(long seed) {
    Tier t = new Tier(seed, 5, 2);
    t.fleet.world.run(2 * S);
    t.fleet.all.forEach(SimulatedNode::losePower);
    t.fleet.world.run(S);
    t.settle();
  }

  @ParameterizedTest
  @ValueSource(longs = {31, 32, 33})
  void retiredMachineIsEmptiedAndNothingRunsAgain(long seed) {
    Tier t = new Tier(seed, 6, 2);
    t.checker.calm = true;
    String name = "s" + (seed % 3 + 1) + ":1";
    SimulatedNode edge = t.fleet.disks.get(0);
    long[] status = {0};
    edge.node.ask(
        new WireRecord("ask").with("op", "retire").with("node", name),
        S,
        250_000,
        r -> status[0] = r == null ? 0 : r.number("status"));
    boolean[] done = {false};
    for (int i = 0; i < 40 && !done[0]; i++) {
      t.fleet.world.run(250_000);
      edge.node.ask(
          new WireRecord("ask").with("op", "retired").with("node", name),
          S,
          250_000,
          r -> done[0] |= r != null && r.truth("done"));
    }
    assertEquals(200, status[0]);
    assertTrue(done[0], () -> "not emptied\n" + t.fleet.tail());
    SimulatedNode gone = t.fleet.world.nodes.get(name);
    gone.losePower();
    t.fleet.stores.remove(gone);
    t.fleet.all.remove(gone);
    t.settle();
    t.whole();
  }

  /**
   * A planned end: what the machine leads is handed over first, and what it has under way is
   * finished.
   */
  @ParameterizedTest
  @ValueSource(longs = {35, 36})
  void leavingMachineHandsOverAndNothingRunsAgain(long seed) {
    Tier t = new Tier(seed, 6, 2);
    t.checker.calm = true;
    SimulatedNode s = t.fleet.stores.get((int) (seed % 6));
    for (int i = 0; i < 30 && !s.store.handedOver(); i++) {
      s.perform(s.store::retire);
      t.fleet.world.run(100_000);
    }
    assertTrue(s.store.handedOver(), () -> t.fleet.tail());
    t.fleet.world.run(200_000);
    s.kill();
    t.fleet.world.run(2 * S);
    t.settle();
    t.whole();
  }

  @Test
  void tooFewLeftOrUnknownIsSaid() {
    Tier t = new Tier(41, 3, 2);
    long[] status = {0, 0, 0};
    SimulatedNode edge = t.fleet.disks.get(0);
    edge.node.ask(
        new WireRecord("ask").with("op", "retire").with("node", "s1:1"),
        S,
        250_000,
        r -> status[0] = r.number("status"));
    edge.node.ask(
        new WireRecord("ask").with("op", "retire").with("node", "nobody"),
        S,
        250_000,
        r -> status[1] = r.number("status"));
    edge.node.ask(
        new WireRecord("ask").with("op", "retired").with("node", "s2:1"),
        S,
        250_000,
        r -> status[2] = r.number("status"));
    t.fleet.world.run(2 * S);
    assertEquals(List.of(409L, 404L, 404L), List.of(status[0], status[1], status[2]));
  }

  @Test
  void addedMachinesTakeTheirPart() {
    Tier t = new Tier(51, 4, 2);
    t.checker.calm = true;
    for (int i = 5; i <= 6; i++) {
      t.fleet.addStore("s" + i + ":1", t.checker).joinLate();
    }
    t.fleet.world.run(14 * S);
    t.settle();
    long held =
        t.fleet.disks.get(0).partitions.values().stream()
            .filter(
                v ->
                    v.members().stream()
                        .anyMatch(m -> GroupConfiguration.addressOf(m).equals("s6:1")))
            .count();
    assertTrue(held >= 8, () -> held + " partitions\n" + t.fleet.tail());
    t.whole();
  }

  /** A deliberate break: disks that answer before they have written must be noticed. */
  @Test
  void checkerNoticesDisksThatAnswerTooSoon() {
    int noticed = 0;
    for (long seed = 61; seed <= 64; seed++) {
      Tier t = new Tier(seed, 4, 2);
      t.fleet.stores.forEach(n -> n.storeDisk.lying = true);
      t.fleet.world.run(2 * S);
      t.fleet.all.forEach(SimulatedNode::losePower);
      t.fleet.world.run(S);
      try {
        t.settle();
      } catch (AssertionError e) {
        noticed++;
      }
    }
    assertTrue(noticed >= 3, "noticed " + noticed + " of 4");
  }
}
