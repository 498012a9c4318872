package org.otterpond.control.agent;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.otterpond.control.bootstrap.CoreBootstrap;
import org.otterpond.control.epoch.EpochListener;
import org.otterpond.control.epoch.EpochReplica;
import org.otterpond.control.epoch.EpochTimeouts;
import org.otterpond.control.primary.ControlPlaneSettings;
import org.otterpond.control.primary.DataPlane;
import org.otterpond.control.primary.PrimaryServices;
import org.otterpond.control.state.CoreMember;
import org.otterpond.control.state.EpochAnnouncement;
import org.otterpond.control.state.EpochRecord;
import org.otterpond.control.state.ReplicatedState;
import org.otterpond.control.state.WorkerInstance;
import org.otterpond.control.state.WorkerState;
import org.otterpond.protocol.CompressedPayload;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;
import org.otterpond.runtime.NodeRuntime;

/**
 * The control side of one node: finds the core, keeps its lease by long polls, takes news of
 * configuration and workers, tells again what it was told, and carries asks to the primary. Where
 * there is a disk it is also core.
 */
public final class ControlPlaneAgent implements EpochListener {
  private static final long HELLO = 250_000;
  private static final long POLL_LOST = 1_300_000;
  private static final long OUT_OF_TOUCH = 1_700_000;
  private static final long TOMBSTONE = 30_000_000;
  private static final long BEAT_BATCH = 250_000;

  /** An ask that is sent once: what it asks for must not be done by a copy that comes late. */
  private static final long ONCE = Long.MAX_VALUE / 2;

  private static final long SWEEP = 500_000;
  public static final long TICK = 100_000;

  private final NodeRuntime runtime;
  private final NodeIdentity me;
  private final DataPlane dataPlane;
  private final CoreBootstrap bootstrap;
  private final EpochReplica watch;
  private final PrimaryServices primaryServices;
  private final QuotaCache stores;
  private long storesSwept;

  private EpochRecord known;
  private final LinkedHashSet<String> contacts = new LinkedHashSet<>();
  private long lastHello = Long.MIN_VALUE / 2;
  private int helloTurn;

  private final ActiveConfiguration configuration;
  private long assignmentNumber;
  private final Map<String, WorkerInstance> roster = new LinkedHashMap<>();
  private final Map<String, Long> endedAt = new HashMap<>();
  private long tableVersion;
  private long tableEpoch;
  private long toldEpoch;
  private long pollNumber;
  private long polledAt;
  private boolean polling;
  private boolean seeking;
  private long heardPrimary;
  private String polled;
  private final Map<String, WorkerInstance> toTell = new LinkedHashMap<>();

  /**
   * The newest moment at which this node's configuration is known to have been the newest
   * acknowledged.
   */
  private long freshAt = Long.MIN_VALUE / 2;

  private final Map<String, String> beacons = new LinkedHashMap<>();

  /** The few nodes whom this one tells of a new epoch, as the fleet's plan has it. */
  private final List<String> neighbours = new ArrayList<>();

  private final Map<Long, Ask> asks = new LinkedHashMap<>();
  private long askNumber;
  private final Map<String, WireRecord> beatsWaiting = new LinkedHashMap<>();
  private boolean beatsDue;

  private static final class Ask {
    WireRecord wireRecord;
    Consumer<WireRecord> answer;

    /** The one node asked, or null for the primary, whoever it is. */
    String node;

    long resend;
    long sentAt;

    /** The connection on which it went. */
    long connection;
  }

  public ControlPlaneAgent(
      NodeRuntime runtime, NodeIdentity me, DataPlane dataPlane, ControlPlaneSettings terms) {
    this.runtime = runtime;
    this.me = me;
    this.dataPlane = dataPlane;
    this.configuration = new ActiveConfiguration(runtime, dataPlane::configured);
    this.askNumber = me.life() & 0xffff_ffff_0000L;
    // An answer to a poll of an earlier life must not pass for one to this life's.
    this.pollNumber = askNumber;
    this.stores =
        new QuotaCache(
            runtime, this, terms.quota().lentMicros() - ControlPlaneSettings.LENT_MARGIN);
    this.bootstrap =
        new CoreBootstrap(runtime, me.address(), me.seeds(), me.firstLife(), terms.losses());
    if (me.diskId() != null) {
      CoreMember member = new CoreMember(me.diskId(), me.address(), me.name(), me.zone());
      // The margin covers the longest time between a claim and the sending of what it allows.
      ReplicatedState hold = new ReplicatedState(terms.keyWindowMicros() + 10_000_000);
      this.watch =
          new EpochReplica(runtime, EpochTimeouts.standard(), this, member, hold, terms.losses());
      this.primaryServices = new PrimaryServices(runtime, watch, member, dataPlane, terms);
    } else {
      this.watch = null;
      this.primaryServices = null;
    }
    contacts.addAll(me.seeds());
  }

