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
  private static final long S = 1_000_000;

  /** From the beginning of the cut until a primary whom the others hear leads. */
  private static final long OTHERS_LEAD = 2_500_000;

  /**
   * An operator waits a second for each answer, and every second try may meet the machine that is
   * cut off.
   */
  private static final long CONFIRMED_AGAIN = OTHERS_LEAD + 2 * S;

  private static final long WHOLE_AGAIN = 4 * S;

  private SimulatedCluster fleet;
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
    fleet = new SimulatedCluster(seed, disks, 4, faults);
    revision = 0;
    ordering = true;
    wrong.clear();
    SimulatedWorld world = fleet.world;
    world.run(9 * S);
    assertNotNull(fleet.leader(), fleet::tail);
    confirmedAt = world.now();
    longestGap = 0;
    order();
    beats("w1", 1);
    world.run(2 * S);
    assertTrue(revision > 3, () -> name + "\n" + fleet.tail());

    SimulatedNode primary = fleet.leader();
    SimulatedNode victim = victim(primary, role);
    longestGap = 0;
    confirmedAt = world.now();
    long epoch = primary.node.known().epoch();
    for (SimulatedNode other : fleet.disks) {
      boolean pair =
          way.equals("BLIND")
              && (role.equals("PRIMARY")
                  ? primary.node.known().rankOf(other.disk.id) != 0
                  : other != primary);
      if (other == victim || way.equals("FROZEN") || pair) {
        continue;
      }
      if (!way.equals("MUTE")) {
        world.cutOneWay(other.address, victim.address);
      }
      if (!way.equals("DEAF")) {
        world.cutOneWay(victim.address, other.address);
      }
    }
    if (way.equals("FROZEN")) {
      victim.freeze();
    }
    long cutAt = world.now();
    long ledAt = 0;
    while (world.now() < cutAt + 20 * S) {
      world.run(20_000);
      SimulatedNode leader = fleet.leader();
      if (ledAt == 0
          && leader != null
          && (leader != victim || way.equals("BLIND"))
          && leader.node.known().epoch() > epoch) {
        ledAt = world.now();
      }
    }
    long took = ledAt - cutAt;
    assertTrue(
        role.equals("WITNESS") || took > 0 && took < OTHERS_LEAD,
        () -> name + ": led after " + took / 1000 + " ms\n" + fleet.tail());
    assertEquals(List.of(), wrong, () -> name + "\n" + fleet.tail());
    assertTrue(
        longestGap < CONFIRMED_AGAIN && world.now() - confirmedAt < CONFIRMED_AGAIN,
        () ->
            name
                + ": no order was confirmed for "
                + Math.max(longestGap, world.now() - confirmedAt) / 1000
                + " ms\n"
                + fleet.tail());
    world.heal();
    victim.thaw();
    world.run(WHOLE_AGAIN);
    SimulatedNode leader = fleet.leader();
    assertNotNull(leader, () -> name + "\n" + fleet.tail());
    assertTrue(
        leader.node.known().hasMember(victim.disk.id),
        () -> name + " is no member\n" + fleet.tail());
    ordering = false;
    world.run(2 * S);
    for (SimulatedNode n : fleet.all) {
      assertEquals(
          leader.node.known().epoch(), n.node.known().epoch(), () -> name + " " + n.address);
      assertEquals(revision, n.node.revision(), () -> name + " " + n.address + "\n" + fleet.tail());
    }
    assertEquals(List.of(), wrong, () -> name + "\n" + fleet.tail());
    assertEquals(List.of(), fleet.checker.broken, () -> name + "\n" + fleet.tail());
  }

  private SimulatedNode victim(SimulatedNode primary, String role) {
    return fleet.disks.stream()
        .filter(
            d ->
                switch (role) {
                  case "PRIMARY" -> d == primary;
                  case "BACKUP" -> primary.node.known().rankOf(d.disk.id) == 0;
                  default -> !primary.node.known().inGroup(d.disk.id);
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
    fleet.checker.sent(next);
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
    SimulatedWorld world = fleet.world;
    SimulatedNode n = fleet.anyUp();
    while (n == lastAsked) {
      n = fleet.anyUp();
    }
    lastAsked = n;
    SimulatedNode asked = n;
    boolean[] done = {false};
    asked.perform(
        () ->
            asked.node.ask(
                order,
                850_000,
                250_000,
                r -> {
                  int status = r == null ? 0 : (int) r.number("status");
                  if (status == 200 && revision < next) {
                    fleet.checker.acknowledged(next - 1, next);
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
                    world.at(50_000, this::order);
                  }
                }));
    world.at(
        S,
        () -> {
          if (!done[0]) {
            done[0] = true;
            if (revision < next) {
              send(next);
            } else {
              world.at(50_000, this::order);
            }
          }
        });
    SimulatedNode reader = fleet.anyUp();
    long before = fleet.checker.newestAcknowledged();
    reader.perform(
        () ->
            reader.node.ask(
                new WireRecord("ask").with("op", "read"),
                850_000,
                250_000,
                r -> {
                  if (r != null) {
                    fleet.checker.readBack(before, r.number("rev"));
                  }
                }));
  }

  private void beats(String id, long sequence) {
    SimulatedNode n = fleet.anyUp();
    n.perform(() -> n.node.beat(fleet.worker(id, WorkerState.IN_SERVICE, sequence), ok -> {}));
    fleet.world.at(400_000, () -> beats(id, sequence + 1));
  }
}
