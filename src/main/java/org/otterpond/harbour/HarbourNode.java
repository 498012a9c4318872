package org.otterpond.harbour;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.otterpond.signal.Bale;
import org.otterpond.signal.Flag;
import org.otterpond.signal.SignalException;

/**
 * The control side of one node: finds the core, keeps its lease by long polls, takes news of
 * configuration and workers, tells again what it was told, and carries asks to the primary. Where
 * there is a disk it is also core.
 */
public final class HarbourNode implements WatchListener {
  private static final long HELLO = 250_000;
  private static final long POLL_LOST = 1_300_000;
  private static final long OUT_OF_TOUCH = 1_700_000;
  private static final long TOMBSTONE = 30_000_000;
  private static final long BEAT_BATCH = 250_000;

  /** An ask that is sent once: what it asks for must not be done by a copy that comes late. */
  private static final long ONCE = Long.MAX_VALUE / 2;

  private static final long SWEEP = 500_000;
  public static final long TICK = 100_000;

  private final Deck deck;
  private final NodeIdentity me;
  private final Shore shore;
  private final Founding founding;
  private final Watch watch;
  private final Helm helm;
  private final Stores stores;
  private long storesSwept;

  private EpochRecord known;
  private final LinkedHashSet<String> contacts = new LinkedHashSet<>();
  private long lastHello = Long.MIN_VALUE / 2;
  private int helloTurn;

  private final ConfigurationInForce configuration;
  private long assignmentNumber;
  private final Map<String, Vessel> roster = new LinkedHashMap<>();
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
  private final Map<String, Vessel> toTell = new LinkedHashMap<>();

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
  private final Map<String, Flag> beatsWaiting = new LinkedHashMap<>();
  private boolean beatsDue;

  private static final class Ask {
    Flag flag;
    Consumer<Flag> answer;

    /** The one node asked, or null for the primary, whoever it is. */
    String node;

    long resend;
    long sentAt;

    /** The connection on which it went. */
    long connection;
  }

  public HarbourNode(Deck deck, NodeIdentity me, Shore shore, HarbourTerms terms) {
    this.deck = deck;
    this.me = me;
    this.shore = shore;
    this.configuration = new ConfigurationInForce(deck, shore::configured);
    this.askNumber = me.life() & 0xffff_ffff_0000L;
    // An answer to a poll of an earlier life must not pass for one to this life's.
    this.pollNumber = askNumber;
    this.stores = new Stores(deck, this, terms.quota().lentMicros() - HarbourTerms.LENT_MARGIN);
    this.founding = new Founding(deck, me.address(), me.seeds(), me.firstLife(), terms.losses());
    if (me.diskId() != null) {
      Berth berth = new Berth(me.diskId(), me.address(), me.name(), me.zone());
      // The margin covers the longest time between a claim and the sending of what it allows.
      Hold hold = new Hold(terms.keyWindowMicros() + 10_000_000);
      this.watch = new Watch(deck, WatchTimes.standard(), this, berth, hold, terms.losses());
      this.helm = new Helm(deck, watch, berth, shore, terms);
    } else {
      this.watch = null;
      this.helm = null;
    }
    contacts.addAll(me.seeds());
  }

  /** Replays the journal; call before {@link #start()}. */
  public void replay(List<Flag> journal) {
    journal.forEach(this::replay);
    replayed();
  }

  /** Replays one record of it; {@link #replayed()} follows the last. */
  public void replay(Flag record) {
    if (watch != null) {
      watch.replay(record);
    }
  }

  public void replayed() {
    if (watch != null && watch.record() != null) {
      learnt(watch.record());
    }
  }

  public List<Flag> journalBase() {
    return watch.journalBase();
  }

  public void start() {
    tick();
  }

