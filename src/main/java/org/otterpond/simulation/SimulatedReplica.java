package org.otterpond.simulation;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;
import org.otterpond.protocol.WireRecordCodec;
import org.otterpond.replication.GroupConfiguration;
import org.otterpond.replication.ReplicaGroup;
import org.otterpond.replication.ReplicaGroupRuntime;
import org.otterpond.replication.ReplicaGroupTimeouts;
import org.otterpond.replication.StateMachine;

/** One machine of a simulated replica group: its process, its disk and its state. */
final class SimulatedReplica implements ReplicaGroupRuntime, StateMachine {
  private static final ReplicaGroupTimeouts TIMEOUTS = ReplicaGroupTimeouts.standard();
  private static final long TICK_MICROS = 50_000;
  private static final long DISK_MICROS = 800;
  private static final long SLOW_DISK_MICROS = 2_000_000;
  private static final String VALUE = "value";

  final String name;
  private final SimulatedReplicaGroup cluster;
  private final SimulatedWorld world;
  private final List<byte[]> log = new ArrayList<>();
  private int durableRecords;
  private long diskFreeAtMicros;

  /** Set by faults. */
  boolean slowDisk;

  boolean frozen;

  /** The member whose lost disk this one's replaces, until the process has run; or null. */
  String replacedMember;

  private ReplicaGroup group;
  private int incarnation;
  private boolean running;
  private final List<Runnable> whileFrozen = new ArrayList<>();
  private final List<Long> applied = new ArrayList<>();

  /** During a refresh: the values that nothing has replaced yet. */
  private final Set<Long> outdated = new HashSet<>();

  SimulatedReplica(SimulatedReplicaGroup cluster, String name) {
    this.cluster = cluster;
    this.world = cluster.world;
    this.name = name;
  }

  boolean isRunning() {
    return running;
  }

  boolean isServing() {
    return running && !frozen && group.serving();
  }

  List<Long> state() {
    return applied;
  }

  String describe() {
    return name + " running=" + running + " frozen=" + frozen + " " + group;
  }

  ReplicaGroup group() {
    return group;
  }

  static WireRecord entry(long value) {
    return new WireRecord("set").with(VALUE, value);
  }

  // Life cycle and faults.

  void start() {
    if (running) {
      return;
    }
    running = true;
    if (replacedMember != null) {
      cluster.diskLossKnown(replacedMember, name);
      replacedMember = null;
    }
    incarnation++;
    clear();
    group = new ReplicaGroup(0, name, this, TIMEOUTS, this);
    for (int i = 0; i < log.size(); i++) {
      group.replay(decode(log.get(i)), i, now());
    }
    group.replayed();
    perform(() -> group.learn(cluster.installed()));
    scheduleTick(incarnation);
  }

  private void scheduleTick(int ofIncarnation) {
    world.schedule(TICK_MICROS, () -> perform(ofIncarnation, () -> tick(ofIncarnation)));
  }

  private void tick(int ofIncarnation) {
    group.tick();
    GroupConfiguration configuration = group.view();
    if (configuration != null && configuration.primary().equals(name)) {
      long sentAtMicros = world.now();
      configuration
          .secondaries()
          .forEach(
              secondary ->
                  sendBeacon(secondary, configuration.version(), group.committed(), sentAtMicros));
    }
    scheduleTick(ofIncarnation);
  }

  private void sendBeacon(String recipient, long version, long point, long sentAtMicros) {
    SimulatedReplica secondary = cluster.members.get(recipient);
    if (secondary == null) {
      return; // Its disk was lost.
    }
    cluster.transmit(
        name,
        recipient,
        () ->
            secondary.perform(
                () -> {
                  if (secondary.group.beacon(name, version, point)) {
                    cluster.transmit(
                        recipient,
                        name,
                        () -> perform(() -> beaconAnswered(recipient, version, sentAtMicros)));
                  }
                }));
  }

  private void beaconAnswered(String secondary, long version, long sentAtMicros) {
    long leaseFromMicros = cluster.leaseFromTheAnswer ? world.now() : sentAtMicros;
    group.onBeaconAcknowledged(secondary, version, leaseFromMicros);
  }

  /** Runs a task on the owner thread of the present process. */
  void perform(Runnable task) {
    perform(incarnation, task);
  }

