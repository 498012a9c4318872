package org.otterpond.messaging;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.otterpond.control.agent.ControlPlaneAgent;
import org.otterpond.protocol.WireRecord;
import org.otterpond.replication.GroupConfiguration;
import org.otterpond.replication.ReplicaGroup;
import org.otterpond.replication.ReplicaGroupRuntime;
import org.otterpond.runtime.NodeRuntime;
import org.otterpond.storage.SegmentStore;

/**
 * The message partitions of one machine: its replica groups, one journal, one beacon to each other
 * machine.
 */
public final class MessageStore {
  private static final String PARTITION = "partition:";
  private static final long EXPIRE = 500_000;
  private static final long CLEAN = 5_000_000;
  private static final long ASK = 700_000;
  private static final long ASK_AGAIN = 200_000;
  private static final int MOST_PARKED = 2_000;

  private final NodeRuntime runtime;
  private final String me;
  private final SegmentStore disk;
  private final MessageStoreSettings terms;
  private final DeliveryListener delivery;
  private final MessageBodyCache cache;
  private final Map<Integer, Partition> partitions = new TreeMap<>();
  private ControlPlaneAgent node;
  private long beaconed;
  private long expired;
  private long cleaned;
  private boolean cleaning;
  private long beaconNumber;
  private final Map<String, Beacon> beaconsSent = new HashMap<>();

  /** The newest list of groups that each machine has sent. */
  private final Map<String, WireRecord> beaconsHeard = new HashMap<>();

  /** What one machine was last told of the groups that this one leads. */
  private static final class Beacon {
    /** Group, version, group, version. */
    final List<Object> groups = new ArrayList<>();

    final Map<Integer, Long> points = new HashMap<>();
    long number;
    boolean taken;
  }

  private final class Partition implements ReplicaGroupRuntime {
    final int id;
    final MessagePartition queue;
    final ReplicaGroup group;

    /** Operations whose first message is on its way to the replicas, by its name. */
    final Map<String, String> operations = new HashMap<>();

    /** Messages on their way to the replicas, with those who wait to hear. */
    final Map<String, List<Consumer<Boolean>>> inWriting = new HashMap<>();

    Partition(int id) {
      this.id = id;
      this.queue =
          new MessagePartition(this, disk, delivery, cache, terms.endedKept(), () -> serves(id));
      this.group = new ReplicaGroup(id, me, this, terms.times(), queue);
    }

    @Override
    public long now() {
      return runtime.now();
    }

    @Override
    public void send(String member, WireRecord message) {
      runtime.send(GroupConfiguration.addressOf(member), message.with("to", member));
    }

    @Override
    public void journal(WireRecord record, LongConsumer done) {
      disk.append(record, done);
    }

    @Override
    public void after(long delayMicros, Runnable task) {
      runtime.after(delayMicros, task);
    }

    @Override
    public void propose(GroupConfiguration next, Consumer<GroupConfiguration> outcome) {
      node.ask(
          new WireRecord("ask").with("op", "reconfigure").with("view", next.toWireRecord("view")),
          ASK,
          ASK_AGAIN,
          r ->
              outcome.accept(
                  r == null || !r.has("view") ? null : GroupConfiguration.of(r.nested("view"))));
    }

    @Override
    public void candidateFailed(int group, String member) {
      node.ask(
          new WireRecord("ask")
              .with("op", "candidate-failed")
              .with("group", group)
              .with("member", member),
          ASK,
          ASK_AGAIN,
          r -> {});
    }

    @Override
    public void event(String line) {
      runtime.event(line);
    }
  }

  public MessageStore(
      NodeRuntime runtime,
      String disk,
      String address,
      SegmentStore storage,
      MessageStoreSettings terms,
      DeliveryListener delivery) {
    this.runtime = runtime;
    this.me = GroupConfiguration.member(disk, address);
    this.disk = storage;
    this.terms = terms;
    this.delivery = delivery;
    this.cache = new MessageBodyCache(terms.cacheBytes());
  }

  /** The control side, through which the configuration manager is asked. */
  public void fit(ControlPlaneAgent control) {
    this.node = control;
  }

  private Partition partition(int id) {
    return partitions.computeIfAbsent(id, Partition::new);
  }

  // ----------------------------------------------------------------- start

  /** One record of the journal, in order. */
  public void replay(WireRecord f, long place) {
    if (f.has("group")) {
      partition((int) f.number("group")).group.replay(f, place);
    }
  }

  public void start() {
    partitions.values().forEach(p -> p.group.replayed());
    tick();
  }

