package org.otterpond.control.primary;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.otterpond.config.GatewayConfiguration;
import org.otterpond.control.epoch.EpochReplica;
import org.otterpond.control.state.Assignments;
import org.otterpond.control.state.CompressedText;
import org.otterpond.control.state.ConfigurationUpdateParser;
import org.otterpond.control.state.CoreMember;
import org.otterpond.control.state.EpochAnnouncement;
import org.otterpond.control.state.EpochRecord;
import org.otterpond.control.state.IdempotencyKeyLock;
import org.otterpond.control.state.ParsedConfiguration;
import org.otterpond.control.state.WorkerInstance;
import org.otterpond.control.state.WorkerState;
import org.otterpond.keyrange.KeyRange;
import org.otterpond.keyrange.KeyRangeManager;
import org.otterpond.protocol.CompressedPayload;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;
import org.otterpond.runtime.NodeRuntime;

/**
 * What the primary does for the nodes: leases and long polls, the worker table, configuration,
 * operation keys.
 */
public final class PrimaryServices {
  private static final long LEASE = 2_500_000;
  private static final long POLL_HOLD = 700_000;
  private static final long EARLY_KEPT = 1_500_000;
  private static final long DRAIN_WAIT = 800_000;

  /** So long after an epoch began, every node in touch has shown itself to the new primary. */
  private static final long ALL_POLLED = 400_000;

  private static final long FOLLOWED = 10_000;

  /**
   * An answer that tells of authority older than this is followed by another as soon as there is
   * better to tell.
   */
  private static final long DOUBTFUL = 500_000;

  private static final long EMPTY_AT_FIRST = 1_000_000;
  private static final long MEMBER_DEAD = 1_500_000;

  private final NodeRuntime runtime;
  private final EpochReplica watch;
  private final CoreMember self;
  private final WorkerRegistry register;
  private final QuotaOwner quotaOwner;
  private final Map<String, Lease> leases = new HashMap<>();
  private final Map<String, Early> early = new HashMap<>();
  private final Map<String, List<Consumer<WireRecord>>> claimsInWriting = new HashMap<>();
  private final List<DrainWait> drains = new ArrayList<>();

  /** The assignments as committed, which is what may be told; the hold's own are a moment ahead. */
  private Assignments committed = new Assignments();

  private byte[] packedAssignments;
  private long packedAssignmentNumber = -1;
  private final ReplicaPlacement placement;
  private final CoreMembership membership;
  private final KeyRangeManager keeper;

  private PendingWrite writing;

  /** The newest version, if it has been read here. */
  private ParsedConfiguration newest;

  private final ConfigurationChangeLog changes = new ConfigurationChangeLog();
  private boolean newsDue;
  private long nodesVersion;
  private FleetDigest plan;
  private FleetDigest storePlan;
  private long beganAt;

  /**
   * Names this node's unbroken time as primary; running totals of lent tokens belong to one term.
   */
  private long term;

  private long quotaOwnerTicked;
  private byte[] packedTable;
  private long packedVersion;
  private long packedAt;

  private static final class Lease {
    WireRecord poll;
    boolean waiting;
    long at;
    long heldSince;
    long tableVersion;
    long nodesVersion = -1;
    long firstSeen;
    boolean doubtful;
  }

  private record Early(WireRecord poll, long at) {}

  private static final class DrainWait {
    long version;
    long deadline;
    boolean durable;
    Consumer<WireRecord> reply;
  }

  private static final class PendingWrite {
    String digest;
    final List<Consumer<WireRecord>> replies = new ArrayList<>();
  }

  public PrimaryServices(
      NodeRuntime runtime,
      EpochReplica watch,
      CoreMember self,
      DataPlane dataPlane,
      ControlPlaneSettings terms) {
    this.runtime = runtime;
    this.watch = watch;
    this.self = self;
    this.register = new WorkerRegistry(terms.heartbeatMicros());
    this.quotaOwner = new QuotaOwner(terms.quota());
    this.placement =
        new ReplicaPlacement(
            runtime, terms.losses().machines(), terms.losses().zones(), this::assign);
    this.membership = new CoreMembership(runtime, watch, terms.losses());
    this.keeper =
        new KeyRangeManager(
            new PrimaryKeyRangeRuntime(runtime, dataPlane, watch, register, this::assign),
            terms.hold());
  }

