package org.otterpond.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
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
import org.otterpond.replication.UpdateListener;

/**
 * One replica group with its configuration manager and a checker that sees every entry applied and
 * every query answered. The state is a register: an update writes a number, a query reads the
 * newest.
 */
final class SimulatedReplicaGroup {
  private static final ReplicaGroupTimeouts TIMES = ReplicaGroupTimeouts.standard();

  final SimulatedWorld world;
  final Map<String, Member> members = new LinkedHashMap<>();
  final List<String> broken = new ArrayList<>();
  private final Set<String> cuts = new HashSet<>();
  private GroupConfiguration installed;

  /** What was applied first under each serial number, wherever that was. */
  private final Map<Long, Long> history = new TreeMap<>();

  private final Set<Long> acknowledged = new HashSet<>();
  private long written;
  private long newestAcknowledged;
  int updates;
  int queries;
  // Deliberate breaks.
  boolean managerTakesAnyVersion;
  boolean disksLie;
  boolean leaseFromTheAnswer;

  final class Member implements ReplicaGroupRuntime, StateMachine {
    final String name;
    final List<byte[]> journal = new ArrayList<>();
    int durable;
    ReplicaGroup group;
    int life;
    boolean up;
    boolean frozen;
    boolean slowDisk;
    private long diskFree;
    final List<Runnable> later = new ArrayList<>();
    final List<Long> applied = new ArrayList<>();

    Member(String name) {
      this.name = name;
    }

    void start() {
      if (up) {
        return;
      }
      up = true;
      life++;
      applied.clear();
      group = new ReplicaGroup(0, name, this, TIMES, this);
      for (int i = 0; i < journal.size(); i++) {
        group.replay(decode(journal.get(i)), i);
      }
      group.replayed();
      perform(() -> group.learn(installed));
      tick(life);
    }

    private void tick(int l) {
      world.schedule(
          50_000,
          () ->
              perform(
                  l,
                  () -> {
                    group.tick();
                    GroupConfiguration v = group.view();
                    if (v != null && v.primary().equals(name)) {
                      long at = world.now();
                      v.secondaries().forEach(s -> beacon(s, v.version(), group.committed(), at));
                    }
                    tick(l);
                  }));
    }

    private void beacon(String to, long version, long point, long at) {
      way(
          name,
          to,
          () -> {
            Member m = members.get(to);
            m.perform(
                () -> {
                  if (m.group.beacon(name, version, point)) {
                    way(
                        to,
                        name,
                        () ->
                            perform(
                                () ->
                                    group.onBeaconAcknowledged(
                                        to, version, leaseFromTheAnswer ? world.now() : at)));
                  }
                });
          });
    }

    void perform(Runnable r) {
      perform(life, r);
    }

    private void perform(int l, Runnable r) {
      if (!up || l != life) {
        return;
      }
      if (frozen) {
        later.add(() -> perform(l, r));
      } else {
        r.run();
        check();
      }
    }

    void kill(boolean power) {
      up = false;
      frozen = false;
      later.clear();
      if (power) {
        while (journal.size() > durable) {
          journal.remove(journal.size() - 1);
        }
      }
      durable = journal.size();
    }

    void thaw() {
      frozen = false;
      List<Runnable> all = new ArrayList<>(later);
      later.clear();
      all.forEach(Runnable::run);
    }

    @Override
    public long now() {
      return world.now();
    }

    @Override
    public void send(String member, WireRecord message) {
      byte[] bytes = WireRecordCodec.encode(message);
      way(
          name,
          member,
          () -> {
            Member m = members.get(member);
            m.perform(() -> m.group.onMessage(GroupConfiguration.addressOf(name), decode(bytes)));
          });
    }

    @Override
    public void journal(WireRecord record, LongConsumer done) {
      long place = journal.size();
      if (!disksLie) {
        journal.add(WireRecordCodec.encode(record));
      }
      int l = life;
      // One disk: what was written first is answered first.
      diskFree = Math.max(diskFree + 1, world.now() + (slowDisk ? 2_000_000 : 800));
      world.schedule(
          diskFree - world.now(),
          () -> {
            if (l == life && up) {
              durable = Math.max(durable, Math.min(journal.size(), (int) place + 1));
              perform(l, () -> done.accept(place));
            }
          });
    }

    @Override
    public void after(long delayMicros, Runnable task) {
      int l = life;
      world.schedule(delayMicros, () -> perform(l, task));
    }

    @Override
    public void propose(GroupConfiguration next, Consumer<GroupConfiguration> outcome) {
      int l = life;
      way(
          name,
          "manager",
          () -> {
            if (managerTakesAnyVersion || next.version() == installed.version() + 1) {
              installed = next;
              members
                  .values()
                  .forEach(
                      m ->
                          world.schedule(
                              world.random.nextInt(300_000),
                              () -> m.perform(() -> m.group.learn(next))));
            }
            GroupConfiguration v = installed;
            way("manager", name, () -> perform(l, () -> outcome.accept(v)));
          });
      world.schedule(700_000, () -> perform(l, () -> outcome.accept(null)));
    }

    @Override
    public void candidateFailed(int group, String member) {
      // All machines are wanted here.
    }