  private void perform(int ofIncarnation, Runnable task) {
    if (!running || ofIncarnation != incarnation) {
      return;
    }
    if (frozen) {
      whileFrozen.add(() -> perform(ofIncarnation, task));
    } else {
      task.run();
      cluster.checkServing();
    }
  }

  /**
   * Ends the process.
   *
   * @param power whether the disk loses what it has not written yet
   */
  void kill(boolean power) {
    running = false;
    frozen = false;
    whileFrozen.clear();
    if (power) {
      while (log.size() > durableRecords) {
        log.remove(log.size() - 1);
      }
    }
    durableRecords = log.size();
  }

  void thaw() {
    frozen = false;
    List<Runnable> tasks = new ArrayList<>(whileFrozen);
    whileFrozen.clear();
    tasks.forEach(Runnable::run);
  }

  // Runtime of the group.

  @Override
  public long now() {
    return world.now();
  }

  @Override
  public void send(String member, WireRecord message) {
    byte[] bytes = WireRecordCodec.encode(message);
    SimulatedReplica recipient = cluster.members.get(member);
    if (recipient == null) {
      return; // Its disk was lost.
    }
    String address = GroupConfiguration.addressOf(name);
    cluster.transmit(
        name,
        member,
        () -> recipient.perform(() -> recipient.group.onMessage(address, decode(bytes))));
  }

  @Override
  public void journal(WireRecord logRecord, LongConsumer done) {
    long position = log.size();
    if (!cluster.disksLie) {
      log.add(WireRecordCodec.encode(logRecord));
    }
    int writer = incarnation;
    // One disk: what was written first is answered first.
    long writtenAtMicros = world.now() + (slowDisk ? SLOW_DISK_MICROS : DISK_MICROS);
    diskFreeAtMicros = Math.max(diskFreeAtMicros + 1, writtenAtMicros);
    world.schedule(diskFreeAtMicros - world.now(), () -> written(writer, position, done));
  }

  private void written(int writer, long position, LongConsumer done) {
    if (writer == incarnation && running) {
      int records = Math.min(log.size(), (int) position + 1);
      durableRecords = Math.max(durableRecords, records);
      perform(writer, () -> done.accept(position));
    }
  }

  @Override
  public void after(long delayMicros, Runnable task) {
    int ofIncarnation = incarnation;
    world.schedule(delayMicros, () -> perform(ofIncarnation, task));
  }

  @Override
  public void propose(GroupConfiguration next, Consumer<GroupConfiguration> outcome) {
    int proposer = incarnation;
    cluster.propose(name, next, answer -> perform(proposer, () -> outcome.accept(answer)));
  }

  @Override
  public void candidateFailed(int ofGroup, String member) {
    // All machines are wanted here.
  }

  @Override
  public void event(String line) {
    world.logEvent(name, line);
  }

  // State machine: a register that keeps all values written to it.

  @Override
  public void apply(WireRecord entry, long serial, long place, long writtenAtMicros) {
    long value = entry.number(VALUE);
    add(value);
    cluster.checker.applied(name, serial, value);
  }

  /** No commit, so that the checker of the history does not count it as one. */
  @Override
  public void applyPossiblyCommitted(
      WireRecord entry, long serial, long place, long writtenAtMicros) {
    add(entry.number(VALUE));
  }

  @Override
  public void clear() {
    applied.clear();
    outdated.clear();
  }

  @Override
  public void export(Consumer<WireRecord> piece) {
    applied.forEach(value -> piece.accept(new WireRecord(VALUE).with(VALUE, value)));
    piece.accept(null);
  }

  @Override
  public void load(WireRecord piece, long place, long writtenAtMicros) {
    add(piece.number(VALUE));
  }

  private void add(long value) {
    if (!outdated.remove(value)) {
      applied.add(value);
    }
  }

  @Override
  public void beginRefresh() {
    outdated.clear();
    outdated.addAll(applied);
  }

  @Override
  public void finishRefresh() {
    applied.removeIf(outdated::remove);
  }

  @Override
  public void cancelRefresh() {
    outdated.clear();
  }

  @Override
  public void serving(boolean is) {
    // Asked anew at each use.
  }

  @Override
  public void quiesce(Runnable done) {
    done.run();
  }

  private static WireRecord decode(byte[] bytes) {
    try {
      return WireRecordCodec.decode(bytes, 0, bytes.length);
    } catch (ProtocolException e) {
      throw new IllegalStateException(e);
    }
  }
}