  /**
   * @param held what is in force on this node
   */
  public void began(boolean continued, ParsedConfiguration held) {
    beganAt = runtime.now();
    if (!continued) {
      term = watch.record().epoch();
      quotaOwner.reset();
    }
    committed = watch.hold().assignments().copy();
    packedAssignmentNumber = -1;
    placement.began();
    stock(held);
    register.reset(runtime.now());
    watch
        .hold()
        .workers()
        .forEach(w -> register.take(WorkerInstance.of(w, runtime.now()), runtime.now()));
    keeper.began(committed.under(KeyRange.PREFIX), continued);
    // Their polls were of the epoch before, and are answered no more.
    EpochAnnouncement begun = new EpochAnnouncement(watch.record());
    leases.keySet().forEach(a -> runtime.send(a, begun));
    leases.clear();
    drains.clear();
    changes.clear();
    packedVersion = -1;
    nodesVersion++;
    Map<String, Early> polls = new HashMap<>(early);
    early.clear();
    long now = runtime.now();
    // An older one may be of a process, or of a disk, that is no more.
    polls.values().removeIf(p -> now - p.at() > EARLY_KEPT);
    // A moment later the backups have said that they follow, which the answers must tell.
    runtime.after(
        FOLLOWED,
        () ->
            polls.forEach(
                (from, p) -> {
                  if (!leases.containsKey(from)) {
                    onPoll(from, p.poll());
                  }
                }));
  }

  public void steppedDown() {
    claimsInWriting.clear();
    drains.clear();
    writing = null;
    EpochRecord known = watch.known();
    for (Map.Entry<String, Lease> e : leases.entrySet()) {
      if (e.getValue().waiting) {
        runtime.send(e.getKey(), new EpochAnnouncement(known));
      }
    }
    leases.clear();
  }

  // ----------------------------------------------------------------- polls

  public void onPoll(String from, WireRecord poll) {
    if (!watch.leading()) {
      if (watch.known() != null && !watch.known().primary().diskId().equals(self.diskId())) {
        runtime.send(from, new EpochAnnouncement(watch.known()));
      } else {
        // This node is about to lead, as far as anybody knows: the poll is answered once it does.
        early.put(from, new Early(poll, runtime.now()));
      }
      return;
    }
    long now = runtime.now();
    Lease l = leases.get(from);
    if (l == null || (l.poll.number("life") != poll.number("life"))) {
      l = new Lease();
      l.firstSeen = now;
      leases.put(from, l);
      nodesVersion++;
    }
    l.poll = poll;
    l.at = now;
    l.heldSince = now;
    l.waiting = true;
    poll.records("heat").forEach(keeper::reported);
    if (poll.has("tell")) {
      poll.records("tell").forEach(f -> take(WorkerInstance.of(f, now)));
    }
    if (poll.number("epoch") == watch.record().epoch()) {
      l.tableVersion = poll.number("table");
    } else {
      // Most nodes hold what this one holds: then neither needs to tell the other.
      l.tableVersion = poll.number("sum") == register.sum() ? register.version() : 0;
    }
    checkDrains();
    answer(from, l, false);
  }

  private void newsDue() {
    if (!newsDue) {
      newsDue = true;
      runtime.after(
          5_000,
          () -> {
            newsDue = false;
            if (watch.leading()) {
              leases.forEach((a, l) -> answer(a, l, false));
            }
          });
    }
  }