  private void tick() {
    long now = deck.now();
    founding.tick();
    if (founding.decided() != null) {
      learnRecord(founding.decided());
    }
    if (watch != null) {
      watch.tick();
      helm.tick();
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
    deck.after(TICK, this::tick);
  }

  private void hello(long now, boolean coreOnly) {
    if (now - lastHello < HELLO) {
      return;
    }
    lastHello = now;
    Flag f =
        new Flag("hello")
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
      to.add(others.get((int) deck.random(others.size())));
    }
    to.stream().distinct().filter(a -> !a.equals(me.address())).forEach(a -> deck.send(a, f));
    if (f.has("blank") && me.seeds().contains(me.address())) {
      founding.blankDisk(new Berth(me.diskId(), me.address(), me.name(), me.zone()));
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
    deck.event("event=epoch_learnt epoch=" + r.epoch() + " primary=" + r.primary().name());
    // Whoever leads now has not seen the poll that is out, or has lost it.
    polling = false;
    deck.after(
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
    Flag f = new Flag("harbour").with("record", r.toFlag());
    nodes.stream().filter(a -> !a.equals(me.address())).forEach(a -> deck.send(a, f));
  }

  @Override
  public void began(EpochRecord record, boolean continued) {
    helm.began(continued, configuration.held());
    learnt(record);
    tell(contacts, record);
    askPrimaryAgain();
  }

  @Override
  public void steppedDown() {
    helm.steppedDown();
  }

  // ------------------------------------------------------------------ news

  private void poll() {
    polling = true;
    polledAt = deck.now();
    polled = known.primary().address();
    Flag f =
        new Flag("poll")
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
            .with("figures", shore.figures());
    if (toldEpoch != known.epoch()) {
      long sum = 0;
      for (Vessel v : roster.values()) {
        sum += v.sum();
      }
      f.with("sum", sum);
    }
    List<Flag> heat = shore.heat();
    if (!heat.isEmpty()) {
      f.withFlags("heat", heat);
    }
    if (!toTell.isEmpty()) {
      List<Flag> told = new ArrayList<>();
      toTell.values().forEach(v -> told.add(v.toFlag(deck.now())));
      toTell.clear();
      f.withFlags("tell", told);
    }
    deck.send(polled, f);
  }

  private void onNews(String from, Flag f) {
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
    heardPrimary = deck.now();
    if (f.has("record")) {
      learnRecord(EpochRecord.of(f.flag("record")));
      takeFleet(f.flag("fleet"));
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

  private void takeFleet(Flag fleet) {
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
    shore.fleet(counts, (int) fleet.number("rank"));
  }

  private void takeAssignments(Flag f) {
    if (!f.has("asno") || f.number("asno") <= assignmentNumber) {
      return;
    }
    try {
      List<Flag> news =
          f.has("aswhole") ? Bale.unpack(f.bytes("aswhole")).flags("entries") : f.flags("as");
      assignmentNumber = f.number("asno");
      news.forEach(shore::assigned);
    } catch (SignalException e) {
      deck.event("event=assignments_unreadable cause=" + e.getMessage());
    }
  }

  private void takeTable(Flag f) {
    long now = deck.now();
    f.flags("table").forEach(v -> takeVessel(Vessel.of(v, now)));
    if (!f.has("whole")) {
      return;
    }
    try {
      Map<String, Vessel> theirs = new HashMap<>();
      for (Flag v : Bale.unpack(f.bytes("whole")).flags("table")) {
        Vessel told = Vessel.of(v, now);
        theirs.put(told.id(), told);
        takeVessel(told);
      }
      if (f.truth("want")) {
        // What is known better here is told again, and nothing else.
        for (Vessel mine : roster.values()) {
          Vessel other = theirs.get(mine.id());
          if (mine.differs(other)
              && (other != null || mine.state().compareTo(VesselState.LOST) < 0)) {
            toTell.put(mine.id(), mine);
          }
        }
      }
    } catch (SignalException e) {
      deck.event("event=table_unreadable cause=" + e.getMessage());
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
            ? (int) deck.random(from.size())
            : Math.floorMod(instance.hashCode(), from.size());
    return from.get(at);
  }

  private void takeConfiguration(Flag f) {
    if (f.has("cfg")) {
      // The primary has read it already, when it took the order.
      configuration.take(f, helm == null ? null : helm.read(f.number("cfg")));
    }
  }

  private void takeVessel(Vessel news) {
    Vessel old = roster.get(news.id());
    Vessel merged = old == null ? news : old.merge(news);
    if (merged == old) {
      return;
    }
    roster.put(merged.id(), merged);
    if (merged.state().compareTo(VesselState.LOST) >= 0) {
      endedAt.put(merged.id(), deck.now());
    } else {
      endedAt.remove(merged.id());
    }
    if (merged.differs(old)) {
      shore.worker(merged);
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
  public void beat(Vessel v, Consumer<Boolean> acknowledged) {
    if (v.state() == VesselState.IN_SERVICE) {
      if (outOfTouch()) {
        // The worker had best tell somebody whose word reaches the primary.
        acknowledged.accept(false);
        return;
      }
      Vessel old = roster.get(v.id());
      takeVessel(v);
      beatsWaiting.put(v.id(), v.toFlag(deck.now()));
      if (old == null) {
        flushBeats();
      } else if (!beatsDue) {
        beatsDue = true;
        deck.after(BEAT_BATCH, this::flushBeats);
      }
      acknowledged.accept(true);
      return;
    }
    takeVessel(v);
    ask(
        new Flag("ask").with("op", "beat").with("vessel", v.toFlag(deck.now())),
        950_000,
        300_000,
        r -> acknowledged.accept(r != null));
  }

  private void flushBeats() {
    beatsDue = false;
    if (beatsWaiting.isEmpty()) {
      return;
    }
    Flag f = new Flag("ask").with("op", "beats").withFlags("beats", beatsWaiting.values());
    beatsWaiting.clear();
    ask(f, 1_500_000, 500_000, r -> {});
  }

  /** The last record known of a worker's life, or null. */
  public Vessel vessel(String id) {
    return roster.get(id);
  }

  // ------------------------------------------------------------------ asks

  /** Asks the primary, wherever the duty goes, until the time-out; null means no clear answer. */
  public void ask(Flag f, long timeout, long resend, Consumer<Flag> answer) {
    ask(null, f, timeout, resend, answer);
  }

  /** Asks the node that claimed a key how the run went; null if it does not say. */
  public void fetch(String holder, String key, String token, long timeout, Consumer<Flag> answer) {
    ask(
        holder,
        new Flag("fetch").with("key", key).with("token", token),
        timeout,
        timeout / 3 + 1,
        r -> answer.accept(r == null ? null : r.flag("answer")));
  }

  /** Asks one node, once; null means that nothing says whether it took what it was asked. */
  public void askNode(String node, Flag f, long timeout, Consumer<Flag> answer) {
    ask(node, f, timeout, ONCE, answer);
  }

  /** Sends to one node what wants no reply. */
  public void send(String node, Flag f) {
    deck.send(node, f);
  }

  /** This node's tokens of the tenants' quotas. */
  public Stores stores() {
    return stores;
  }

  /** Names this process's life, for running totals. */
  public long life() {
    return me.life();
  }

  private void ask(String to, Flag f, long timeout, long resend, Consumer<Flag> answer) {
    Ask a = new Ask();
    a.node = to;
    long id = ++askNumber;
    a.flag = f.with("rid", id);
    a.answer = answer;
    a.resend = resend;
    asks.put(id, a);
    sendAsk(a);
    deck.after(
        timeout,
        () -> {
          Ask late = asks.remove(id);
          if (late != null) {
            late.answer.accept(null);
          }
        });
  }

  private void sendAsk(Ask a) {
    a.sentAt = deck.now();
    if (a.node != null) {
      deck.send(a.node, a.flag);
      a.connection = deck.connection(a.node);
    } else if (known != null) {
      deck.send(known.primary().address(), a.flag);
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
                a.answer.accept(new Flag("reply").with("no", "unsent"));
              }
            });
    peerLost(address, neverUp);
  }

  /** The same, where nobody knows on which connection what was sent. */
  public void peerLost(String address, boolean neverUp) {
    if (watch != null && !neverUp) {
      watch.peerClosed(address);
    }
    shore.peerLost(address);
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
    return deck.now() - heardPrimary > OUT_OF_TOUCH;
  }

  // -------------------------------------------------------------- messages

  public void onMessage(String from, Flag f) {
    switch (f.kind()) {
      case "hello" -> {
        if (f.has("blank")) {
          founding.blankDisk(
              new Berth(f.text("blank"), f.text("addr"), f.text("name"), f.text("zone")));
        }
        if (known != null) {
          deck.send(from, new Flag("harbour").with("record", known.toFlag()));
        }
      }
      case "harbour" -> learnRecord(EpochRecord.of(f.flag("record")));
      case "news" -> onNews(from, f);
      case "poll" -> {
        if (helm != null) {
          helm.onPoll(from, f);
        } else if (known != null) {
          deck.send(from, new Flag("harbour").with("record", known.toFlag()));
        }
      }
      case "ask" -> {
        if (helm != null) {
          long rid = f.number("rid");
          helm.serve(f, r -> deck.send(from, r.with("rid", rid)));
        }
      }
      case "fetch" ->
          deck.send(
              from,
              new Flag("reply")
                  .with("rid", f.number("rid"))
                  .with("answer", shore.outcome(f.text("key"), f.text("token"))));
      case "reply" -> {
        if (f.truth("moved")) {
          learnRecord(EpochRecord.of(f.flag("record")));
          return;
        }
        Ask a = asks.remove(f.number("rid"));
        if (a != null) {
          a.answer.accept(f);
        }
      }
      default -> {
        if (founding.onMessage(from, f) || watch != null && watch.onMessage(from, f)) {
          return;
        }
        long rid = f.number("rid");
        shore.message(from, f, r -> deck.send(from, r.with("rid", rid)));
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