  /** What a fresh segment must begin with, so that older ones can go. */
  public List<WireRecord> journalHead() {
    List<WireRecord> out = new ArrayList<>();
    partitions
        .values()
        .forEach(
            p -> {
              WireRecord meta = p.group.meta();
              if (meta != null) {
                out.add(meta);
              }
            });
    return out;
  }

  // ------------------------------------------------------------------ news

  public void assigned(WireRecord entry) {
    if (!entry.text("key").startsWith(PARTITION)) {
      return;
    }
    GroupConfiguration v = GroupConfiguration.of(entry);
    if (v.has(me) || partitions.containsKey(v.group())) {
      Partition p = partition(v.group());
      p.group.learn(v);
      if (!p.group.involved()) {
        partitions.remove(v.group());
      }
    }
  }

  public void peerLost(String address) {
    partitions.values().forEach(p -> p.group.peerLost(address));
  }

  /** A message of another node; false if it is none for this part. */
  public boolean message(String from, WireRecord f, Consumer<WireRecord> reply) {
    switch (f.kind()) {
      case "g.beacon" -> onBeacon(from, f);
      case "g.beaconed" -> onBeaconed(from, f);
      case "m.put" -> put(f, reply);
      case "m.state" -> state(f, reply);
      case "m.body" -> body(f, reply);
      default -> {
        if (!f.kind().startsWith("g.")) {
          return false;
        }
        // What was meant for the disk that this machine had before is not for this one.
        if (me.equals(f.text("to"))) {
          int id = (int) f.number("group");
          if (partitions.containsKey(id) || f.has("view")) {
            partition(id).group.onMessage(from, f);
          }
        }
      }
    }
    return true;
  }

  // --------------------------------------------------------------- beacons

  private void tick() {
    long now = runtime.now();
    if (now - beaconed >= terms.times().beacon()) {
      beaconed = now;
      beacons(now);
    }
    new ArrayList<>(partitions.values()).forEach(p -> p.group.tick());
    if (now - expired > EXPIRE) {
      expired = now;
      partitions
          .values()
          .forEach(
              p ->
                  p.queue
                      .expire(now)
                      .forEach(m -> ended(p.queue, m, Message.State.DEAD_LETTER, null)));
    }
    if (now - cleaned > CLEAN && !cleaning) {
      cleaned = now;
      clean();
    }
    runtime.after(terms.times().beacon() / 3, this::tick);
  }

  /**
   * One to each machine, for all groups that this one leads with a secondary there. The groups and
   * versions are named only when they have changed, or the other has not got them; committed points
   * only when they have moved.
   */
  private void beacons(long now) {
    Map<String, Beacon> byMember = new LinkedHashMap<>();
    partitions
        .values()
        .forEach(
            p -> {
              GroupConfiguration v = p.group.view();
              if (v == null || !v.primary().equals(me)) {
                return;
              }
              for (String s : v.secondaries()) {
                Beacon b = byMember.computeIfAbsent(s, x -> new Beacon());
                b.groups.add((long) p.id);
                b.groups.add(v.version());
                b.points.put(p.id, p.group.committed());
              }
            });
    beaconsSent.keySet().retainAll(byMember.keySet());
    byMember.forEach(
        (m, b) -> {
          Beacon last = beaconsSent.put(m, b);
          WireRecord f = new WireRecord("g.beacon").with("to", m).with("at", now);
          boolean same = last != null && last.taken && last.groups.equals(b.groups);
          b.number = same ? last.number : ++beaconNumber;
          b.taken = same;
          f.with("n", b.number).with("life", node.life());
          if (!same) {
            f.with("from", me).with("groups", b.groups);
          }
          List<Object> points = new ArrayList<>();
          b.points.forEach(
              (id, point) -> {
                if (!same || !point.equals(last.points.get(id))) {
                  points.add((long) id);
                  points.add(point);
                }
              });
          if (!points.isEmpty()) {
            f.with("points", points);
          }
          runtime.send(GroupConfiguration.addressOf(m), f);
        });
  }