  private void answer(String to, Lease l, boolean now) {
    if (!l.waiting) {
      return;
    }
    long epoch = watch.record().epoch();
    boolean config = watch.committedRevision() > l.poll.number("cfg");
    boolean table = register.version() > l.tableVersion;
    // Who else is there is news for which nobody need be woken: it goes with the next answer.
    boolean nodes = l.nodesVersion != nodesVersion;
    boolean fresh = l.poll.number("epoch") != epoch;
    boolean assigned = committed.number() > l.poll.number("as");
    if (!config && !table && !assigned && !fresh && l.nodesVersion >= 0 && !now) {
      return;
    }
    long back = Math.max(0, l.heldSince - watch.followedSince());
    l.doubtful = back > DOUBTFUL;
    WireRecord news =
        new WireRecord("news")
            .with("epoch", epoch)
            .with("ver", register.version())
            .with("pn", l.poll.number("pn"))
            .with("rev", watch.committedRevision())
            // How long before the poll came this node is known to have led.
            .with("back", back);
    if (fresh || nodes) {
      if (plan == null || plan.version() != nodesVersion) {
        plan = plan(false);
        storePlan = plan(true);
      }
      FleetDigest own = l.poll.has("store") ? storePlan : plan;
      news.with("record", watch.record().toWireRecord())
          .with("fleet", own.toWireRecord(l.poll.text("zone"), to));
      l.nodesVersion = nodesVersion;
    }
    if (config) {
      byte[] whole = watch.packedText();
      // Nodes of earlier versions do not say that they can use them.
      List<WireRecord> since =
          l.poll.truth("changes")
              ? changes.between(l.poll.number("cfg"), watch.committedRevision(), whole.length)
              : List.of();
      news.with("cfg", watch.committedRevision());
      if (since.isEmpty()) {
        news.with("text", whole);
      } else {
        news.withRecords("changes", since);
      }
    }
    if (table) {
      if (l.tableVersion == 0) {
        news.with("whole", packedTable());
        news.with("want", l.poll.number("sum") != 0 ? true : null);
      } else {
        List<WireRecord> workers = new ArrayList<>();
        register.newerThan(l.tableVersion).forEach(v -> workers.add(v.toWireRecord(runtime.now())));
        news.withRecords("table", workers);
      }
    }
    if (assigned) {
      news.with("asno", committed.number());
      if (l.poll.number("as") == 0) {
        news.with("aswhole", packedAssignments());
      } else {
        news.withRecords("as", committed.newerThan(l.poll.number("as")));
      }
    }
    l.waiting = false;
    runtime.send(to, news);
  }

  private byte[] packedAssignments() {
    if (packedAssignmentNumber != committed.number()) {
      packedAssignments = CompressedPayload.pack(committed.snapshot());
      packedAssignmentNumber = committed.number();
    }
    return packedAssignments;
  }

  /** Writes one assignment; it is told once it is committed. False if this node does not lead. */
  private boolean assign(WireRecord entry, Runnable done) {
    return watch.propose(
        entry,
        () -> {
          committed.apply(entry);
          newsDue();
          done.run();
        });
  }

  /** The machines that store messages and hold a lease. */
  private List<ReplicaPlacement.Store> stores() {
    List<ReplicaPlacement.Store> out = new ArrayList<>();
    leases.forEach(
        (a, l) -> {
          if (l.poll.has("store")) {
            out.add(
                new ReplicaPlacement.Store(
                    l.poll.text("store"), a, l.poll.text("name"), l.poll.text("zone"), l.at));
          }
        });
    return out;
  }

  private FleetDigest plan(boolean stores) {
    Map<String, WireRecord> polls = new HashMap<>();
    leases.forEach(
        (a, l) -> {
          if (l.poll.has("store") == stores) {
            polls.put(a, l.poll);
          }
        });
    return FleetDigest.of(nodesVersion, polls);
  }

  /**
   * The whole table as it goes to every node that has none; warm-up times in it are a moment old at
   * the most.
   */
  private byte[] packedTable() {
    long now = runtime.now();
    if (packedVersion != register.version() || now - packedAt > 1_000_000) {
      List<WireRecord> workers = new ArrayList<>();
      register.newerThan(0).forEach(v -> workers.add(v.toWireRecord(now)));
      packedTable = CompressedPayload.pack(new WireRecord("table").withRecords("table", workers));
      packedVersion = register.version();
      packedAt = now;
    }
    return packedTable;
  }