  /** Replays the journal; call before {@link #start()}. */
  public void replay(List<WireRecord> journal) {
    journal.forEach(this::replay);
    replayed();
  }

  /** Replays one record of it; {@link #replayed()} follows the last. */
  public void replay(WireRecord record) {
    if (watch != null) {
      watch.replay(record);
    }
  }

  public void replayed() {
    if (watch != null && watch.record() != null) {
      learnt(watch.record());
    }
  }

  public List<WireRecord> journalBase() {
    return watch.journalBase();
  }

  public void start() {
    tick();
  }

  private void tick() {
    long now = runtime.now();
    bootstrap.tick();
    if (bootstrap.decided() != null) {
      learnRecord(bootstrap.decided());
    }
    if (watch != null) {
      watch.tick();
      primaryServices.tick();
    }
    boolean lost = polling && now - polledAt > POLL_LOST;
    if (known == null || lost || seeking) {
      hello(now, known != null);
    }
    if (known != null && (!polling || lost)) {
      poll();
    }
    tickAsks(now);
    if (now - storesSwept > SWEEP) {
      storesSwept = now;
      stores.sweep();
    }
    endedAt
        .entrySet()
        .removeIf(
            e -> {
              if (now - e.getValue() > TOMBSTONE) {
                roster.remove(e.getKey());
                return true;
              }
              return false;
            });
    runtime.after(TICK, this::tick);
  }

  private void hello(long now, boolean coreOnly) {
    if (now - lastHello < HELLO) {
      return;
    }
    lastHello = now;
    WireRecord f =
        new WireRecord("hello")
            .with("addr", me.address())
            .with("name", me.name())
            .with("zone", me.zone());
    if (me.diskId() != null && me.blankDisk() && me.firstLife() && !watch.chartered()) {
      f.with("blank", me.diskId());
    }
    List<String> to = new ArrayList<>();
    if (known != null) {
      known.members().forEach(m -> to.add(m.address()));
    }
    if (!coreOnly || ++helloTurn % 4 == 0) {
      to.addAll(me.seeds());
    }
    List<String> others = new ArrayList<>(contacts);
    if (!others.isEmpty()) {
      to.add(others.get((int) runtime.random(others.size())));
    }
    to.stream().distinct().filter(a -> !a.equals(me.address())).forEach(a -> runtime.send(a, f));
    if (f.has("blank") && me.seeds().contains(me.address())) {
      bootstrap.blankDisk(new CoreMember(me.diskId(), me.address(), me.name(), me.zone()));
    }
  }

  // ---------------------------------------------------------------- epochs

  private void learnRecord(EpochRecord r) {
    if (r == null) {
      return;
    }
    if (watch != null && !watch.chartered() && r.epoch() == 1 && me.blankDisk() && me.firstLife()) {
      watch.found(r);
    }
    if (watch != null) {
      watch.learn(r);
    }
    learnt(r);
  }

  @Override
  public void learnt(EpochRecord r) {
    if (known != null && (r.epoch() <= known.epoch() || !r.fleet().equals(known.fleet()))) {
      return;
    }
    known = r;
    r.members().forEach(m -> contacts.add(m.address()));
    runtime.event("event=epoch_learnt epoch=" + r.epoch() + " primary=" + r.primary().name());
    // Whoever leads now has not seen the poll that is out, or has lost it.
    polling = false;
    runtime.after(
        0,
        () -> {
          if (!polling) {
            poll();
          }
        });
    askPrimaryAgain();
    // Passed on at once: who waits for an answer of the primary before would find out by its
    // silence only.
    tell(neighbours, r);
  }

  private void tell(Collection<String> nodes, EpochRecord r) {
    EpochAnnouncement f = new EpochAnnouncement(r);
    nodes.stream().filter(a -> !a.equals(me.address())).forEach(a -> runtime.send(a, f));
  }

  @Override
  public void began(EpochRecord record, boolean continued) {
    primaryServices.began(continued, configuration.held());
    learnt(record);
    tell(contacts, record);
    askPrimaryAgain();
  }

  @Override
  public void steppedDown() {
    primaryServices.steppedDown();
  }

  // ------------------------------------------------------------------ news

