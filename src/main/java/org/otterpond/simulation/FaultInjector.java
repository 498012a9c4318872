package org.otterpond.simulation;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.otterpond.control.state.CoreMember;
import org.otterpond.simulation.SimulatedNetwork.Route;

/**
 * Injects the faults of a schedule and clears each when its time is up. A fault that would impair
 * more machines at once than the budget allows is skipped.
 */
final class FaultInjector {
  private static final String LOG_SOURCE = "fault";
  private static final long MICROS_PER_MILLI = 1000;
  private static final long MIN_POWER_LOSS_MICROS = 100_000;
  private static final int POWER_LOSS_SPREAD_MICROS = 1_500_000;

  private final SimulatedCluster cluster;
  private final SimulatedWorld world;
  private final LinkFaults linkFaults;
  private final FaultBudget coreBudget;

  /** The budget of nodes without a disk: the same as of the core if they have none of their own. */
  private final FaultBudget edgeBudget;

  private int injected;

  /**
   * Creates an injector.
   *
   * @param maxFailures how many machines may be impaired at once
   * @param maxEdgeFailures how many nodes without a disk may be impaired beside them; 0 counts all
   *     machines together
   */
  FaultInjector(SimulatedCluster cluster, int maxFailures, int maxEdgeFailures) {
    this.cluster = cluster;
    this.world = cluster.world;
    this.linkFaults = new LinkFaults(world.network);
    this.coreBudget = new FaultBudget(maxFailures);
    this.edgeBudget = maxEdgeFailures == 0 ? coreBudget : new FaultBudget(maxEdgeFailures);
  }

  /** Schedules all faults, counted from now. */
  void start(List<Fault> faults) {
    for (Fault fault : faults) {
      world.schedule(fault.atMillis() * MICROS_PER_MILLI, () -> begin(fault));
    }
  }

  /** How many faults were injected, and so not skipped. */
  int injected() {
    return injected;
  }

  private void begin(Fault fault) {
    Random random = new Random(fault.seed());
    if (fault.target().equals(Fault.ALL)) {
      injected++;
      log("event=fault_injected kind=" + fault.kind() + " node=all");
      cutAllPower(random);
      return;
    }
    SimulatedNode node = resolveTarget(fault.target(), random);
    if (node == null || !tryReserve(node, fault)) {
      return;
    }
    injected++;
    log(
        "event=fault_injected kind="
            + fault.kind()
            + " node="
            + node.address
            + " duration_ms="
            + fault.durationMillis());
    Runnable clear = inject(fault, node, random);
    world.schedule(
        fault.durationMillis() * MICROS_PER_MILLI,
        () -> {
          log("event=fault_cleared kind=" + fault.kind() + " node=" + node.address);
          clear.run();
        });
  }

  private void log(String line) {
    world.logEvent(LOG_SOURCE, line);
  }

  private boolean tryReserve(SimulatedNode node, Fault fault) {
    FaultBudget budget = node.disk != null ? coreBudget : edgeBudget;
    return budget.tryReserve(node.address, world.now(), fault.durationMillis() * MICROS_PER_MILLI);
  }

  private SimulatedNode resolveTarget(String target, Random random) {
    SimulatedNode primary = cluster.primary();
    if (target.equals(Fault.PRIMARY)) {
      return primary != null ? primary : randomCoreNode(random);
    }
    if (target.equals(Fault.BACKUP)) {
      if (primary == null || primary.agent.known().backups().isEmpty()) {
        return randomCoreNode(random);
      }
      List<CoreMember> backups = primary.agent.known().backups();
      return cluster.node(backups.get(random.nextInt(backups.size())).address());
    }
    return cluster.node(target);
  }

  private SimulatedNode randomCoreNode(Random random) {
    return cluster.coreNodes.get(random.nextInt(cluster.coreNodes.size()));
  }

  /** Injects the fault and returns the task that clears it. */
  private Runnable inject(Fault fault, SimulatedNode node, Random random) {
    return switch (fault.kind()) {
      case KILL -> {
        node.kill();
        world.network.closeConnections(node.address);
        yield node::start;
      }
      case POWER -> {
        node.losePower();
        yield node::start;
      }
      case WIPE -> {
        node.losePower();
        if (node.disk != null) {
          node.disk.wipe();
        }
        yield node::start;
      }
      case FREEZE -> {
        node.freeze();
        boolean socketsFirst = random.nextBoolean();
        yield () -> node.resume(socketsFirst, random);
      }
      case DISK -> impairDisk(node.disk, random);
      case CUT, HOLD, ONE_WAY -> impairNetwork(fault, node, random);
    };
  }

  private static Runnable impairDisk(SimulatedDisk disk, Random random) {
    if (disk == null) {
      return () -> {};
    }
    if (random.nextBoolean()) {
      disk.stalled = true;
    } else {
      disk.failsWrites = true;
    }
    return () -> {
      disk.stalled = false;
      disk.failsWrites = false;
    };
  }

  private void cutAllPower(Random random) {
    coreBudget.allLostPower(world.now() + MIN_POWER_LOSS_MICROS + POWER_LOSS_SPREAD_MICROS);
    for (SimulatedNode node : cluster.nodes) {
      node.losePower();
      world.schedule(MIN_POWER_LOSS_MICROS + random.nextInt(POWER_LOSS_SPREAD_MICROS), node::start);
    }
  }

  /**
   * Separates the node from others. Mostly these are all nodes but some without a disk, which are
   * on the node's side as far as the budget allows; at times only a few.
   */
  private Runnable impairNetwork(Fault fault, SimulatedNode node, Random random) {
    Set<String> side = new HashSet<>(Set.of(node.address));
    Set<String> others = new HashSet<>();
    boolean fromFewOnly = random.nextInt(3) == 0;
    for (SimulatedNode other : cluster.nodes) {
      if (other == node) {
        continue;
      }
      if (!fromFewOnly
          && other.disk == null
          && random.nextInt(3) == 0
          && tryReserve(other, fault)) {
        side.add(other.address);
      } else if (!fromFewOnly || random.nextInt(3) > 0) {
        others.add(other.address);
      }
    }
    boolean outbound = random.nextBoolean();
    boolean oneWay = fault.kind() == Fault.Kind.ONE_WAY;
    List<Route> routes = routes(side, others, !oneWay || outbound, !oneWay || !outbound);
    boolean buffers = fault.kind() == Fault.Kind.HOLD || (oneWay && random.nextBoolean());
    if (buffers) {
      linkFaults.interrupt(routes);
      return () -> linkFaults.resume(routes, random);
    }
    linkFaults.partition(routes);
    return () -> linkFaults.heal(routes);
  }

  /** The routes between two sides, outbound from the first and inbound to it. */
  private List<Route> routes(
      Set<String> side, Set<String> others, boolean outbound, boolean inbound) {
    List<Route> routes = new ArrayList<>();
    for (SimulatedNode from : cluster.nodes) {
      for (SimulatedNode to : cluster.nodes) {
        boolean out = side.contains(from.address) && others.contains(to.address);
        boolean in = others.contains(from.address) && side.contains(to.address);
        if ((out && outbound) || (in && inbound)) {
          routes.add(new Route(from.address, to.address));
        }
      }
    }
    return routes;
  }
}