  // ------------------------------------------------------------------ time

  public void tick() {
    if (!watch.leading()) {
      return;
    }
    long now = runtime.now();
    Iterator<Map.Entry<String, Lease>> it = leases.entrySet().iterator();
    while (it.hasNext()) {
      Map.Entry<String, Lease> e = it.next();
      Lease l = e.getValue();
      boolean better = l.doubtful && now - watch.followedSince() < DOUBTFUL;
      if (l.waiting && (better || now - l.heldSince > POLL_HOLD)) {
        answer(e.getKey(), l, true);
      }
      if (now - l.at > LEASE) {
        runtime.event("event=lease_lapsed node=" + l.poll.text("name"));
        it.remove();
        nodesVersion++;
      }
    }
    List<WorkerInstance> lost = register.expire(now);
    lost.forEach(
        v -> {
          runtime.event("event=worker_lost instance=" + v.id() + " service=" + v.service());
          keep(v, () -> {});
        });
    if (!lost.isEmpty()) {
      newsDue();
    }
    checkDrains();
    membership.tick(newcomers(now));
    keeper.tick();
    placement.tick(now, stores(), watch.hold().assignments());
    if (now - quotaOwnerTicked > 1_000_000) {
      quotaOwnerTicked = now;
      quotaOwner.tick(now);
    }
  }

  /** The machines with a disk that hold a lease and are no members of the core. */
  private List<CoreMembership.Newcomer> newcomers(long now) {
    List<CoreMembership.Newcomer> out = new ArrayList<>();
    for (Lease l : leases.values()) {
      String id = l.poll.text("disk");
      if (id != null && !watch.record().hasMember(id) && now - l.at <= LEASE / 2) {
        out.add(
            new CoreMembership.Newcomer(
                new CoreMember(id, l.poll.text("addr"), l.poll.text("name"), l.poll.text("zone")),
                l.firstSeen));
      }
    }
    return out;
  }

  // ------------------------------------------------------------------- ops

  /** Serves one asked operation; the reply may come later, or never if the duty is lost. */
  public void serve(WireRecord ask, Consumer<WireRecord> reply) {
    if (!watch.leading()) {
      // Mid-change the asker asks again by itself; elsewhere it learns whom to ask.
      if (watch.known() != null && !watch.known().primary().diskId().equals(self.diskId())) {
        reply.accept(
            new WireRecord("reply")
                .with("moved", true)
                .with("record", watch.known().toWireRecord()));
      }
      return;
    }
    switch (ask.text("op")) {
      case "claim" -> claim(ask, reply);
      case "free" -> free(ask, reply);
      case "lend" -> {
        List<WireRecord> lent = new ArrayList<>();
        ask.records("tenants").forEach(t -> lent.add(lend(ask, t)));
        reply.accept(new WireRecord("reply").with("term", term).withRecords("lent", lent));
      }
      case "beat" -> beat(ask, reply);
      case "beats" -> {
        ask.records("beats").forEach(f -> take(WorkerInstance.of(f, runtime.now())));
        // Told again to whoever leads, unless it was this node.
        watch.confirmLater(
            ok -> {
              if (ok) {
                reply.accept(new WireRecord("reply"));
              }
            });
      }
      case "reconfigure" ->
          placement.reconfigure(ask, watch.hold().assignments(), committed, reply, proved(reply));
      case "candidate-failed" ->
          placement.candidateFailed(ask, watch.hold().assignments(), proved(reply));
      case "retire" ->
          placement.retire(
              ask.text("node"),
              stores(),
              watch.hold().assignments(),
              committed,
              reply,
              proved(reply));
      case "retired" -> proved(reply).accept(ReplicaPlacement.retired(ask.text("node"), committed));
      case "write" -> write(ask, reply);
      case "read" ->
          watch.confirm(
              ok -> {
                if (ok) {
                  reply.accept(
                      new WireRecord("reply")
                          .with("rev", watch.committedRevision())
                          .with("text", watch.packedText()));
                }
              });
      case "status" -> watch.confirm(ok -> reply.accept(status(ok)));
      default -> reply.accept(new WireRecord("reply").with("error", "unknown operation"));
    }
  }