  private void onBeacon(String from, WireRecord f) {
    if (!me.equals(f.text("to"))) {
      return;
    }
    if (f.has("groups")) {
      beaconsHeard.put(from, f);
    }
    WireRecord list = beaconsHeard.get(from);
    WireRecord answer =
        new WireRecord("g.beaconed").with("at", f.number("at")).with("n", f.number("n"));
    if (list == null
        || list.number("n") != f.number("n")
        || list.number("life") != f.number("life")) {
      // The list that it speaks of has not come here: it is asked for.
      runtime.send(from, answer.with("member", me).with("unknown", true));
      return;
    }
    Map<Integer, Long> points = new HashMap<>();
    List<Object> told = f.list("points");
    for (int i = 0; i + 1 < told.size(); i += 2) {
      points.put(((Number) told.get(i)).intValue(), ((Number) told.get(i + 1)).longValue());
    }
    List<Object> groups = list.list("groups");
    List<Object> refused = new ArrayList<>();
    for (int i = 0; i + 1 < groups.size(); i += 2) {
      int id = ((Number) groups.get(i)).intValue();
      long version = ((Number) groups.get(i + 1)).longValue();
      Partition p = partitions.get(id);
      if (p != null && p.group.beacon(list.text("from"), version, points.getOrDefault(id, 0L))) {
        continue;
      }
      refused.add((long) id);
      if (p != null && p.group.view() != null && p.group.view().version() > version) {
        runtime.send(
            from,
            new WireRecord("g.view")
                .with("to", list.text("from"))
                .with("group", id)
                .with("view", p.group.view().toWireRecord("view")));
      }
    }
    runtime.send(
        from, answer.with("member", me).with("refused", refused.isEmpty() ? null : refused));
  }

  private void onBeaconed(String from, WireRecord f) {
    Beacon b = beaconsSent.get(f.text("member"));
    if (b == null || b.number != f.number("n")) {
      return;
    }
    b.taken = !f.truth("unknown");
    if (!b.taken) {
      return;
    }
    List<Object> refused = f.list("refused");
    for (int i = 0; i + 1 < b.groups.size(); i += 2) {
      Partition p = partitions.get(((Number) b.groups.get(i)).intValue());
      if (p != null && !refused.contains(b.groups.get(i))) {
        p.group.beaconAcknowledged(
            f.text("member"), ((Number) b.groups.get(i + 1)).longValue(), f.number("at"));
      }
    }
  }

  // ---------------------------------------------------------------- accept

  /**
   * Takes a message. "taken" names it once all replicas hold it; "no" says that it was not taken
   * and is not held anywhere by this ask.
   */
  private void put(WireRecord f, Consumer<WireRecord> reply) {
    Partition p = partitions.get((int) f.number("group"));
    if (p == null || p.group.view() == null || !p.group.view().primary().equals(me)) {
      reply.accept(new WireRecord("reply").with("no", "elsewhere"));
      return;
    }
    if (!p.group.serving()) {
      reply.accept(new WireRecord("reply").with("no", "not_serving"));
      return;
    }
    if (disk.nearlyFull() || p.group.parked() > MOST_PARKED) {
      reply.accept(new WireRecord("reply").with("no", "full"));
      return;
    }
    WireRecord entry = f.nested("message");
    String id = entry.text("id");
    String operation =
        entry.has("op") ? Message.operationName(entry.text("tenant"), entry.text("op")) : null;
    Message before = operation == null ? null : p.queue.ofOperation(operation);
    if (before != null || p.queue.get(id) != null) {
      reply.accept(new WireRecord("reply").with("taken", before != null ? before.id : id));
      return;
    }
    String first = operation == null ? null : p.operations.get(operation);
    String name = first != null ? first : id;
    List<Consumer<Boolean>> waiting = p.inWriting.get(name);
    Consumer<Boolean> told =
        ok ->
            reply.accept(
                ok
                    ? new WireRecord("reply").with("taken", name)
                    : new WireRecord("reply").with("no", "moved"));
    if (waiting != null) {
      waiting.add(told);
      return;
    }
    List<Consumer<Boolean>> all = new ArrayList<>(List.of(told));
    p.inWriting.put(id, all);
    if (operation != null) {
      p.operations.put(operation, id);
    }
    Consumer<Boolean> done =
        ok -> {
          p.inWriting.remove(id, all);
          if (operation != null) {
            p.operations.remove(operation, id);
          }
          all.forEach(c -> c.accept(ok));
        };
    p.group.update(entry, true, () -> done.accept(true), () -> done.accept(false));
  }

  // ------------------------------------------------------------- questions

  private Message known(WireRecord f, Consumer<WireRecord> reply) {
    Partition p = partitions.get((int) f.number("group"));
    if (p == null || !p.group.serving()) {
      reply.accept(new WireRecord("reply").with("no", "elsewhere"));
      return null;
    }
    Message m = p.queue.get(f.text("id"));
    String tenant = f.text("tenant");
    if (m == null || (m.tenant == null ? tenant != null : !m.tenant.equals(tenant))) {
      reply.accept(new WireRecord("reply").with("unknown", true));
      return null;
    }
    return m;
  }

  private void state(WireRecord f, Consumer<WireRecord> reply) {
    Message m = known(f, reply);
    if (m != null) {
      reply.accept(new WireRecord("reply").with("state", m.state.name()).with("seal", m.seal));
    }
  }

