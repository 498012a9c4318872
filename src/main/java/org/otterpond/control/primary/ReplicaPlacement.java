package org.otterpond.control.primary;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.otterpond.control.state.Assignments;
import org.otterpond.protocol.WireRecord;
import org.otterpond.replication.GroupConfiguration;
import org.otterpond.runtime.NodeRuntime;

/**
 * The configuration manager of the message partitions, on the core's primary: founds them once,
 * says which machines each should have, and installs the configurations that members propose, the
 * first on each version.
 */
public final class ReplicaPlacement {
  public static final String PARTITION = "partition:";
  static final String RETIRING = "retiring:";
  private static final long SETTLED = 1_500_000;
  private static final long SILENT = 2_100_000;
  private static final long STEP = 200_000;
  private static final long SHUNNED = 8_000_000;
  private static final int CHANGES_A_STEP = 24;
  private static final int MOVES_AT_ONCE = 4;
  private static final int LEAST_PARTITIONS = 32;
  private static final int MOST_PARTITIONS = 1024;
  private static final int PARTITIONS_A_STORE = 3;

  private final NodeRuntime runtime;
  private final int copies;

  /** Over how many zones the copies are spread: one more than may be lost, two at least. */
  private final int zones;

  private final Writer writer;
  private long steppedAt;
  private long changedAt;
  private Set<String> seen = Set.of();
  private final Map<String, Long> shunnedUntil = new HashMap<>();

  /** A machine that stores messages. */
  record Store(String disk, String address, String name, String zone, long heard) {
    String member() {
      return GroupConfiguration.member(disk, address);
    }
  }

  /** Writes an assignment to the core's group. */
  interface Writer {
    boolean assign(WireRecord entry, Runnable done);
  }

  ReplicaPlacement(NodeRuntime runtime, int faults, int zoneFaults, Writer writer) {
    this.runtime = runtime;
    this.zones = Math.max(2, zoneFaults + 1);
    this.copies = faults + 1;
    this.writer = writer;
  }

  void began() {
    changedAt = runtime.now();
    steppedAt = runtime.now();
    seen = Set.of();
  }

  private static WireRecord entryOf(GroupConfiguration v) {
    return v.toWireRecord(Assignments.KIND).with("key", PARTITION + v.group());
  }

  // --------------------------------------------------------------- placing

  void tick(long now, List<Store> stores, Assignments held) {
    if (now - steppedAt < STEP) {
      return;
    }
    steppedAt = now;
    List<Store> alive = stores.stream().filter(s -> now - s.heard() < SILENT).toList();
    Set<String> names = new HashSet<>();
    alive.forEach(s -> names.add(s.member()));
    if (!names.equals(seen)) {
      seen = names;
      changedAt = now;
    }
    shunnedUntil.values().removeIf(t -> t <= now);
    List<WireRecord> partitions = held.under(PARTITION);
    if (partitions.isEmpty()) {
      if (!alive.isEmpty() && now - changedAt > SETTLED) {
        found(alive);
      }
      return;
    }
    repair(partitions, usable(alive, held), now);
  }

  private static List<Store> usable(List<Store> alive, Assignments held) {
    return alive.stream()
        .filter(
            s ->
                held.get(RETIRING + s.name()) == null
                    || !s.disk().equals(held.get(RETIRING + s.name()).text("disk")))
        .toList();
  }

  private void found(List<Store> stores) {
    int wanted = stores.size() * PARTITIONS_A_STORE;
    int count = LEAST_PARTITIONS;
    while (count < wanted && count < MOST_PARTITIONS) {
      count *= 2;
    }
    Map<String, Integer> load = new HashMap<>();
    Map<String, Integer> led = new HashMap<>();
    for (int p = 0; p < count; p++) {
      List<Store> members = choose(new ArrayList<>(), stores, load);
      members.sort(Comparator.comparingInt(s -> led.getOrDefault(s.member(), 0)));
      List<String> m = new ArrayList<>(members.stream().map(Store::member).toList());
      m.forEach(x -> load.merge(x, 1, Integer::sum));
      led.merge(m.get(0), 1, Integer::sum);
      GroupConfiguration v = new GroupConfiguration(p, 1, m.get(0), m.subList(1, m.size()), m);
      writer.assign(entryOf(v).with("of", count), () -> {});
    }
    runtime.event(
        "event=partitions_founded count="
            + count
            + " stores="
            + stores.size()
            + " copies="
            + copies);
  }

  /**
   * Fills up to the number of copies. As many zones as are wanted come first; what is left goes
   * where copies are already, as bytes between zones cost more. Of several machines the least
   * loaded.
   */
  private List<Store> choose(List<Store> kept, List<Store> from, Map<String, Integer> load) {
    List<Store> out = new ArrayList<>(kept);
    while (out.size() < Math.min(copies, from.size())) {
      Set<String> zones = new HashSet<>();
      out.forEach(s -> zones.add(s.zone()));
      Store best = null;
      for (Store s : from) {
        if (out.contains(s)) {
          continue;
        }
        if (best == null || rank(s, zones, load) < rank(best, zones, load)) {
          best = s;
        }
      }
      if (best == null) {
        break;
      }
      out.add(best);
    }
    return out;
  }