    @Override
    public void event(String line) {
      world.logEvent(name, line);
    }

    @Override
    public void apply(WireRecord entry, long serial, long place) {
      long value = entry.number("value");
      applied.add(value);
      Long first = history.putIfAbsent(serial, value);
      if (first != null && first != value) {
        broken.add(
            world.now() / 1000
                + " serial "
                + serial
                + " is "
                + first
                + " and, at "
                + name
                + ", "
                + value);
      }
    }

    @Override
    public void clear() {
      applied.clear();
    }

    @Override
    public void export(Consumer<WireRecord> piece) {
      applied.forEach(v -> piece.accept(new WireRecord("value").with("value", v)));
      piece.accept(null);
    }

    @Override
    public void load(WireRecord piece, long place) {
      applied.add(piece.number("value"));
    }

    @Override
    public void serving(boolean is) {
      // Asked anew at each use.
    }

    @Override
    public void quiesce(Runnable done) {
      done.run();
    }
  }

  SimulatedReplicaGroup(long seed, int count) {
    world = new SimulatedWorld(seed);
    List<String> names = new ArrayList<>();
    for (int i = 1; i <= count; i++) {
      names.add("m" + i + "@a" + i);
    }
    names.forEach(n -> members.put(n, new Member(n)));
    installed = new GroupConfiguration(0, 1, names.get(0), names.subList(1, count), names);
    members.values().forEach(Member::start);
    world.schedule(0, this::writer);
    world.schedule(0, this::reader);
  }

  private static WireRecord decode(byte[] b) {
    try {
      return WireRecordCodec.decode(b, 0, b.length);
    } catch (ProtocolException e) {
      throw new IllegalStateException(e);
    }
  }

  private final Map<String, Long> arrives = new HashMap<>();

  /** One way of a message; it is lost at times and never passes another. */
  private void way(String from, String to, Runnable arrived) {
    String w = from + ">" + to;
    long at =
        Math.max(world.now() + 200 + world.random.nextInt(2_000), arrives.getOrDefault(w, 0L) + 1);
    arrives.put(w, at);
    if (cuts.contains(w) || world.random.nextDouble() < world.network.lossProbability) {
      return;
    }
    world.schedule(
        at - world.now(),
        () -> {
          if (!cuts.contains(w)) {
            arrived.run();
          }
        });
  }

  void cutOff(String name, boolean fromManagerToo) {
    for (String o : members.keySet()) {
      cuts.add(o + ">" + name);
      cuts.add(name + ">" + o);
    }
    if (fromManagerToo) {
      cuts.add(name + ">manager");
      cuts.add("manager>" + name);
    }
  }

  void heal() {
    cuts.clear();
  }

  private void writer() {
    world.schedule(2_000 + world.random.nextInt(6_000), this::writer);
    for (Member m : members.values()) {
      if (m.up && !m.frozen && m.group.serving()) {
        long value = ++written;
        m.perform(
            () ->
                m.group.update(
                    new WireRecord("set").with("value", value), false, new WriteListener(value)));
      }
    }
  }

  /** Notes an update that was acknowledged. */
  private final class WriteListener implements UpdateListener {
    private final long value;

    WriteListener(long value) {
      this.value = value;
    }

    @Override
    public void committed() {
      updates++;
      acknowledged.add(value);
      newestAcknowledged = Math.max(newestAcknowledged, value);
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

  /** A query must see everything that was acknowledged before it was asked. */
  private void reader() {
    world.schedule(1_000 + world.random.nextInt(4_000), this::reader);
    for (Member m : members.values()) {
      long before = newestAcknowledged;
      m.perform(
          () -> {
            if (m.group.serving()) {
              queries++;
              long newest = m.applied.stream().mapToLong(Long::longValue).max().orElse(0);
              if (newest < newestAcknowledged && newest < before) {
                broken.add(
                    world.now() / 1000
                        + " "
                        + m.name
                        + " reads "
                        + newest
                        + " though "
                        + before
                        + " was acknowledged");
              }
            }
          });
    }
  }

  /** At no moment two that would serve. */
  private void check() {
    int serving = 0;
    for (Member m : members.values()) {
      serving += m.up && !m.frozen && m.group.serving() ? 1 : 0;
    }
    if (serving > 1) {
      broken.add(world.now() / 1000 + " two primaries serve");
    }
  }

  /** In the end everything acknowledged is there, on every member of the configuration in force. */
  void settle() {
    heal();
    world.network.lossProbability = 0;
    members
        .values()
        .forEach(
            m -> {
              m.slowDisk = false;
              m.thaw();
              m.start();
            });
    world.run(12_000_000);
    long served = members.values().stream().filter(m -> m.group.serving()).count();
    if (served != 1) {
      broken.add(served + " serve in the end");
    }
    for (Member m : members.values()) {
      Set<Long> there = new HashSet<>(m.applied);
      long lost = acknowledged.stream().filter(v -> v < written - 50 && !there.contains(v)).count();
      if (installed.has(m.name) && lost > 0) {
        broken.add(m.name + " lacks " + lost + " acknowledged updates");
      }
    }
  }
}