  private void poll() {
    polling = true;
    polledAt = runtime.now();
    polled = known.primary().address();
    WireRecord f =
        new WireRecord("poll")
            .with("addr", me.address())
            .with("name", me.name())
            .with("zone", me.zone())
            .with("disk", me.diskId())
            .with("life", me.life())
            .with("epoch", tableEpoch)
            .with("table", tableVersion)
            .with("cfg", configuration.told())
            .with("pn", ++pollNumber)
            .with("changes", configuration.wantsWhole() ? null : true)
            .with("as", assignmentNumber)
            .with("store", me.storeId())
            .with("figures", dataPlane.figures());
    if (toldEpoch != known.epoch()) {
      long sum = 0;
      for (WorkerInstance v : roster.values()) {
        sum += v.sum();
      }
      f.with("sum", sum);
    }
    List<WireRecord> heat = dataPlane.heat();
    if (!heat.isEmpty()) {
      f.withRecords("heat", heat);
    }
    if (!toTell.isEmpty()) {
      List<WireRecord> told = new ArrayList<>();
      toTell.values().forEach(v -> told.add(v.toWireRecord(runtime.now())));
      toTell.clear();
      f.withRecords("tell", told);
    }
    runtime.send(polled, f);
  }

  private void onNews(String from, WireRecord f) {
    if (known == null
        || !from.equals(known.primary().address())
        || f.number("epoch") < known.epoch()) {
      return;
    }
    if (f.number("pn") != pollNumber) {
      return;
    }
    polling = false;
    seeking = false;
    heardPrimary = runtime.now();
    if (f.has("record")) {
      learnRecord(EpochRecord.of(f.nested("record")));
      takeFleet(f.nested("fleet"));
    }
    toldEpoch = f.number("epoch");
    takeConfiguration(f);
    if (revision() >= f.number("rev")) {
      freshAt = Math.max(freshAt, polledAt - f.number("back"));
    }
    takeTable(f);
    takeAssignments(f);
    tableVersion = f.number("ver");
    tableEpoch = f.number("epoch");
    if (!polling) {
      poll();
    }
  }

  private void takeFleet(WireRecord fleet) {
    if (fleet == null) {
      return;
    }
    Map<String, Integer> counts = new LinkedHashMap<>();
    List<Object> zones = fleet.list("zones");
    for (int i = 0; i + 1 < zones.size(); i += 2) {
      counts.put((String) zones.get(i), ((Number) zones.get(i + 1)).intValue());
    }
    neighbours.clear();
    fleet.list("contacts").forEach(c -> neighbours.add((String) c));
    contacts.addAll(neighbours);
    beacons.clear();
    List<Object> lights = fleet.list("beacons");
    for (int i = 0; i + 1 < lights.size(); i += 2) {
      beacons.put((String) lights.get(i + 1), (String) lights.get(i));
      contacts.add((String) lights.get(i + 1));
    }
    dataPlane.fleet(counts, (int) fleet.number("rank"));
  }

  private void takeAssignments(WireRecord f) {
    if (!f.has("asno") || f.number("asno") <= assignmentNumber) {
      return;
    }
    try {
      List<WireRecord> news =
          f.has("aswhole")
              ? CompressedPayload.unpack(f.bytes("aswhole")).records("entries")
              : f.records("as");
      assignmentNumber = f.number("asno");
      news.forEach(dataPlane::assigned);
    } catch (ProtocolException e) {
      runtime.event("event=assignments_unreadable cause=" + e.getMessage());
    }
  }

  private void takeTable(WireRecord f) {
    long now = runtime.now();
    f.records("table").forEach(v -> takeWorker(WorkerInstance.of(v, now)));
    if (!f.has("whole")) {
      return;
    }
    try {
      Map<String, WorkerInstance> theirs = new HashMap<>();
      for (WireRecord v : CompressedPayload.unpack(f.bytes("whole")).records("table")) {
        WorkerInstance told = WorkerInstance.of(v, now);
        theirs.put(told.id(), told);
        takeWorker(told);
      }
      if (f.truth("want")) {
        // What is known better here is told again, and nothing else.
        for (WorkerInstance mine : roster.values()) {
          WorkerInstance other = theirs.get(mine.id());
          if (mine.differs(other)
              && (other != null || mine.state().compareTo(WorkerState.LOST) < 0)) {
            toTell.put(mine.id(), mine);
          }
        }
      }
    } catch (ProtocolException e) {
      runtime.event("event=table_unreadable cause=" + e.getMessage());
    }
  }

  /**
   * The newest moment at which what is in force here is known to have been the newest acknowledged.
   */
  public long freshAt() {
    return freshAt;
  }