  private int rank(Store s, Set<String> used, Map<String, Integer> load) {
    boolean another = used.size() < zones;
    return (used.contains(s.zone()) == another ? 1 << 20 : 0) + load.getOrDefault(s.member(), 0);
  }

  /**
   * Wants others in place of machines that are gone, shunned or to be emptied; then evens out, a
   * few at a time.
   */
  private void repair(List<WireRecord> partitions, List<Store> stores, long now) {
    if (stores.isEmpty()) {
      return;
    }
    Map<String, Store> byMember = new HashMap<>();
    stores.forEach(s -> byMember.put(s.member(), s));
    Map<String, Integer> load = new HashMap<>();
    stores.forEach(s -> load.put(s.member(), 0));
    List<GroupConfiguration> views = new ArrayList<>();
    for (WireRecord f : partitions) {
      GroupConfiguration v = GroupConfiguration.of(f);
      views.add(v);
      v.wanted().forEach(m -> load.merge(m, 1, Integer::sum));
    }
    int changes = 0;
    int moving = 0;
    int of = views.size();
    for (GroupConfiguration v : views) {
      List<Store> kept = new ArrayList<>();
      for (String m : v.wanted()) {
        if (byMember.containsKey(m) && !shunned(v.group(), m)) {
          kept.add(byMember.get(m));
        }
      }
      if (kept.size() == v.wanted().size() && kept.size() >= Math.min(copies, stores.size())) {
        moving += Set.copyOf(v.members()).equals(Set.copyOf(v.wanted())) ? 0 : 1;
        continue;
      }
      moving++;
      if (changes >= CHANGES_A_STEP) {
        continue;
      }
      List<Store> from = stores.stream().filter(s -> !shunned(v.group(), s.member())).toList();
      List<String> wanted = choose(kept, from, load).stream().map(Store::member).toList();
      // A machine that is silent for a while keeps its place where there is none to take it.
      if (wanted.isEmpty() || Set.copyOf(wanted).equals(Set.copyOf(v.wanted()))) {
        continue;
      }
      wanted.stream()
          .filter(m -> !v.wanted().contains(m))
          .forEach(m -> load.merge(m, 1, Integer::sum));
      changes++;
      writer.assign(entryOf(v.wanting(wanted)).with("of", of), () -> {});
    }
    if (moving == 0 && now - changedAt > SETTLED) {
      even(views, stores, load);
    }
  }

  private boolean shunned(int group, String member) {
    return shunnedUntil.containsKey(group + " " + member);
  }

  /** Machines that were added take their part. */
  private void even(List<GroupConfiguration> views, List<Store> stores, Map<String, Integer> load) {
    int moves = 0;
    Map<String, Store> byMember = new HashMap<>();
    stores.forEach(s -> byMember.put(s.member(), s));
    for (GroupConfiguration v : views) {
      if (moves >= MOVES_AT_ONCE) {
        return;
      }
      Store most = null;
      for (String m : v.wanted()) {
        Store s = byMember.get(m);
        // The primary moves last: the move of a secondary is not noticed by anybody.
        if (s != null
            && !m.equals(v.primary())
            && (most == null || load.get(m) > load.get(most.member()))) {
          most = s;
        }
      }
      if (most == null) {
        continue;
      }
      // Within its zone, so that the copies stay spread as they are.
      Store least = null;
      for (Store s : stores) {
        if (!v.wanted().contains(s.member())
            && s.zone().equals(most.zone())
            && (least == null || load.get(s.member()) < load.get(least.member()))) {
          least = s;
        }
      }
      if (least == null || load.get(most.member()) - load.get(least.member()) < 3) {
        continue;
      }
      List<String> wanted = new ArrayList<>(v.wanted());
      wanted.remove(most.member());
      wanted.add(least.member());
      load.merge(most.member(), -1, Integer::sum);
      load.merge(least.member(), 1, Integer::sum);
      moves++;
      writer.assign(entryOf(v.wanting(wanted)).with("of", views.size()), () -> {});
    }
  }

  // ------------------------------------------------------------- proposals