  private void body(WireRecord f, Consumer<WireRecord> reply) {
    Message m = known(f, reply);
    if (m == null) {
      return;
    }
    if (m.state == Message.State.COMPLETED) {
      reply.accept(new WireRecord("reply").with("unknown", true));
      return;
    }
    partitions
        .get((int) f.number("group"))
        .queue
        .whole(
            m,
            w ->
                reply.accept(
                    w == null
                        ? new WireRecord("reply").with("no", "unreadable")
                        : new WireRecord("reply").with("body", w.bytes("body"))));
  }

  // -------------------------------------------------------------- outcomes

  private Partition of(MessagePartition q) {
    for (Partition p : partitions.values()) {
      if (p.queue == q) {
        return p;
      }
    }
    return null;
  }

  /** The message has ended; the next of its order may begin once all replicas know. */
  public void ended(MessagePartition q, Message m, Message.State state, String seal) {
    Partition p = of(q);
    if (p == null || q.get(m.id) != m || m.ending || m.state != Message.State.QUEUED) {
      return;
    }
    m.ending = true;
    p.group.update(
        new WireRecord("end")
            .with("id", m.id)
            .with("state", state.name())
            .with("seal", seal)
            .with("tenant", m.tenant)
            .with("op", m.operation)
            .with("host", m.host)
            .with("target", m.target)
            .with("cfg", m.revision),
        false,
        () -> {},
        () -> m.ending = false);
  }

  /** A worker failed an attempt; it is counted on all replicas. */
  public void tried(MessagePartition q, Message m) {
    Partition p = of(q);
    m.attempts++;
    if (p != null && q.get(m.id) == m) {
      p.group.update(
          new WireRecord("tried").with("id", m.id).with("attempts", m.attempts),
          false,
          () -> {},
          () -> {});
    }
  }

  // -------------------------------------------------------------- cleaning

  /**
   * Writes on what counts in the oldest segment, once that is old enough, and lets the segment go.
   */
  private void clean() {
    if (!disk.oldestClosedFor(terms.endedKept() + 10_000_000)) {
      return;
    }
    cleaning = true;
    long before = disk.oldestEnd();
    int[] open = {1};
    boolean[] good = {true};
    Runnable one =
        () -> {
          if (--open[0] == 0) {
            cleaning = false;
            if (good[0]) {
              disk.dropOldest();
            }
          }
        };
    for (Partition p : partitions.values()) {
      p.group.carry();
      for (Message m : p.queue.standingBefore(before)) {
        open[0]++;
        p.queue.whole(
            m,
            w -> {
              if (w == null || p.queue.get(m.id) != m) {
                good[0] &= w != null;
                one.run();
                return;
              }
              WireRecord piece = m.piece(w, runtime.now());
              disk.append(
                  new WireRecord("piece").with("group", p.id).with("piece", piece),
                  place -> {
                    good[0] &= place >= 0;
                    if (place >= 0 && p.queue.get(m.id) == m) {
                      m.place = place;
                    }
                    one.run();
                  });
            });
      }
    }
    one.run();
  }

  // ---------------------------------------------------------------- ending

  /** A planned end: what this node leads is handed to others. */
  public void retire() {
    partitions.values().forEach(p -> p.group.handOver());
  }

  /** Whether this node leads nothing any more. */
  public boolean handedOver() {
    return partitions.values().stream()
        .noneMatch(
            p ->
                p.group.view() != null
                    && p.group.view().primary().equals(me)
                    && !p.group.view().secondaries().isEmpty());
  }

  /** Whether this node serves a partition now. */
  public boolean serves(int partition) {
    Partition p = partitions.get(partition);
    return p != null && p.group.serving();
  }

  /** How a partition stands here, in one line; null if it is not here. */
  public String describe(int partition) {
    Partition p = partitions.get(partition);
    return p == null ? null : p.group.toString();
  }

  /**
   * What this machine tells of itself: partitions led and held, messages queued and dead, the
   * oldest's wait.
   */
  public Map<String, Long> figures() {
    Map<String, Long> out = new LinkedHashMap<>();
    long now = runtime.now();
    long led = 0;
    long queued = 0;
    long dead = 0;
    long oldest = 0;
    for (Partition p : partitions.values()) {
      if (p.queue.serving()) {
        led++;
        queued += p.queue.queued();
        dead += p.queue.dead();
        oldest = Math.max(oldest, p.queue.oldest(now) / 1000);
      }
    }
    out.put("led", led);
    out.put("held", (long) partitions.size());
    out.put("queued", queued);
    out.put("dead", dead);
    out.put("oldest_ms", oldest);
    return out;
  }
}
