package org.otterpond.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import org.otterpond.config.Tenant;

/**
 * Runs one schedule: bootstraps a cluster, lets operators, clients and workers send requests while
 * faults are injected, waits for the recovery, and checks everything that was observed.
 */
final class Simulation {
  private static final long SECOND_MICROS = 1_000_000;
  private static final long BOOTSTRAP_MICROS = 9 * SECOND_MICROS;
  private static final long RECOVERY_MICROS = 6 * SECOND_MICROS;
  private static final long SETTLING_MICROS = 8 * SECOND_MICROS;
  private static final int KEY_PAUSE_SPREAD_MICROS = 40_000;

  /** With so many zones, the last one is in another region. */
  private static final int ZONES_WITH_REMOTE_REGION = 3;

  /** Outside a write storm a write is not sent again after more confirmed changes than that. */
  private static final int MAX_CHANGES_BETWEEN = 40;

  private static final double ANSWER_LOSS = 0.25;

  private final Schedule schedule;
  private final SimulatedCluster cluster;
  private final SimulatedWorld world;
  private final OperationHistory history;
  private final OperatorClient operatorClient;
  private final ConcurrentOperators operators;
  private final KeyLockClients keyLocks;
  private final WorkerLifecycleClients workers;
  private final FaultInjector faults;
  private final List<Violation> violations = new ArrayList<>();

  /** Prepares the run; nothing happens before {@link #run()}. */
  Simulation(Schedule schedule) {
    this.schedule = schedule;
    cluster =
        new SimulatedCluster(
            schedule.seed(), schedule.coreSize(), schedule.edgeSize(), schedule.maxFailures());
    world = cluster.world;
    history = new OperationHistory(world::now);
    // Each client has its own random numbers, so that another fault does not change what they send.
    operatorClient =
        new OperatorClient(
            cluster,
            history,
            clientRandom(1),
            ANSWER_LOSS,
            schedule.writeStorm() ? Integer.MAX_VALUE : MAX_CHANGES_BETWEEN);
    operators =
        new ConcurrentOperators(cluster, operatorClient, clientRandom(2), schedule.writeStorm());
    keyLocks =
        new KeyLockClients(cluster, operatorClient, clientRandom(3), KEY_PAUSE_SPREAD_MICROS);
    workers = new WorkerLifecycleClients(cluster, operatorClient, clientRandom(4));
    faults = new FaultInjector(cluster, schedule.maxFailures(), schedule.maxEdgeFailures());
    for (int i = 0; i < cluster.nodes.size(); i++) {
      prepare(cluster.nodes.get(i), i);
    }
  }

  private Random clientRandom(int client) {
    return new Random(schedule.seed() + client);
  }

  private void prepare(SimulatedNode node, int index) {
    int zones = schedule.zones();
    if (zones > 1) {
      node.zone = "z" + index % zones;
    }
    if (zones == ZONES_WITH_REMOTE_REGION && index % zones == zones - 1) {
      node.region = "far";
    }
    node.localDelivery = true;
    node.onConfigured =
        configuration -> {
          List<String> markers = configuration.tenants().stream().map(Tenant::name).toList();
          history.activated(node.address, configuration.revision(), markers);
        };
    if (node.disk == null) {
      world.network.limitBandwidth(node.address, schedule.edgeBytesPerSecond());
    }
  }

  /** Runs the schedule and checks the run. */
  ScheduleOutcome run() {
    return run(unchanged -> {});
  }

  /**
   * Runs the schedule with a defect, to test that the checks find it.
   *
   * @param plantDefect changes the cluster once it is bootstrapped
   */
  ScheduleOutcome run(Consumer<SimulatedCluster> plantDefect) {
    world.run(BOOTSTRAP_MICROS);
    if (cluster.primary() == null) {
      addViolation(Violation.Kind.LIVENESS, "the core was not bootstrapped");
      return outcome();
    }
    plantDefect.accept(cluster);
    runClientsAndFaults();
    recover();
    checkLiveness();
    checkSafety();
    return outcome();
  }

  private void runClientsAndFaults() {
    operators.start();
    keyLocks.start();
    workers.start();
    faults.start(schedule.faults());
    world.run(schedule.seconds() * SECOND_MICROS);
    operators.stop();
    keyLocks.stop();
    workers.stop();
  }

  /** All faults end by themselves, so the recovery takes nothing but time. */
  private void recover() {
    world.run(remainingFaultMicros() + 2 * SECOND_MICROS);
    cluster.nodes.forEach(SimulatedNode::start);
    world.run(RECOVERY_MICROS);
    operatorClient.settle();
    world.run(SETTLING_MICROS);
  }

  private long remainingFaultMicros() {
    long clientsEndMillis = schedule.seconds() * 1000L;
    long lastMillis = clientsEndMillis;
    for (Fault fault : schedule.faults()) {
      lastMillis = Math.max(lastMillis, fault.atMillis() + fault.durationMillis());
    }
    return (lastMillis - clientsEndMillis) * 1000;
  }

  /** Without faults a write must be confirmed, read back and activated by every node. */
  private void checkLiveness() {
    operatorClient.read();
    world.run(SECOND_MICROS);
    final int confirmedBefore = operatorClient.confirmed;
    operators.writeAlone();
    world.run(3 * SECOND_MICROS);
    for (int i = 0; i < 4; i++) {
      operatorClient.read();
      world.run(SECOND_MICROS / 2);
    }
    if (cluster.primary() == null) {
      addViolation(Violation.Kind.LIVENESS, "no primary at the end");
    } else if (operatorClient.confirmed == confirmedBefore) {
      addViolation(Violation.Kind.LIVENESS, "no write is confirmed at the end");
    }
    for (SimulatedNode node : cluster.nodes) {
      checkUpToDate(node);
    }
  }

  private void checkUpToDate(SimulatedNode node) {
    long newest = operatorClient.newestSeen();
    if (node.isRunning() && node.agent.revision() != newest) {
      addViolation(
          Violation.Kind.LIVENESS,
          node.address + " has revision " + node.agent.revision() + " active, not " + newest);
    }
  }

  private void checkSafety() {
    for (String violation : cluster.checker.violations) {
      addViolation(Violation.Kind.INVARIANT, violation);
    }
    for (String worker : workers.forgottenDrains()) {
      addViolation(Violation.Kind.DRAIN, "acknowledged and forgotten: " + worker);
    }
    LinearizabilityChecker checker = new LinearizabilityChecker(history.operations());
    switch (checker.verdict()) {
      case VIOLATED -> addViolation(Violation.Kind.LINEARIZABILITY, checker.explain());
      case UNDECIDED ->
          addViolation(Violation.Kind.UNDECIDED, "too many writes of unknown outcome");
      default -> {
        // The history is linearizable, as it must be.
      }
    }
  }

  private void addViolation(Violation.Kind kind, String description) {
    violations.add(new Violation(kind, description));
  }

  private ScheduleOutcome outcome() {
    return new ScheduleOutcome(
        List.copyOf(violations),
        history.operations().size(),
        operatorClient.confirmed,
        operatorClient.rejected,
        cluster.checker.keyGrants,
        workers.acknowledgedDrains(),
        faults.injected(),
        List.copyOf(world.eventLog));
  }
}
