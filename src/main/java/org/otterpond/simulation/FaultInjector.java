package org.otterpond.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * Brings a schedule's faults about and ends each; one that would lose more machines at once than
 * allowed is left out.
 */
final class FaultInjector {
  private static final int ALL_POWER_BACK = 1_500_000;

  private final SimulatedCluster fleet;
  private final SimulatedWorld world;
  private final FaultBudget losses;

  /** Of machines without a disk; the same if they have no bound of their own. */
  private final FaultBudget edgeLosses;

  /** How many faults keep a way cut, or held. */
  private final Map<String, Integer> cuts = new HashMap<>();

  private final Map<String, Integer> holds = new HashMap<>();
  private final List<Fault> played = new ArrayList<>();

  FaultInjector(SimulatedCluster fleet, int faults, int edgeFaults) {
    this.fleet = fleet;
    this.world = fleet.world;
    this.losses = new FaultBudget(faults);
    this.edgeLosses = edgeFaults == 0 ? losses : new FaultBudget(edgeFaults);
  }

  void play(List<Fault> entries) {
    entries.forEach(f -> world.at(f.atMillis() * 1000, () -> begin(f)));
  }

  /** Those that were not left out. */
  List<Fault> played() {
    return played;
  }

  private void begin(Fault f) {
    Random chance = new Random(f.chance());
    if (f.machine().equals(Fault.ALL)) {
      played.add(f);
      world.event("fault", "event=fault kind=" + f.kind() + " machine=all");
      allLosePower(chance);
      return;
    }
    SimulatedNode machine = machine(f, chance);
    if (machine == null || !take(machine, f)) {
      return;
    }
    played.add(f);
    world.event(
        "fault",
        "event=fault kind="
            + f.kind()
            + " machine="
            + machine.address
            + " for_ms="
            + f.forMillis());
    Runnable end = strike(f, machine, chance);
    world.at(
        f.forMillis() * 1000,
        () -> {
          world.event(
              "fault", "event=fault_ended kind=" + f.kind() + " machine=" + machine.address);
          end.run();
        });
  }

  private boolean take(SimulatedNode machine, Fault f) {
    return (machine.disk != null ? losses : edgeLosses)
        .take(machine.address, world.now(), f.forMillis() * 1000);
  }

  private SimulatedNode machine(Fault f, Random chance) {
    SimulatedNode primary = fleet.leader();
    if (f.machine().equals(Fault.PRIMARY)) {
      return primary != null ? primary : fleet.disks.get(chance.nextInt(fleet.disks.size()));
    }
    if (f.machine().equals(Fault.BACKUP)) {
      if (primary == null || primary.node.known().backups().isEmpty()) {
        return fleet.disks.get(chance.nextInt(fleet.disks.size()));
      }
      var backups = primary.node.known().backups();
      return world.nodes.get(backups.get(chance.nextInt(backups.size())).address());
    }
    return world.nodes.get(f.machine());
  }

  /** Begins the fault; what is given back ends it. */
  private Runnable strike(Fault f, SimulatedNode m, Random chance) {
    switch (f.kind()) {
      case KILL -> {
        m.kill();
        world.processEnded(m.address);
      }
      case POWER -> m.losePower();
      case WIPE -> {
        m.losePower();
        if (m.disk != null) {
          m.disk.wipe();
        }
      }
      case FREEZE -> {
        m.freeze();
        boolean socketsFirst = chance.nextBoolean();
        return () -> m.thaw(socketsFirst, chance);
      }
      case DISK -> {
        return disk(m.disk, chance);
      }
      default -> {
        return cut(f, m, chance);
      }
    }
    return m::start;
  }

  private static Runnable disk(SimulatedDisk disk, Random chance) {
    if (disk == null) {
      return () -> {};
    }
    if (chance.nextBoolean()) {
      disk.stalled = true;
    } else {
      disk.refusing = true;
    }
    return () -> {
      disk.stalled = false;
      disk.refusing = false;
    };
  }

  private void allLosePower(Random chance) {
    losses.allLostPower(world.now() + 100_000 + ALL_POWER_BACK);
    for (SimulatedNode n : fleet.all) {
      n.losePower();
      world.at(100_000 + chance.nextInt(ALL_POWER_BACK), n::start);
    }
  }

  /**
   * Parts the machine, with as many of those without a disk as may be lost too, from the others or,
   * at times, from a few only.
   */
  private Runnable cut(Fault f, SimulatedNode m, Random chance) {
    Set<String> side = new HashSet<>(Set.of(m.address));
    boolean few = chance.nextInt(3) == 0;
    Set<String> others = new HashSet<>();
    for (SimulatedNode n : fleet.all) {
      if (n == m) {
        continue;
      }
      if (!few && n.disk == null && chance.nextInt(3) == 0 && take(n, f)) {
        side.add(n.address);
      } else if (!few || chance.nextInt(3) > 0) {
        others.add(n.address);
      }
    }
    boolean outwards = chance.nextBoolean();
    List<String[]> ways = new ArrayList<>();
    for (SimulatedNode a : fleet.all) {
      for (SimulatedNode b : fleet.all) {
        boolean out = side.contains(a.address) && others.contains(b.address);
        boolean in = others.contains(a.address) && side.contains(b.address);
        if (f.kind() == Fault.Kind.ONE_WAY ? outwards ? out : in : out || in) {
          ways.add(new String[] {a.address, b.address});
        }
      }
    }
    boolean holds =
        f.kind() == Fault.Kind.HOLD || f.kind() == Fault.Kind.ONE_WAY && chance.nextBoolean();
    ways.forEach(w -> close(w[0], w[1], holds));
    return () -> ways.forEach(w -> open(w[0], w[1], holds, chance));
  }

  private void close(String from, String to, boolean hold) {
    if ((hold ? holds : cuts).merge(from + ">" + to, 1, Integer::sum) == 1) {
      if (hold) {
        world.hold(from, to);
      } else {
        world.cutOneWay(from, to);
      }
    }
  }

  private void open(String from, String to, boolean hold, Random chance) {
    if ((hold ? holds : cuts).merge(from + ">" + to, -1, Integer::sum) == 0) {
      if (hold) {
        world.release(from, to, chance);
      } else {
        world.healOneWay(from, to);
      }
    }
  }
}
