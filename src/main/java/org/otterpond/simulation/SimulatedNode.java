package org.otterpond.simulation;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import org.otterpond.config.GatewayConfiguration;
import org.otterpond.control.agent.ControlPlaneAgent;
import org.otterpond.control.agent.NodeIdentity;
import org.otterpond.control.primary.ControlPlaneSettings;
import org.otterpond.control.state.FaultTolerance;
import org.otterpond.control.state.WorkerInstance;
import org.otterpond.keyrange.KeyRangeTable;
import org.otterpond.messaging.MessageStore;
import org.otterpond.messaging.MessageStoreSettings;
import org.otterpond.protocol.WireRecord;
import org.otterpond.replication.GroupConfiguration;
import org.otterpond.replication.ReplicaGroupTimeouts;

/**
 * One machine and the life cycle of the process on it, which runs the same state machines as the
 * production server.
 */
final class SimulatedNode {
  private static final long NODE_LEASE_MICROS = 1_500_000;
  private static final MessageStoreSettings MESSAGE_STORE_SETTINGS =
      new MessageStoreSettings(300_000_000, 30_000_000, 100_000, ReplicaGroupTimeouts.standard());

  private final SimulatedWorld world;
  private final InvariantChecker checker;
  private final List<String> seeds;
  final String address;
  String zone = "z";

  /** Decides only the latency to other nodes. */
  String region = "r";

  /** The disk of a core node, null on all others. */
  final SimulatedDisk disk;

  /** The disk of a storage node, null on all others. */
  SimulatedSegmentStore segmentStore;

  FaultTolerance faultTolerance;

  /** Whether the node may take part in the bootstrap of the core. */
  private boolean firstStart = true;

  /** Whether the machine has no power, so that not even a refused connection comes back. */
  private boolean poweredOff;

  /** Whether a message of the node to itself skips the network, as in the production server. */
  boolean localDelivery;

  /** How far the time of day of this machine is off; a clock that jumps changes it. */
  long clockErrorMicros;

  /** The least time that work off the owner thread takes, in microseconds. */
  long backgroundWorkMicros;

  /** Notified of every configuration that becomes active on this node. */
  Consumer<GatewayConfiguration> onConfigured = configuration -> {};

  /** Checks the deliveries of a storage node. */
  MessageInvariantChecker messageChecker;

  /** The workers that this node calls as owner of their key ranges, or null. */
  SimulatedWorkers keyRangeWorkers;

  private SimulatedRuntime runtime;

  /** The state machine of the running process, null while there is none. */
  ControlPlaneAgent agent;

  MessageStore messageStore;
  GatewayConfiguration configuration;
  final Map<String, WorkerInstance> workers = new HashMap<>();
  final KeyRangeTable keyRanges = new KeyRangeTable();
  final Map<Integer, GroupConfiguration> partitions = new HashMap<>();

  /**
   * Creates a machine whose process does not run yet.
   *
   * @param disk the disk of a core node, or null
   * @param seeds the addresses at which a new node looks for the core
   * @param maxFailures how many machines may fail at once
   */
  SimulatedNode(
      SimulatedCluster cluster,
      String address,
      SimulatedDisk disk,
      List<String> seeds,
      int maxFailures) {
    this.world = cluster.world;
    this.checker = cluster.checker;
    this.address = address;
    this.disk = disk;
    this.seeds = seeds;
    this.faultTolerance = FaultTolerance.ofMachines(maxFailures);
  }

  /** Whether a process runs, even if it is frozen. */
  boolean isRunning() {
    return agent != null;
  }

  boolean isFrozen() {
    return isRunning() && runtime.isFrozen();
  }

  /** Whether the process runs and takes itself for the primary. */
  boolean isPrimary() {
    return isRunning() && !isFrozen() && agent.leading();
  }

  /** Whether the machine has power but no process, so that a sender's connection is refused. */
  boolean refusesConnections() {
    return !isRunning() && !poweredOff;
  }

