package org.otterpond.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.otterpond.control.state.WorkerState;
import org.otterpond.protocol.CompressedPayload;
import org.otterpond.protocol.WireRecord;

/**
 * A core machine out of touch for twenty seconds, while everybody goes on asking it: it confirms
 * nothing, refuses nothing and gives out nothing old; the others lead soon; on its return it is
 * soon whole.
 */
class IsolatedCoreMemberTest {
  private static final long SECOND_MICROS = 1_000_000;

  /** From the beginning of the cut until a primary whom the others hear leads. */
  private static final long OTHERS_LEAD = 2_500_000;

  /**
   * An operator waits a second for each answer, and every second try may meet the machine that is
   * cut off.
   */
  private static final long CONFIRMED_AGAIN = OTHERS_LEAD + 2 * SECOND_MICROS;

  private static final long WHOLE_AGAIN = 4 * SECOND_MICROS;

  private SimulatedCluster cluster;
  private long revision;
  private long confirmedAt;
  private long longestGap;
  private boolean ordering = true;
  private SimulatedNode lastAsked;
  private final List<String> wrong = new ArrayList<>();

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
  void nothingOldIsSaidAndTheOthersLead(int disks, int faults, String role) {
    for (String way : List.of("BOTH", "DEAF", "MUTE", "BLIND", "FROZEN")) {
      cutOff(400 + disks, disks, faults, role, way);
    }
  }

  private void cutOff(long seed, int disks, int faults, String role, String way) {
    String name = role + " " + way + " seed=" + seed + " of " + disks;
    cluster = new SimulatedCluster(seed, disks, 4, faults);
    revision = 0;
    ordering = true;
    wrong.clear();
    SimulatedWorld world = cluster.world;
    world.run(9 * SECOND_MICROS);
    assertNotNull(cluster.primary(), cluster::recentEvents);
    confirmedAt = world.now();
    longestGap = 0;
    order();
    beats("w1", 1);
    world.run(2 * SECOND_MICROS);
    assertTrue(revision > 3, () -> name + "\n" + cluster.recentEvents());

    SimulatedNode primary = cluster.primary();
    SimulatedNode victim = victim(primary, role);
    longestGap = 0;
    confirmedAt = world.now();
    long epoch = primary.agent.known().epoch();
    for (SimulatedNode other : cluster.coreNodes) {
      boolean pair =
          way.equals("BLIND")
              && (role.equals("PRIMARY")
                  ? primary.agent.known().rankOf(other.disk.id) != 0
                  : other != primary);
      if (other == victim || way.equals("FROZEN") || pair) {
        continue;
      }
      if (!way.equals("MUTE")) {
        world.network.partitionOneWay(other.address, victim.address);
      }
      if (!way.equals("DEAF")) {
        world.network.partitionOneWay(victim.address, other.address);
      }
    }
    if (way.equals("FROZEN")) {
      victim.freeze();
    }
    long cutAt = world.now();
    long ledAt = 0;
    while (world.now() < cutAt + 20 * SECOND_MICROS) {
      world.run(20_000);
      SimulatedNode leader = cluster.primary();
      if (ledAt == 0
          && leader != null
          && (leader != victim || way.equals("BLIND"))
          && leader.agent.known().epoch() > epoch) {
        ledAt = world.now();
      }
    }
    long took = ledAt - cutAt;
    assertTrue(
        role.equals("WITNESS") || (took > 0 && took < OTHERS_LEAD),
        () -> name + ": led after " + took / 1000 + " ms\n" + cluster.recentEvents());
    assertEquals(List.of(), wrong, () -> name + "\n" + cluster.recentEvents());
    assertTrue(
        longestGap < CONFIRMED_AGAIN && world.now() - confirmedAt < CONFIRMED_AGAIN,
        () ->
            name
                + ": no order was confirmed for "
                + Math.max(longestGap, world.now() - confirmedAt) / 1000
                + " ms\n"
                + cluster.recentEvents());
    world.network.heal();
    victim.resume();
    world.run(WHOLE_AGAIN);
    SimulatedNode leader = cluster.primary();
    assertNotNull(leader, () -> name + "\n" + cluster.recentEvents());
    assertTrue(
        leader.agent.known().hasMember(victim.disk.id),
        () -> name + " is no member\n" + cluster.recentEvents());
    ordering = false;
    world.run(2 * SECOND_MICROS);
    for (SimulatedNode n : cluster.nodes) {
      assertEquals(
          leader.agent.known().epoch(), n.agent.known().epoch(), () -> name + " " + n.address);
      assertEquals(
          revision,
          n.agent.revision(),
          () -> name + " " + n.address + "\n" + cluster.recentEvents());
    }
    assertEquals(List.of(), wrong, () -> name + "\n" + cluster.recentEvents());
    assertEquals(List.of(), cluster.checker.violations, () -> name + "\n" + cluster.recentEvents());
  }

