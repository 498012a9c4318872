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
  private static final long SECOND_MICROS = 1_000_000;

  private static final class Tier {
    final SimulatedCluster cluster;
    final MessageInvariantChecker checker;
    final SimulatedProducers senders;

    Tier(long seed, int stores, int faults) {
      cluster = new SimulatedCluster(seed, 4, 3, faults);
      checker = new MessageInvariantChecker(cluster.world);
      senders = new SimulatedProducers(cluster, checker);
      for (int i = 1; i <= stores; i++) {
        SimulatedNode n = cluster.addStorageNode("s" + i + ":1", checker);
        cluster.world.schedule(cluster.world.random.nextInt(1_500_000), n::start);
      }
      cluster.world.run(10 * SECOND_MICROS);
      cluster.operator.change(() -> {});
      cluster.world.run(2 * SECOND_MICROS);
      senders.start();
      cluster.world.run(SECOND_MICROS);
      assertFalse(
          checker.accepted.isEmpty(), () -> "nothing is accepted\n" + cluster.recentEvents());
    }

    /** All is well again: everything that was accepted must come to an end or be there. */
    void settle() {
      cluster.world.network.heal();
      cluster.world.network.lossProbability = 0;
      cluster.nodes.forEach(
          n -> {
            n.resume();
            n.start();
          });
      cluster.world.run(5 * SECOND_MICROS);
      senders.stop();
      cluster.world.run(8 * SECOND_MICROS);
      senders.queryAll();
      cluster.world.run(6 * SECOND_MICROS);
      assertEquals(List.of(), checker.violations, this::stuck);
    }

    /** What the machines say of partitions that nobody serves. */
    private String stuck() {
      StringBuilder b = new StringBuilder(cluster.recentEvents()).append("\n");
      for (int p = 0; p < 32; p++) {
        int id = p;
        boolean served =
            stores()
                .anyMatch(n -> n.messageStore.describe(id) != null && n.messageStore.serves(id));
        if (!served) {
          stores()
              .forEach(
                  n ->
                      b.append(n.address)
                          .append(" ")
                          .append(n.messageStore.describe(id))
                          .append("\n"));
        }
      }
      return b.toString();
    }

    private java.util.stream.Stream<SimulatedNode> stores() {
      return cluster.storageNodes.stream().filter(SimulatedNode::isRunning);
    }

    /** Every partition has its copies, all on machines that are up. */
    void whole() {
      SimulatedNode edge = cluster.coreNodes.get(0);
      for (GroupConfiguration v : edge.partitions.values()) {
        assertTrue(
            v.members().containsAll(v.wanted()) && v.wanted().size() == 3,
            () -> v + "\n" + cluster.recentEvents());
      }
    }
  }

  @Test
  void calmDaysEndEverythingOnce() {
    Tier t = new Tier(1, 5, 2);
    t.checker.requiresSingleExecution = true;
    t.cluster.world.run(6 * SECOND_MICROS);
    t.settle();
    t.whole();
    long open = t.checker.accepted.values().stream().filter(message -> !message.hasEnded()).count();
    assertEquals(0, open);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14})
  void nothingAcceptedIsLostWhileTwoFailAtOnce(long seed) {
    Tier t = new Tier(seed, 6, 2);
    for (int i = 0; i < 5; i++) {
      List<SimulatedNode> s = t.cluster.storageNodes;
      SimulatedNode a = s.get(t.cluster.world.random.nextInt(s.size()));
      SimulatedNode b = s.get(t.cluster.world.random.nextInt(s.size()));
      trouble(t, a);
      t.cluster.world.run(t.cluster.world.random.nextInt(900_000));
      if (a != b) {
        trouble(t, b);
      }
      t.cluster.world.run(SECOND_MICROS + t.cluster.world.random.nextInt(2_000_000));
      t.cluster.world.network.heal();
      s.forEach(
          n -> {
            n.resume();
            n.start();
          });
      t.cluster.world.run(6 * SECOND_MICROS);
    }
    t.settle();
    t.whole();
  }

  private static void trouble(Tier t, SimulatedNode n) {
    switch (t.cluster.world.random.nextInt(5)) {
      case 0 -> n.kill();
      case 1 -> n.losePower();
      case 2 -> {
        n.losePower();
        n.segmentStore.wipe();
      }
      case 3 -> n.freeze();
      default ->
          t.cluster.storageNodes.forEach(
              o -> {
                if (o != n) {
                  t.cluster.world.network.partition(n.address, o.address);
                }
              });
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {21, 22, 23, 24})
  void allLosePowerAndNothingAcceptedIsLost(long seed) {
    Tier t = new Tier(seed, 5, 2);
    t.cluster.world.run(2 * SECOND_MICROS);
    t.cluster.nodes.forEach(SimulatedNode::losePower);
    t.cluster.world.run(SECOND_MICROS);
    t.settle();
  }

  @ParameterizedTest
  @ValueSource(longs = {31, 32, 33})
  void retiredMachineIsEmptiedAndNothingRunsAgain(long seed) {
    Tier t = new Tier(seed, 6, 2);
    t.checker.requiresSingleExecution = true;
    String name = "s" + (seed % 3 + 1) + ":1";
    SimulatedNode edge = t.cluster.coreNodes.get(0);
    long[] status = {0};
    edge.agent.ask(
        new WireRecord("ask").with("op", "retire").with("node", name),
        SECOND_MICROS,
        250_000,
        r -> status[0] = r == null ? 0 : r.number("status"));
    boolean[] done = {false};
    for (int i = 0; i < 40 && !done[0]; i++) {
      t.cluster.world.run(250_000);
      edge.agent.ask(
          new WireRecord("ask").with("op", "retired").with("node", name),
          SECOND_MICROS,
          250_000,
          r -> done[0] |= r != null && r.truth("done"));
    }
    assertEquals(200, status[0]);
    assertTrue(done[0], () -> "not emptied\n" + t.cluster.recentEvents());
    SimulatedNode gone = t.cluster.node(name);
    gone.losePower();
    t.cluster.storageNodes.remove(gone);
    t.cluster.nodes.remove(gone);
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
    t.checker.requiresSingleExecution = true;
    SimulatedNode s = t.cluster.storageNodes.get((int) (seed % 6));
    for (int i = 0; i < 30 && !s.messageStore.handedOver(); i++) {
      s.perform(s.messageStore::retire);
      t.cluster.world.run(100_000);
    }
    assertTrue(s.messageStore.handedOver(), t.cluster::recentEvents);
    t.cluster.world.run(200_000);
    s.kill();
    t.cluster.world.run(2 * SECOND_MICROS);
    t.settle();
    t.whole();
  }

  @Test
  void tooFewLeftOrUnknownIsSaid() {
    Tier t = new Tier(41, 3, 2);
    long[] status = {0, 0, 0};
    SimulatedNode edge = t.cluster.coreNodes.get(0);
    edge.agent.ask(
        new WireRecord("ask").with("op", "retire").with("node", "s1:1"),
        SECOND_MICROS,
        250_000,
        r -> status[0] = r.number("status"));
    edge.agent.ask(
        new WireRecord("ask").with("op", "retire").with("node", "nobody"),
        SECOND_MICROS,
        250_000,
        r -> status[1] = r.number("status"));
    edge.agent.ask(
        new WireRecord("ask").with("op", "retired").with("node", "s2:1"),
        SECOND_MICROS,
        250_000,
        r -> status[2] = r.number("status"));
    t.cluster.world.run(2 * SECOND_MICROS);
    assertEquals(List.of(409L, 404L, 404L), List.of(status[0], status[1], status[2]));
  }

  @Test
  void addedMachinesTakeTheirPart() {
    Tier t = new Tier(51, 4, 2);
    t.checker.requiresSingleExecution = true;
    for (int i = 5; i <= 6; i++) {
      t.cluster.addStorageNode("s" + i + ":1", t.checker).startWithoutBootstrap();
    }
    t.cluster.world.run(14 * SECOND_MICROS);
    t.settle();
    long held =
        t.cluster.coreNodes.get(0).partitions.values().stream()
            .filter(
                v ->
                    v.members().stream()
                        .anyMatch(m -> GroupConfiguration.addressOf(m).equals("s6:1")))
            .count();
    assertTrue(held >= 8, () -> held + " partitions\n" + t.cluster.recentEvents());
    t.whole();
  }

  /** A deliberate break: disks that answer before they have written must be noticed. */
  @Test
  void checkerNoticesDisksThatAnswerTooSoon() {
    int noticed = 0;
    for (long seed = 61; seed <= 64; seed++) {
      Tier t = new Tier(seed, 4, 2);
      t.cluster.storageNodes.forEach(n -> n.segmentStore.acknowledgesBeforeSync = true);
      t.cluster.world.run(2 * SECOND_MICROS);
      t.cluster.nodes.forEach(SimulatedNode::losePower);
      t.cluster.world.run(SECOND_MICROS);
      try {
        t.settle();
      } catch (AssertionError e) {
        noticed++;
      }
    }
    assertTrue(noticed >= 3, "noticed " + noticed + " of 4");
  }
}