  /**
   * Installs a proposed configuration if it builds on the version in force; else tells the one in
   * force.
   *
   * @param proved for an answer that rests on what is held, and is no commit
   */
  void reconfigure(
      WireRecord ask,
      Assignments held,
      Assignments committed,
      Consumer<WireRecord> reply,
      Consumer<WireRecord> proved) {
    GroupConfiguration proposed = GroupConfiguration.of(ask.nested("view"));
    String key = PARTITION + proposed.group();
    WireRecord now = held.get(key);
    if (now == null) {
      proved.accept(new WireRecord("reply"));
      return;
    }
    GroupConfiguration current = GroupConfiguration.of(now);
    if (proposed.version() != current.version() + 1) {
      WireRecord told = committed.get(key);
      // What is not committed yet is nobody's to know; the proposer asks again.
      if (told != null && told.number("no") == now.number("no")) {
        proved.accept(
            new WireRecord("reply").with("view", GroupConfiguration.of(told).toWireRecord("view")));
      }
      return;
    }
    long time = runtime.now();
    for (String m : current.members()) {
      if (!proposed.has(m) && current.wanted().contains(m)) {
        // Suspected by its own group: others take its place here for a while.
        shunnedUntil.put(current.group() + " " + m, time + SHUNNED);
      }
    }
    GroupConfiguration next =
        new GroupConfiguration(
            proposed.group(),
            proposed.version(),
            proposed.primary(),
            proposed.secondaries(),
            current.wanted());
    steppedAt = Math.min(steppedAt, time - STEP + 10_000);
    writer.assign(
        entryOf(next).with("of", now.number("of")),
        () -> {
          runtime.event(
              "event=group_configured group="
                  + next.group()
                  + " version="
                  + next.version()
                  + " primary="
                  + next.primary()
                  + " secondaries="
                  + next.secondaries().size());
          reply.accept(
              new WireRecord("reply")
                  .with("installed", true)
                  .with("view", next.toWireRecord("view")));
        });
  }

  /** A primary could not bring a wanted machine up to date: another is wanted in its place. */
  void candidateFailed(WireRecord ask, Assignments held, Consumer<WireRecord> reply) {
    WireRecord now = held.get(PARTITION + ask.number("group"));
    if (now != null && !GroupConfiguration.of(now).has(ask.text("member"))) {
      shunnedUntil.put(ask.number("group") + " " + ask.text("member"), runtime.now() + SHUNNED);
    }
    reply.accept(new WireRecord("reply"));
  }

  // -------------------------------------------------------------- retiring

  void retire(
      String node,
      List<Store> stores,
      Assignments held,
      Assignments committed,
      Consumer<WireRecord> reply,
      Consumer<WireRecord> proved) {
    WireRecord begun = held.get(RETIRING + node);
    Store store = stores.stream().filter(s -> s.name().equals(node)).findFirst().orElse(null);
    if (begun != null && (store == null || store.disk().equals(begun.text("disk")))) {
      if (committed.get(RETIRING + node) != null) {
        proved.accept(new WireRecord("reply").with("status", 200));
      }
      // Else it is being written, and the asker asks again.
      return;
    }
    if (store == null) {
      proved.accept(new WireRecord("reply").with("status", 404));
      return;
    }
    long left = usable(stores, held).stream().filter(s -> !s.name().equals(node)).count();
    if (left < copies) {
      proved.accept(new WireRecord("reply").with("status", 409));
      return;
    }
    writer.assign(
        new WireRecord(Assignments.KIND)
            .with("key", RETIRING + node)
            .with("disk", store.disk())
            .with("member", store.member()),
        () -> {
          runtime.event("event=retire_begun node=" + node);
          reply.accept(new WireRecord("reply").with("status", 200));
        });
  }

  /**
   * Done only when no partition has a copy there nor wants one, and each has all the copies it
   * should.
   */
  static WireRecord retired(String node, Assignments committed) {
    WireRecord r = committed.get(RETIRING + node);
    if (r == null) {
      return new WireRecord("reply").with("status", 404);
    }
    boolean done = true;
    for (WireRecord f : committed.under(PARTITION)) {
      GroupConfiguration v = GroupConfiguration.of(f);
      boolean involved = v.has(r.text("member")) || v.wanted().contains(r.text("member"));
      done &= !involved;
    }
    return new WireRecord("reply").with("status", 200).with("done", done);
  }

  /** For the operators: how many partitions each machine has, and how many lack copies. */
  static WireRecord status(Assignments committed) {
    Map<String, Integer> load = new TreeMap<>();
    int lacking = 0;
    List<WireRecord> partitions = committed.under(PARTITION);
    for (WireRecord f : partitions) {
      GroupConfiguration v = GroupConfiguration.of(f);
      v.members().forEach(m -> load.merge(GroupConfiguration.addressOf(m), 1, Integer::sum));
      lacking += v.members().size() < v.wanted().size() ? 1 : 0;
    }
    List<WireRecord> rows = new ArrayList<>();
    load.forEach((a, n) -> rows.add(new WireRecord("row").with("addr", a).with("partitions", n)));
    return new WireRecord("partitions")
        .with("count", partitions.size())
        .with("lacking", lacking)
        .withRecords("stores", rows);
  }
}
