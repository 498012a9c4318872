package org.otterpond.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import org.otterpond.config.Tenant;

/**
 * Plays one schedule: founds a fleet, lets operators, clients and workers call, strikes, heals and
 * judges.
 */
final class Simulation {
  private static final long S = 1_000_000;
  private static final long FOUNDING = 9 * S;
  private static final long HEALING = 6 * S;
  private static final long LAST_CALLS = 8 * S;

  /** Where there are three zones, one of them is far away. */
  private static final int FAR = 3;

  private static final int FEW_CHANGES = 40;
  private static final double ANSWERS_LOST = 0.25;

  private final Schedule schedule;
  private final SimulatedCluster fleet;
  private final SimulatedWorld world;
  private final OperationHistory history;
  private final OperatorClient operators;
  private final ConcurrentOperators races;
  private final KeyLockClients claims;
  private final WorkerLifecycleClients workers;
  private final FaultInjector faults;
  private final List<String> breaches = new ArrayList<>();

  Simulation(Schedule schedule) {
    this.schedule = schedule;
    fleet =
        new SimulatedCluster(schedule.seed(), schedule.core(), schedule.edge(), schedule.faults());
    world = fleet.world;
    history = new OperationHistory(world::now);
    // Their own draws: a fault more or less does not change what they call next.
    operators =
        new OperatorClient(
            fleet,
            history,
            new Random(schedule.seed() + 1),
            ANSWERS_LOST,
            schedule.storm() ? Integer.MAX_VALUE : FEW_CHANGES);
    races =
        new ConcurrentOperators(
            fleet, operators, new Random(schedule.seed() + 2), schedule.storm());
    claims = new KeyLockClients(fleet, operators, new Random(schedule.seed() + 3));
    workers = new WorkerLifecycleClients(fleet, operators, new Random(schedule.seed() + 4));
    faults = new FaultInjector(fleet, schedule.faults(), schedule.edgeFaults());
    for (int i = 0; i < fleet.all.size(); i++) {
      SimulatedNode n = fleet.all.get(i);
      n.zone = schedule.zones() < 2 ? n.zone : "z" + i % schedule.zones();
      n.region = i % FAR == FAR - 1 && schedule.zones() == FAR ? "far" : n.region;
      n.selfAtOnce = true;
      n.onConfigured =
          c ->
              history.served(
                  n.address, c.revision(), c.tenants().stream().map(Tenant::name).toList());
      if (n.disk == null) {
        world.width(n.address, schedule.width());
      }
    }
  }

  /** The same with something broken on purpose, once the core is founded. */
  ScheduleOutcome run(Consumer<SimulatedCluster> breakage) {
    world.run(FOUNDING);
    if (fleet.leader() == null) {
      breaches.add("liveness: no core was founded");
      return outcome();
    }
    breakage.accept(fleet);
    races.start();
    claims.start();
    workers.start();
    faults.play(schedule.entries());
    world.run(schedule.seconds() * S);
    races.stop();
    claims.stop();
    workers.stop();
    world.run(longestFault());
    fleet.all.forEach(SimulatedNode::start);
    world.run(HEALING);
    operators.settle();
    world.run(LAST_CALLS);
    last();
    judge();
    return outcome();
  }

  ScheduleOutcome run() {
    return run(f -> {});
  }

  /** All faults end by themselves; nothing more than time is needed. */
  private long longestFault() {
    long end = schedule.seconds() * 1000L;
    for (Fault f : schedule.entries()) {
      end = Math.max(end, f.atMillis() + f.forMillis());
    }
    return (end - schedule.seconds() * 1000L) * 1000 + 2 * S;
  }

  /** All is well: a change is taken, every node has it, and reads show it. */
  private void last() {
    operators.read();
    world.run(S);
    int before = operators.confirmed;
    races.alone();
    world.run(3 * S);
    for (int i = 0; i < 4; i++) {
      operators.read();
      world.run(S / 2);
    }
    if (fleet.leader() == null) {
      breaches.add("liveness: no primary at the end");
    } else if (operators.confirmed == before) {
      breaches.add("liveness: no change is taken at the end");
    }
    for (SimulatedNode n : fleet.all) {
      if (n.up() && n.node.revision() != operators.seen()) {
        breaches.add(
            "liveness: "
                + n.address
                + " has revision "
                + n.node.revision()
                + " in force, not "
                + operators.seen());
      }
    }
  }

  private void judge() {
    fleet.checker.broken.forEach(b -> breaches.add("rules: " + b));
    workers.forgotten().forEach(w -> breaches.add("leaving: acknowledged and forgotten: " + w));
    LinearizabilityChecker checker = new LinearizabilityChecker(history.operations);
    switch (checker.verdict()) {
      case VIOLATED -> breaches.add("history: " + checker.explain());
      case UNDECIDED -> breaches.add("undecided: too many orders of unknown fate");
      default -> {}
    }
  }

  private ScheduleOutcome outcome() {
    return new ScheduleOutcome(
        List.copyOf(breaches),
        history.operations.size(),
        operators.confirmed,
        operators.refused,
        fleet.checker.grants,
        workers.leavings(),
        faults.played().size(),
        List.copyOf(world.log));
  }
}