  /**
   * Where a caller had best go, or null: to a node with a disk, of the zone if there is one, and
   * always the same for one instance of a worker. Nobody is sent away from such a node, or while
   * this one may be out of touch.
   */
  public String beacon(String zone, String instance) {
    if (me.diskId() != null || outOfTouch() || beacons.isEmpty()) {
      return null;
    }
    List<String> near =
        beacons.entrySet().stream()
            .filter(e -> e.getValue().equals(zone))
            .map(Map.Entry::getKey)
            .toList();
    List<String> from = near.isEmpty() ? List.copyOf(beacons.keySet()) : near;
    int at =
        instance.isEmpty()
            ? (int) runtime.random(from.size())
            : Math.floorMod(instance.hashCode(), from.size());
    return from.get(at);
  }

  private void takeConfiguration(WireRecord f) {
    if (f.has("cfg")) {
      // The primary has read it already, when it took the order.
      configuration.take(f, primaryServices == null ? null : primaryServices.read(f.number("cfg")));
    }
  }

  private void takeWorker(WorkerInstance news) {
    WorkerInstance old = roster.get(news.id());
    WorkerInstance merged = old == null ? news : old.merge(news);
    if (merged == old) {
      return;
    }
    roster.put(merged.id(), merged);
    if (merged.state().compareTo(WorkerState.LOST) >= 0) {
      endedAt.put(merged.id(), runtime.now());
    } else {
      endedAt.remove(merged.id());
    }
    if (merged.differs(old)) {
      dataPlane.worker(merged);
    }
  }

  public EpochRecord known() {
    return known;
  }

  /** How long the text of what is in force here is, about. */
  public int configurationSize() {
    return configuration.held().size();
  }

  public long revision() {
    return configuration.held().revision();
  }

  // ----------------------------------------------------------------- beats

  /** A worker's beat or leave, met here. The answer says whether it is acknowledged. */
  public void beat(WorkerInstance v, Consumer<Boolean> acknowledged) {
    if (v.state() == WorkerState.IN_SERVICE) {
      if (outOfTouch()) {
        // The worker had best tell somebody whose word reaches the primary.
        acknowledged.accept(false);
        return;
      }
      WorkerInstance old = roster.get(v.id());
      takeWorker(v);
      beatsWaiting.put(v.id(), v.toWireRecord(runtime.now()));
      if (old == null) {
        flushBeats();
      } else if (!beatsDue) {
        beatsDue = true;
        runtime.after(BEAT_BATCH, this::flushBeats);
      }
      acknowledged.accept(true);
      return;
    }
    takeWorker(v);
    ask(
        new WireRecord("ask").with("op", "beat").with("vessel", v.toWireRecord(runtime.now())),
        950_000,
        300_000,
        r -> acknowledged.accept(r != null));
  }

  private void flushBeats() {
    beatsDue = false;
    if (beatsWaiting.isEmpty()) {
      return;
    }
    WireRecord f =
        new WireRecord("ask").with("op", "beats").withRecords("beats", beatsWaiting.values());
    beatsWaiting.clear();
    ask(f, 1_500_000, 500_000, r -> {});
  }

  /** The last record known of a worker's life, or null. */
  public WorkerInstance worker(String id) {
    return roster.get(id);
  }

  // ------------------------------------------------------------------ asks

  /** Asks the primary, wherever the duty goes, until the time-out; null means no clear answer. */
  public void ask(WireRecord f, long timeout, long resend, Consumer<WireRecord> answer) {
    ask(null, f, timeout, resend, answer);
  }

  /** Asks the node that claimed a key how the run went; null if it does not say. */
  public void fetch(
      String holder, String key, String token, long timeout, Consumer<WireRecord> answer) {
    ask(
        holder,
        new WireRecord("fetch").with("key", key).with("token", token),
        timeout,
        timeout / 3 + 1,
        r -> answer.accept(r == null ? null : r.nested("answer")));
  }

  /** Asks one node, once; null means that nothing says whether it took what it was asked. */
  public void askNode(String node, WireRecord f, long timeout, Consumer<WireRecord> answer) {
    ask(node, f, timeout, ONCE, answer);
  }

  /** Sends to one node what wants no reply. */
  public void send(String node, WireRecord f) {
    runtime.send(node, f);
  }

  /** This node's tokens of the tenants' quotas. */
  public QuotaCache stores() {
    return stores;
  }

  /** Names this process's life, for running totals. */
  public long life() {
    return me.life();
  }

  private void ask(
      String to, WireRecord f, long timeout, long resend, Consumer<WireRecord> answer) {
    Ask a = new Ask();
    a.node = to;
    long id = ++askNumber;
    a.wireRecord = f.with("rid", id);
    a.answer = answer;
    a.resend = resend;
    asks.put(id, a);
    sendAsk(a);
    runtime.after(
        timeout,
        () -> {
          Ask late = asks.remove(id);
          if (late != null) {
            late.answer.accept(null);
          }
        });
  }