  /**
   * For answers that rest on what this node holds, refusals among them: each is given once it is
   * proved that this node led after the question came, and never if it did not. Who woke up with
   * old state says nothing by it.
   */
  private Consumer<WireRecord> proved(Consumer<WireRecord> reply) {
    return r ->
        watch.confirm(
            ok -> {
              if (ok) {
                reply.accept(r);
              }
            });
  }

  /**
   * Lets a claim go that did not run; answered once that is durable, or there is nothing to let go.
   */
  private void free(WireRecord ask, Consumer<WireRecord> reply) {
    IdempotencyKeyLock c = watch.hold().claim(ask.text("key"));
    if (c != null && c.token().equals(ask.text("token"))) {
      watch.propose(
          new WireRecord("free").with("key", ask.text("key")).with("token", ask.text("token")),
          () -> reply.accept(new WireRecord("reply")));
    } else {
      proved(reply).accept(new WireRecord("reply"));
    }
  }

  private void inForce(ParsedConfiguration read) {
    newest = read;
    GatewayConfiguration c = read.checked();
    quotaOwner.configured(c, runtime.now());
    Set<String> divided = new HashSet<>();
    c.services()
        .values()
        .forEach(
            s -> {
              if (s.partitioned()) {
                divided.add(s.name());
              }
            });
    keeper.configured(divided);
  }

  /** The version, if it is the newest one and this node has read it. */
  public ParsedConfiguration read(long revision) {
    return newest != null && newest.revision() == revision && watch.leading() ? newest : null;
  }

  /**
   * Finds the limits in force for the quotas, as a new primary. What this node has read before is
   * not read again.
   */
  private void stock(ParsedConfiguration held) {
    long revision = watch.committedRevision();
    if (newest != null && newest.revision() == revision) {
      inForce(newest);
    } else if (held.revision() == revision) {
      if (held.checked() != null) {
        inForce(held);
      }
    } else if (watch.committedText() != null) {
      ConfigurationUpdateParser r =
          new ConfigurationUpdateParser(
              new WireRecord("news").with("cfg", revision).with("text", watch.packedText()),
              ParsedConfiguration.NONE);
      Runnable then =
          () -> {
            if (r.result() == null) {
              runtime.event(
                  "event=configuration_unreadable revision=" + revision + " cause=" + r.cause());
            } else if (watch.leading() && watch.committedRevision() == revision) {
              inForce(r.result());
            }
          };
      readApart(r.isLong(), r, then);
    }
  }

  private void readApart(boolean isLong, Runnable reading, Runnable then) {
    if (isLong) {
      runtime.apart(reading, then);
    } else {
      reading.run();
      then.run();
    }
  }

  /** One tenant's part of an ask for tokens. */
  private WireRecord lend(WireRecord ask, WireRecord tenant) {
    WireRecord out = new WireRecord("lent").with("tenant", tenant.text("tenant"));
    long now = runtime.now();
    if (!watch.mayGive()) {
      return out.with("count", 0).with("again", Math.max(50_000, watch.givingFrom() - now));
    }
    boolean known = ask.number("term") == term;
    QuotaOwner.Lent l =
        quotaOwner.lend(
            tenant.text("tenant"),
            ask.number("life"),
            known ? tenant.number("used") : 0,
            known ? tenant.number("returned") : 0,
            (int) tenant.number("need"),
            (int) tenant.number("spare"),
            now);
    // A new owner's buckets are empty for a while: what they lack then says nothing about the
    // tenant.
    boolean settled = now - watch.givingFrom() > EMPTY_AT_FIRST;
    return out.with("count", l.count())
        .with("again", l.againMicros())
        .with("over", l.over() && settled ? true : null);
  }

