package org.otterpond.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.otterpond.replication.GroupConfiguration;
import org.otterpond.replication.UpdateListener;

/**
 * One replica group with its configuration manager, a writer, a reader and a checker of its
 * history. The state is a register: an update writes a number, a query reads the newest.
 */
final class SimulatedReplicaGroup {
  private static final String MANAGER = "manager";
  private static final long PROPOSAL_TIMEOUT_MICROS = 700_000;
  private static final int MAX_NOTICE_MICROS = 300_000;
  private static final long MIN_LATENCY_MICROS = 200;
  private static final int LATENCY_SPREAD_MICROS = 2_000;
  private static final long MIN_WRITE_PAUSE_MICROS = 2_000;
  private static final int WRITE_PAUSE_SPREAD_MICROS = 6_000;
  private static final long MIN_READ_PAUSE_MICROS = 1_000;
  private static final int READ_PAUSE_SPREAD_MICROS = 4_000;
  private static final long SETTLE_MICROS = 12_000_000;

  final SimulatedWorld world;
  final ReplicaHistoryChecker checker;
  final Map<String, SimulatedReplica> members = new LinkedHashMap<>();

  /** Ways on which messages are lost, as sender and recipient. */
  private final Set<String> partitioned = new HashSet<>();

  private final Map<String, Long> lastArrivalMicros = new HashMap<>();
  private final Set<String> lostDisks = new HashSet<>();
  private GroupConfiguration installed;
  private long lastWritten;
  private int disksReplaced;

  /** Whether a write is acknowledged only while the group is fully replicated. */
  boolean writesNeedAllReplicas;

  // Deliberate defects.
  boolean managerTakesAnyVersion;
  boolean disksLie;
  boolean leaseFromTheAnswer;

  SimulatedReplicaGroup(long seed, int count) {
    world = new SimulatedWorld(seed);
    checker = new ReplicaHistoryChecker(world);
    List<String> names = new ArrayList<>();
    for (int i = 1; i <= count; i++) {
      names.add("m" + i + "@a" + i);
    }
    names.forEach(name -> members.put(name, new SimulatedReplica(this, name)));
    installed = new GroupConfiguration(0, 1, names.get(0), names.subList(1, count), names);
    members.values().forEach(SimulatedReplica::start);
    world.schedule(0, this::write);
    world.schedule(0, this::read);
  }

  /** Returns the configuration in force. */
  GroupConfiguration installed() {
    return installed;
  }

  // Network.

  /** Sends one message; it may be lost, and never passes another of its way. */
  void transmit(String from, String to, Runnable arrived) {
    String way = way(from, to);
    long latencyMicros = MIN_LATENCY_MICROS + world.random.nextInt(LATENCY_SPREAD_MICROS);
    long arrivesAtMicros =
        Math.max(world.now() + latencyMicros, lastArrivalMicros.getOrDefault(way, 0L) + 1);
    lastArrivalMicros.put(way, arrivesAtMicros);
    if (partitioned.contains(way) || world.random.nextDouble() < world.network.lossProbability) {
      return;
    }
    world.schedule(
        arrivesAtMicros - world.now(),
        () -> {
          if (!partitioned.contains(way)) {
            arrived.run();
          }
        });
  }

  private static String way(String from, String to) {
    return from + ">" + to;
  }

  void partition(String name, boolean fromManagerToo) {
    for (String other : members.keySet()) {
      partitioned.add(way(other, name));
      partitioned.add(way(name, other));
    }
    if (fromManagerToo) {
      partitioned.add(way(name, MANAGER));
      partitioned.add(way(MANAGER, name));
    }
  }

  void heal() {
    partitioned.clear();
  }

  // Configuration manager.

  /** Proposes a configuration; the outcome is null if no answer came in time. */
  void propose(String proposer, GroupConfiguration next, Consumer<GroupConfiguration> outcome) {
    transmit(
        proposer,
        MANAGER,
        () -> {
          install(next);
          GroupConfiguration inForce = installed;
          transmit(MANAGER, proposer, () -> outcome.accept(inForce));
        });
    world.schedule(PROPOSAL_TIMEOUT_MICROS, () -> outcome.accept(null));
  }