  private void sendAsk(Ask a) {
    a.sentAt = runtime.now();
    if (a.node != null) {
      runtime.send(a.node, a.wireRecord);
      a.connection = runtime.connection(a.node);
    } else if (known != null) {
      runtime.send(known.primary().address(), a.wireRecord);
    }
  }

  /**
   * What was asked of the primary is asked of the new one; what was asked of a certain node stays
   * as it is.
   */
  private void askPrimaryAgain() {
    asks.values().stream().filter(a -> a.node == null).forEach(this::sendAsk);
  }

  private void tickAsks(long now) {
    for (Ask a : asks.values()) {
      if (now - a.sentAt >= a.resend) {
        sendAsk(a);
      }
    }
  }

  /**
   * The connection to another node was closed from there, or never came up: its process has
   * probably ended, and what was sent to it last is lost.
   */
  public void peerLost(String address, boolean neverUp, long connection) {
    // What went on a connection that never came up did not arrive; of the rest nobody knows.
    new ArrayList<>(asks.entrySet())
        .forEach(
            e -> {
              Ask a = e.getValue();
              if (neverUp
                  && a.resend >= ONCE
                  && address.equals(a.node)
                  && a.connection == connection
                  && asks.remove(e.getKey()) != null) {
                a.answer.accept(new WireRecord("reply").with("no", "unsent"));
              }
            });
    peerLost(address, neverUp);
  }

  /** The same, where nobody knows on which connection what was sent. */
  public void peerLost(String address, boolean neverUp) {
    if (watch != null && !neverUp) {
      watch.peerClosed(address);
    }
    dataPlane.peerLost(address);
    // Who holds such an ask can only wait in vain: whether it arrived is not known.
    new ArrayList<>(asks.entrySet())
        .forEach(
            e -> {
              if (!neverUp
                  && address.equals(e.getValue().node)
                  && e.getValue().resend >= ONCE
                  && asks.remove(e.getKey()) != null) {
                e.getValue().answer.accept(null);
              }
            });
    if (polling && address.equals(polled)) {
      polling = false;
      seeking = true;
    }
  }

  /**
   * Whether the primary has been silent for longer than a takeover should last: this node is likely
   * cut off.
   */
  public boolean outOfTouch() {
    return runtime.now() - heardPrimary > OUT_OF_TOUCH;
  }

  // -------------------------------------------------------------- messages

  public void onMessage(String from, WireRecord f) {
    switch (f.kind()) {
      case "hello" -> {
        if (f.has("blank")) {
          bootstrap.blankDisk(
              new CoreMember(f.text("blank"), f.text("addr"), f.text("name"), f.text("zone")));
        }
        if (known != null) {
          runtime.send(from, new EpochAnnouncement(known));
        }
      }
      case EpochAnnouncement.KIND -> learnRecord(EpochRecord.of(f.nested("record")));
      case "news" -> onNews(from, f);
      case "poll" -> {
        if (primaryServices != null) {
          primaryServices.onPoll(from, f);
        } else if (known != null) {
          runtime.send(from, new EpochAnnouncement(known));
        }
      }
      case "ask" -> {
        if (primaryServices != null) {
          long rid = f.number("rid");
          primaryServices.serve(f, r -> runtime.send(from, r.with("rid", rid)));
        }
      }
      case "fetch" ->
          runtime.send(
              from,
              new WireRecord("reply")
                  .with("rid", f.number("rid"))
                  .with("answer", dataPlane.outcome(f.text("key"), f.text("token"))));
      case "reply" -> {
        if (f.truth("moved")) {
          learnRecord(EpochRecord.of(f.nested("record")));
          return;
        }
        Ask a = asks.remove(f.number("rid"));
        if (a != null) {
          a.answer.accept(f);
        }
      }
      default -> {
        if (bootstrap.onMessage(from, f) || watch != null && watch.onMessage(from, f)) {
          return;
        }
        long rid = f.number("rid");
        dataPlane.message(from, f, r -> runtime.send(from, r.with("rid", rid)));
      }
    }
  }

  // ------------------------------------------------------------------ duty

  public boolean leading() {
    return watch != null && watch.leading();
  }

  /** Hands over what this node does for others, before a planned end. */
  public void retire() {
    if (watch != null) {
      watch.retire();
    }
  }

  /** Whether the core still counts on what this node holds, so that it should not end yet. */
  public boolean needed() {
    return watch != null && watch.needed();
  }
}