  private void claim(WireRecord ask, Consumer<WireRecord> reply) {
    String key = ask.text("key");
    String token = ask.text("token");
    IdempotencyKeyLock c = watch.hold().claim(key);
    List<Consumer<WireRecord>> pending = claimsInWriting.get(token);
    if (pending != null) {
      pending.add(reply);
      return;
    }
    if (c != null) {
      proved(reply)
          .accept(
              c.token().equals(token)
                  ? new WireRecord("reply").with("granted", true)
                  : new WireRecord("reply").with("holder", c.holder()).with("run", c.token()));
      return;
    }
    WireRecord lent = ask.has("tenant") ? lend(ask, ask.nested("tenant")) : null;
    if (lent != null && lent.number("count") == 0) {
      reply.accept(new WireRecord("reply").with("term", term).with("lent", lent));
      return;
    }
    claimsInWriting.put(token, new ArrayList<>(List.of(reply)));
    boolean taken =
        watch.propose(
            new WireRecord("claim")
                .with("key", key)
                .with("token", token)
                .with("holder", ask.text("holder")),
            () -> {
              List<Consumer<WireRecord>> replies = claimsInWriting.remove(token);
              IdempotencyKeyLock now = watch.hold().claim(key);
              // While an epoch was changing, two claims of one key may both have waited: the last
              // written
              // holds it.
              boolean mine = now != null && now.token().equals(token);
              WireRecord r =
                  mine
                      ? new WireRecord("reply")
                          .with("granted", true)
                          .with("term", term)
                          .with("lent", lent)
                      : new WireRecord("reply")
                          .with("holder", now == null ? null : now.holder())
                          .with("run", now == null ? null : now.token());
              if (replies != null) {
                replies.forEach(x -> x.accept(r));
              }
            });
    if (!taken) {
      claimsInWriting.remove(token);
    }
  }

  private void beat(WireRecord ask, Consumer<WireRecord> reply) {
    WorkerInstance v = WorkerInstance.of(ask.nested("vessel"), runtime.now());
    take(v);
    if (v.state() == WorkerState.IN_SERVICE) {
      proved(reply).accept(new WireRecord("reply"));
      return;
    }
    DrainWait d = new DrainWait();
    d.deadline = runtime.now() + DRAIN_WAIT;
    d.reply = reply;
    d.version = register.version();
    drains.add(d);
    // Written again though it may be known: the acknowledgement waits for a commit of its own.
    keep(
        register.get(v.id()),
        () -> {
          d.durable = true;
          checkDrains();
        });
  }

  /**
   * Takes what is told of a worker; a change is delivered, and written so that it outlives every
   * process.
   */
  private void take(WorkerInstance v) {
    if (register.take(v, runtime.now())) {
      newsDue();
      keep(register.get(v.id()), () -> {});
    }
  }

  private void keep(WorkerInstance v, Runnable written) {
    watch.propose(v.toWireRecord("worker", runtime.now()), written);
  }

  /** Acknowledges leavers once every node that holds a lease has them as such. */
  private void checkDrains() {
    if (drains.isEmpty()) {
      return;
    }
    long confirmed = Long.MAX_VALUE;
    for (Lease l : leases.values()) {
      confirmed = Math.min(confirmed, l.tableVersion);
    }
    Iterator<DrainWait> it = drains.iterator();
    List<DrainWait> ready = new ArrayList<>();
    while (it.hasNext()) {
      DrainWait d = it.next();
      boolean everywhere = d.version <= confirmed && runtime.now() - beganAt > ALL_POLLED;
      if (d.durable && (everywhere || runtime.now() > d.deadline)) {
        it.remove();
        ready.add(d);
      }
    }
    ready.forEach(d -> d.reply.accept(new WireRecord("reply")));
  }

  // --------------------------------------------------------- configuration

  private static WireRecord verdict(int status, String cause) {
    return new WireRecord("reply").with("status", status).with("cause", cause);
  }