  private void install(GroupConfiguration next) {
    if (managerTakesAnyVersion) {
      installed = next;
    } else {
      Optional<GroupConfiguration> accepted = installed.accept(next, lostDisks::contains);
      if (accepted.isEmpty()) {
        return;
      }
      installed = accepted.get();
    }
    announce();
  }

  private void announce() {
    GroupConfiguration announced = installed;
    for (SimulatedReplica member : members.values()) {
      world.schedule(
          world.random.nextInt(MAX_NOTICE_MICROS),
          () -> member.perform(() -> member.group().learn(announced)));
    }
  }

  // Clients.

  private void write() {
    world.schedule(
        MIN_WRITE_PAUSE_MICROS + world.random.nextInt(WRITE_PAUSE_SPREAD_MICROS), this::write);
    for (SimulatedReplica member : members.values()) {
      if (member.isServing()) {
        long value = ++lastWritten;
        member.perform(
            () ->
                member
                    .group()
                    .update(
                        SimulatedReplica.entry(value),
                        writesNeedAllReplicas,
                        new WriteListener(value)));
      }
    }
  }

  private final class WriteListener implements UpdateListener {
    private final long value;

    WriteListener(long value) {
      this.value = value;
    }

    @Override
    public void committed() {
      checker.acknowledged(value);
    }

    @Override
    public void rejected() {
      // The writer does not try again.
    }

    @Override
    public void undecided() {
      // Later queries may see it or not.
    }
  }

  private void read() {
    world.schedule(
        MIN_READ_PAUSE_MICROS + world.random.nextInt(READ_PAUSE_SPREAD_MICROS), this::read);
    for (SimulatedReplica member : members.values()) {
      long newestBefore = checker.newestAcknowledged();
      member.perform(
          () -> {
            if (member.group().serving()) {
              checker.queried(member.name, member.state(), newestBefore);
            }
          });
    }
  }

  // Checks.

  /** At no moment two replicas would serve. */
  void checkServing() {
    checker.servingAtOnce(servingReplicas());
  }

  private long servingReplicas() {
    return members.values().stream().filter(SimulatedReplica::isServing).count();
  }

  /**
   * Ends a member's process and replaces its disk by an empty one: it is another member then, which
   * is wanted in its place. The manager knows of the loss once the process runs again.
   */
  void loseDisk(SimulatedReplica member) {
    world.logEvent(member.name, "event=disk_lost");
    member.kill(false);
    members.remove(member.name);
    disksReplaced++;
    String address = GroupConfiguration.addressOf(member.name);
    String name = GroupConfiguration.member("n" + disksReplaced, address);
    SimulatedReplica successor = new SimulatedReplica(this, name);
    successor.replacedMember = member.name;
    members.put(name, successor);
  }

  /** The process on an empty disk has begun to run. */
  void diskLossKnown(String lost, String successor) {
    world.logEvent(successor, "event=started_on_empty_disk");
    lostDisks.add(lost);
    installed =
        installed.withWantedMembers(
            installed.wanted().stream().map(name -> name.equals(lost) ? successor : name).toList());
    announce();
  }

  /** Returns the events, the configuration in force and the state of each member. */
  String describe() {
    StringBuilder text = new StringBuilder(String.join("\n", world.eventLog));
    text.append("\n").append(installed).append(" lost disks ").append(lostDisks);
    members.values().forEach(member -> text.append("\n").append(member.describe()));
    return text.toString();
  }

  /** Ends all faults; then one serves, and all members have what was acknowledged. */
  void settle() {
    heal();
    world.network.lossProbability = 0;
    for (SimulatedReplica member : members.values()) {
      member.slowDisk = false;
      member.thaw();
      member.start();
    }
    world.run(SETTLE_MICROS);
    if (servingReplicas() != 1) {
      checker.addViolation(servingReplicas() + " serve in the end");
    }
    for (SimulatedReplica member : members.values()) {
      if (installed.has(member.name)) {
        checker.settled(member.name, member.state(), lastWritten);
      }
    }
  }
}