  private SimulatedNode victim(SimulatedNode primary, String role) {
    return cluster.coreNodes.stream()
        .filter(
            d ->
                switch (role) {
                  case "PRIMARY" -> d == primary;
                  case "BACKUP" -> primary.agent.known().rankOf(d.disk.id) == 0;
                  default -> !primary.agent.known().inGroup(d.disk.id);
                })
        .findFirst()
        .orElseThrow();
  }

  /**
   * One operator, who sends each order as it was until an answer is clear, each time to another
   * node.
   */
  private void order() {
    if (!ordering) {
      return;
    }
    long next = revision + 1;
    cluster.checker.writeSent(next);
    send(next);
  }

  private void send(long next) {
    WireRecord order =
        new WireRecord("ask")
            .with("op", "write")
            .with("kind", "replace")
            .with("base", next - 1)
            .with(
                "text",
                CompressedPayload.pack(
                    "{\"revision\":" + next + ",\"route_table\":[],\"service_table\":[]}"));
    SimulatedWorld world = cluster.world;
    SimulatedNode n = cluster.randomRunningNode();
    while (n == lastAsked) {
      n = cluster.randomRunningNode();
    }
    lastAsked = n;
    SimulatedNode asked = n;
    boolean[] done = {false};
    asked.perform(
        () ->
            asked.agent.ask(
                order,
                850_000,
                250_000,
                r -> {
                  int status = r == null ? 0 : (int) r.number("status");
                  if (status == 200 && revision < next) {
                    cluster.checker.writeAcknowledged(next - 1, next);
                    revision = next;
                    longestGap = Math.max(longestGap, world.now() - confirmedAt);
                    confirmedAt = world.now();
                  } else if (status != 200 && status != 0) {
                    wrong.add(
                        world.now() / 1000
                            + " order "
                            + next
                            + " got "
                            + status
                            + ": "
                            + r.text("cause"));
                  }
                  if (status == 200 && !done[0]) {
                    done[0] = true;
                    world.schedule(50_000, this::order);
                  }
                }));
    world.schedule(
        SECOND_MICROS,
        () -> {
          if (!done[0]) {
            done[0] = true;
            if (revision < next) {
              send(next);
            } else {
              world.schedule(50_000, this::order);
            }
          }
        });
    SimulatedNode reader = cluster.randomRunningNode();
    long before = cluster.checker.newestAcknowledged();
    reader.perform(
        () ->
            reader.agent.ask(
                new WireRecord("ask").with("op", "read"),
                850_000,
                250_000,
                r -> {
                  if (r != null) {
                    cluster.checker.readReturned(before, r.number("rev"));
                  }
                }));
  }

  private void beats(String id, long sequence) {
    SimulatedNode n = cluster.randomRunningNode();
    n.perform(
        () ->
            n.agent.beat(SimulatedCluster.worker(id, WorkerState.IN_SERVICE, sequence), ok -> {}));
    cluster.world.schedule(400_000, () -> beats(id, sequence + 1));
  }
}