  /** Starts the process, or does nothing if it runs. */
  void start() {
    if (isRunning()) {
      return;
    }
    poweredOff = false;
    runtime = new SimulatedRuntime(world, this, checker);
    workers.clear();
    partitions.clear();
    configuration = null;
    startAgent();
    if (segmentStore != null) {
      startMessageStore();
    }
    agent.start();
  }

  private void startAgent() {
    long incarnation = world.random.nextLong() >>> 1;
    boolean emptyDisk = disk != null && disk.isEmpty();
    checker.processStarted(incarnation);
    NodeIdentity identity =
        new NodeIdentity(
            address,
            address,
            zone,
            disk == null ? null : disk.id,
            emptyDisk,
            firstStart,
            seeds,
            incarnation,
            segmentStore == null ? null : segmentStore.id);
    agent =
        new ControlPlaneAgent(
            runtime,
            identity,
            new SimulatedDataPlane(this, checker, incarnation, runtime::perform),
            new ControlPlaneSettings(
                NODE_LEASE_MICROS,
                InvariantChecker.KEY_RETENTION_MICROS,
                faultTolerance,
                TenantClients.QUOTA));
    if (disk != null && !emptyDisk) {
      agent.replay(disk.read());
    }
    firstStart = false;
  }

  private void startMessageStore() {
    SimulatedDelivery delivery = new SimulatedDelivery(world, messageChecker, runtime::perform);
    messageStore =
        new MessageStore(
            runtime,
            GroupConfiguration.member(segmentStore.id, address),
            segmentStore.attach(runtime::perform),
            MESSAGE_STORE_SETTINGS,
            delivery);
    delivery.messageStore = messageStore;
    messageStore.fit(agent);
    segmentStore.read().forEach((offset, record) -> messageStore.replay(record, offset));
    messageStore.start();
  }

  /** Starts a machine that was added later and so never takes part in the bootstrap. */
  void startWithoutBootstrap() {
    firstStart = false;
    start();
  }

  /** Kills the process; what it has written stays on the disk. */
  void kill() {
    if (!isRunning()) {
      return;
    }
    endProcess();
    if (disk != null) {
      disk.processKilled();
    }
    if (segmentStore != null) {
      segmentStore.processKilled();
    }
  }

  /** Cuts the power: the process ends, and writes that were not synced may be lost. */
  void losePower() {
    poweredOff = true;
    if (disk != null) {
      disk.losePower();
    }
    if (segmentStore != null) {
      segmentStore.losePower();
    }
    if (isRunning()) {
      endProcess();
    }
  }

  private void endProcess() {
    runtime.kill();
    agent = null;
  }

  /** Stops the process until it is resumed. */
  void freeze() {
    if (isRunning()) {
      runtime.freeze();
    }
  }

  /** Resumes a frozen process, which finds everything in the order of its arrival. */
  void resume() {
    if (isRunning()) {
      runtime.resume();
    }
  }

  /** Resumes a frozen process, which reads its sockets before its timers or after them. */
  void resume(boolean socketsFirst, Random random) {
    if (isFrozen()) {
      runtime.resume(socketsFirst, random);
    }
  }

  /** Runs a task on the owner thread of the process, if there is one. */
  void perform(Runnable task) {
    perform(null, task);
  }

  /** Runs a task that a caller's own connection brings. */
  void perform(String connection, Runnable task) {
    if (isRunning()) {
      runtime.perform(connection, task);
    }
  }

  /** Hands a message from another node to the process. */
  void deliver(String from, WireRecord message) {
    perform(from, () -> agent.onMessage(from, message));
  }

  /** Notifies the process that a connection to another node could not be opened. */
  void peerLost(String peer) {
    peerLost(peer, true);
  }

  /**
   * Notifies the process that a connection to another node is lost.
   *
   * @param neverOpened whether it could not be opened, or else was closed by the other node
   */
  void peerLost(String peer, boolean neverOpened) {
    perform(peer, () -> agent.peerLost(peer, neverOpened));
  }

  /** Reports this node to the checker if it takes itself for the primary. */
  void reportPrimary(InvariantChecker observer) {
    if (agent != null && agent.leading()) {
      observer.primaryObserved(address, agent.known().epoch());
    }
  }
}