  private void write(WireRecord ask, Consumer<WireRecord> reply) {
    String text;
    try {
      text = CompressedPayload.unpackText(ask.bytes("text"));
    } catch (ProtocolException e) {
      reply.accept(verdict(400, "body: unreadable on its way"));
      return;
    }
    long base = ask.number("base");
    String kind = ask.text("kind");
    String digest =
        Hashing.sha256()
            .hashString(kind + "\n" + base + "\n" + text, StandardCharsets.UTF_8)
            .toString();
    if (writing != null) {
      if (writing.digest.equals(digest)) {
        writing.replies.add(reply);
      }
      // Another change is being written: say nothing, the asker asks again within its time.
      return;
    }
    PendingWrite w = new PendingWrite();
    w.digest = digest;
    w.replies.add(reply);
    writing = w;
    ConfigurationWriteParser r =
        new ConfigurationWriteParser(
            kind,
            text,
            newest != null && newest.revision() == watch.committedRevision() ? newest : null,
            watch.committedText());
    readApart(
        r.isLong(),
        r,
        () -> {
          if (writing == w) {
            judge(w, r, base, kind.equals("modify") ? text : null);
          }
        });
  }

  /** Takes the order that was read, or says why not. */
  private void judge(PendingWrite w, ConfigurationWriteParser r, long base, String change) {
    long current = watch.committedRevision();
    WireRecord verdict = null;
    if (r.unreadable() != null) {
      verdict = verdict(400, r.unreadable());
    } else if (watch.hold().taken().holds(r.revision(), w.digest)) {
      verdict = verdict(200, null);
    } else if (base != current) {
      verdict = verdict(412, "X-Otterpond-Base-Revision: the current revision is " + current);
    } else if (r.revision() <= current) {
      verdict = verdict(400, "revision: not above the current " + current);
    } else if (r.invalid() != null) {
      // A modification is judged together with what it changes.
      verdict = verdict(400, r.invalid());
    }
    if (verdict != null) {
      writing = null;
      WireRecord given = verdict;
      w.replies.forEach(reply -> proved(reply).accept(given));
      return;
    }
    boolean taken =
        watch.propose(
            CompressedText.put(r.packed(), new WireRecord("config").with("rev", r.revision()))
                .with("digest", w.digest),
            () -> {
              writing = null;
              if (change != null) {
                changes.add(base, r.revision(), CompressedPayload.pack(change));
              } else {
                changes.clear();
              }
              inForce(r.result());
              runtime.event("event=configuration_taken revision=" + r.revision() + " base=" + base);
              w.replies.forEach(reply -> reply.accept(verdict(200, null)));
              newsDue();
            });
    if (!taken) {
      writing = null;
    }
  }

  private WireRecord status(boolean confirmed) {
    EpochRecord r = watch.record();
    List<WireRecord> nodes = new ArrayList<>();
    long now = runtime.now();
    List<WireRecord> storing = new ArrayList<>();
    leases.forEach(
        (a, l) -> {
          WireRecord row =
              new WireRecord("node")
                  .with("name", l.poll.text("name"))
                  .with("addr", a)
                  .with("zone", l.poll.text("zone"))
                  .with("cfg", l.poll.number("cfg"))
                  .with("silent_ms", Math.max(0, now - l.at) / 1000);
          WireRecord figures = l.poll.nested("figures");
          if (figures != null) {
            figures.fields().forEach(row::with);
          }
          (l.poll.has("store") ? storing : nodes).add(row);
        });
    List<Object> silent = new ArrayList<>();
    r.members().stream()
        .filter(m -> !m.diskId().equals(self.diskId()) && watch.silent(m, MEMBER_DEAD))
        .forEach(m -> silent.add(m.name()));
    List<WireRecord> workers = new ArrayList<>();
    register.newerThan(0).forEach(v -> workers.add(v.toWireRecord(now)));
    return new WireRecord("reply")
        .with("confirmed", confirmed)
        .with("record", r.toWireRecord())
        .with("silent", silent)
        .with("rev", watch.committedRevision())
        .with("claims", watch.hold().claimCount())
        .withRecords("nodes", nodes)
        .withRecords("stores", storing)
        .withRecords("workers", workers)
        .withRecords("quotas", quotaOwner.status(now))
        .withRecords("keys", keeper.status())
        .with("partitions", ReplicaPlacement.status(committed));
  }
}
