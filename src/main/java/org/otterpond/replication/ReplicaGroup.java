package org.otterpond.replication;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.otterpond.protocol.WireRecord;

/**
 * One replica of one group, after PacificA: the primary gives serial numbers and commits what every
 * replica has prepared; the configuration manager decides who is in the group; a new primary
 * reconciles before it serves. Nothing here touches a socket, a disk or a clock.
 */
public final class ReplicaGroup {
  private static final int BATCH = 256;
  private static final int BATCH_BYTES = 256 * 1024;
  private static final long PROPOSE_AGAIN = 200_000;
  private static final long CANDIDATE_STALL = 1_500_000;
  private static final int PIECES_BYTES = 192 * 1024;

  private final int id;
  private final String me;
  private final ReplicaGroupRuntime host;
  private final ReplicaGroupTimeouts times;
  private final StateMachine machine;
  private final PreparedList list;

  private GroupConfiguration view;

  /**
   * Whether this replica's state is whole: from the founding, from a transfer that ended, or from
   * its journal.
   */
  private boolean whole;

  /** The version under which this secondary's list was reconciled with the primary's. */
  private long reconciledVersion;

  /**
   * Began in this life with what the journal held: it must not go on as primary under the same
   * version.
   */
  private boolean revived;

  // As secondary.
  private long beaconAt;
  private boolean deposing;

  // As primary.
  private boolean reconciled;
  private long reconcileTo;
  private boolean served;
  private boolean broken;
  private long ownProgressAt;
  private boolean handingOver;

  /**
   * Has proposed another in its place: whether that is in force it may hear late, so it serves no
   * more until it does.
   */
  private boolean aside;

  private long adoptedAt;
  private final Map<String, Follower> followers = new HashMap<>();
  private final Map<Long, Runnable> waiting = new HashMap<>();
  private final ArrayDeque<Update> parked = new ArrayDeque<>();
  private boolean flushDue;
  private boolean proposing;
  private long proposedAt;
  private long transferNumber;

  // As candidate.
  private long transfer;
  private String source;
  private boolean copyKept;
  private long piecesTaken;

  private record Update(
      WireRecord entry, boolean needsCopies, Runnable committed, Runnable refused) {}

  private static final class Follower {
    /** A candidate until the configuration has it. */
    boolean candidate;

    /** The candidate holds the whole copy durably. */
    boolean copied;

    /**
     * It was proposed as a member, and the proposal may come into force until the version has
     * changed.
     */
    boolean mayBeMember;

    long transfer;
    long sent;
    long acked;
    boolean reconciled;
    long beaconAt = Long.MIN_VALUE / 2;
    long sentAt;
    long progressAt;
    long lostAt;
  }

  public ReplicaGroup(
      int id,
      String me,
      ReplicaGroupRuntime host,
      ReplicaGroupTimeouts times,
      StateMachine machine) {
    this.id = id;
    this.me = me;
    this.host = host;
    this.times = times;
    this.machine = machine;
    this.list = new PreparedList(id, host, machine);
  }

  /** One line for logs and failed tests. */
  @Override
  public String toString() {
    StringBuilder b =
        new StringBuilder(
                "group="
                    + id
                    + " version="
                    + (view == null
                        ? "none"
                        : view.version()
                            + " primary="
                            + view.primary()
                            + " secondaries="
                            + view.secondaries()
                            + " wanted="
                            + view.wanted()))
            .append(
                " whole="
                    + whole
                    + " reconciled="
                    + reconciled
                    + " last="
                    + list.last()
                    + " durable="
                    + list.durable()
                    + " committed="
                    + list.committed()
                    + " handing="
                    + handingOver
                    + " revived="
                    + revived
                    + " broken="
                    + broken
                    + " deposing="
                    + deposing
                    + " source="
                    + source);
    followers.forEach(
        (m, f) ->
            b.append(
                " ["
                    + m
                    + " candidate="
                    + f.candidate
                    + " copied="
                    + f.copied
                    + " reconciled="
                    + f.reconciled
                    + " acked="
                    + f.acked
                    + " may="
                    + f.mayBeMember
                    + "]"));
    return b.toString();
  }

  public GroupConfiguration view() {
    return view;
  }

  public long committed() {
    return list.committed();
  }

  private boolean primary() {
    return view != null && view.primary().equals(me);
  }

  private boolean secondary() {
    return view != null && view.secondaries().contains(me);
  }

  /** Whether this node takes part in the group, or is being brought up to date for it. */
  public boolean involved() {
    return primary() || secondary() || source != null;
  }

  /**
   * Whether queries and updates may be served: named primary, reconciled, every secondary's lease
   * live.
   */
  public boolean serving() {
    return primary() && whole && reconciled && !handingOver && !aside && leased();
  }

  private boolean leased() {
    long now = host.now();
    for (String s : view.secondaries()) {
      Follower f = followers.get(s);
      if (f == null || now - f.beaconAt >= times.lease()) {
        return false;
      }
    }
    return true;
  }

  private boolean enoughCopies() {
    return view.members().size() >= view.wanted().size();
  }

  // --------------------------------------------------------- configuration

  /** Takes the manager's news, which come in its order. */
  public void learn(GroupConfiguration v) {
    if (view != null && v.version() == view.version()) {
      view = view.wanting(v.wanted());
    } else {
      hear(v);
    }
  }

  /**
   * Takes a configuration that the manager has installed, from wherever it was heard. Who is wanted
   * may change within a version: what is heard of the version in force may be older than the news,
   * and says nothing new.
   */
  private void hear(GroupConfiguration v) {
    if (view != null && v.version() <= view.version()) {
      return;
    }
    boolean wasPrimary = primary();
    boolean follows = view != null && v.version() == view.version() + 1 && wasPrimary;
    if (view == null && v.version() == 1 && v.has(me)) {
      whole = true;
    }
    GroupConfiguration before = view;
    view = v;
    deposing = false;
    handingOver = false;
    aside = false;
    revived = false;
    adoptedAt = host.now();
    beaconAt = host.now();
    if (v.has(me) && whole || before != null && before.has(me)) {
      host.journal(v.toWireRecord("view"), place -> {});
    }
    if (!v.primary().equals(me)) {
      deposed();
    }
    if (v.primary().equals(me) && whole) {
      source = null;
      lead(follows);
    } else if (v.secondaries().contains(me)) {
      source = null;
      reconciledVersion = 0;
    } else if (source != null && !v.primary().equals(source)) {
      source = null;
      forget();
    } else if (source == null && before != null && before.has(me)) {
      forget();
    }
  }

  /** No part in the group any more: what is held here counts for nothing. */
  private void forget() {
    whole = false;
    machine.clear();
    list.reset(0);
    host.journal(new WireRecord("drop").with("group", id), place -> {});
  }

  private void deposed() {
    reconciled = false;
    followers.clear();
    waiting.clear();
    List<Update> back = new ArrayList<>(parked);
    parked.clear();
    back.forEach(u -> u.refused().run());
    tellServing();
  }

  private void tellServing() {
    boolean now = serving();
    if (now != served) {
      served = now;
      machine.serving(now);
    }
  }

  private void propose(GroupConfiguration next) {
    long now = host.now();
    if (proposing && now - proposedAt < 4 * PROPOSE_AGAIN || now - proposedAt < PROPOSE_AGAIN) {
      return;
    }
    proposing = true;
    proposedAt = now;
    host.propose(
        next,
        v -> {
          proposing = false;
          if (v != null) {
            hear(v);
          }
        });
  }

  // ------------------------------------------------------------ as primary

  /**
   * Begins a version as its primary: every secondary's list is made like this one before anything
   * is served.
   */
  private void lead(boolean continued) {
    reconciled = false;
    proposing = false;
    reconcileTo = list.last();
    ownProgressAt = host.now();
    Map<String, Follower> before = new HashMap<>(followers);
    followers.clear();
    for (String s : view.secondaries()) {
      Follower f = new Follower();
      Follower old = before.get(s);
      if (continued && old != null) {
        f.beaconAt = old.beaconAt;
      }
      f.progressAt = host.now();
      f.candidate = false;
      followers.put(s, f);
      reconcile(s, f);
    }
    // Those who are being brought up to date go on, as the entries that they lack are this list's
    // still.
    before.forEach(
        (m, f) -> {
          if (continued && f.candidate && view.wanted().contains(m) && !view.has(m)) {
            f.mayBeMember = false;
            followers.put(m, f);
          }
        });
    deposing = false;
    advance();
  }

  private void reconcile(String member, Follower f) {
    f.sentAt = host.now();
    f.sent = list.last();
    host.send(
        member,
        new WireRecord("g.reconcile")
            .with("group", id)
            .with("view", view.toWireRecord("view"))
            .with("point", list.committed())
            .withRecords("entries", list.after(list.committed(), Integer.MAX_VALUE)));
  }

  /**
   * An update: it gets the next serial number and is committed once every replica has prepared it.
   * While the group cannot serve it waits, as long as this node is named primary.
   *
   * @param needsCopies whether it must wait until there are as many replicas as there should be
   * @param refused told if it was not prepared and will not be
   */
  public void update(WireRecord entry, boolean needsCopies, Runnable committed, Runnable refused) {
    if (!primary()) {
      refused.run();
      return;
    }
    parked.addLast(new Update(entry, needsCopies, committed, refused));
    admit();
  }

  /** How many updates wait for the group to serve again. */
  public int parked() {
    return parked.size();
  }

  private void admit() {
    if (parked.isEmpty() || aside || !(primary() && whole && reconciled && leased())) {
      return;
    }
    boolean copies = enoughCopies();
    int n = parked.size();
    for (int i = 0; i < n; i++) {
      Update u = parked.pollFirst();
      if (u.needsCopies() && (!copies || handingOver)) {
        parked.addLast(u);
        continue;
      }
      list.insert(u.entry(), view.version(), this::advance, this::diskFailed);
      waiting.put(list.last(), u.committed());
    }
    flushSoon();
  }

  private void flushSoon() {
    if (!flushDue) {
      flushDue = true;
      host.after(
          0,
          () -> {
            flushDue = false;
            followers.forEach(this::ship);
          });
    }
  }

  /** Sends what this follower has not been sent. */
  private void ship(String member, Follower f) {
    if (!primary() || !f.candidate && !f.reconciled) {
      return;
    }
    while (f.sent < list.last()) {
      List<WireRecord> entries = batch(f.sent);
      f.sentAt = host.now();
      host.send(
          member,
          new WireRecord("g.prepare")
              .with("group", id)
              .with("version", view.version())
              .with("first", f.sent + 1)
              .with("point", list.committed())
              .with("transfer", f.candidate ? f.transfer : null)
              .withRecords("entries", entries));
      f.sent += entries.size();
    }
  }

  private List<WireRecord> batch(long after) {
    List<WireRecord> all = list.after(after, BATCH);
    int bytes = 0;
    for (int i = 0; i < all.size(); i++) {
      byte[] b = all.get(i).bytes("body");
      bytes += b == null ? 200 : 200 + b.length;
      if (bytes > BATCH_BYTES && i > 0) {
        return all.subList(0, i);
      }
    }
    return all;
  }

  /** Moves the committed point as far as every replica has prepared, this one included. */
  private void advance() {
    if (!primary()) {
      return;
    }
    long point = list.durable();
    boolean all = true;
    for (Map.Entry<String, Follower> e : followers.entrySet()) {
      Follower f = e.getValue();
      if (!f.candidate) {
        all &= f.reconciled;
        point = Math.min(point, f.reconciled ? f.acked : list.committed());
      } else if (f.mayBeMember) {
        point = Math.min(point, f.acked);
      }
    }
    if (!reconciled && all && point >= reconcileTo && !revived) {
      reconciled = true;
      host.event(
          "event=group_reconciled group="
              + id
              + " version="
              + view.version()
              + " serial="
              + reconcileTo);
    }
    if (reconciled && point > list.committed()) {
      long from = list.committed();
      list.commit(point);
      for (long s = from + 1; s <= list.committed(); s++) {
        Runnable r = waiting.remove(s);
        if (r != null) {
          r.run();
        }
      }
    }
    tellServing();
    admit();
  }

  /** Without a disk this replica prepares nothing: another has to lead. */
  private void diskFailed() {
    if (!broken) {
      broken = true;
      host.event("event=group_disk_failed group=" + id);
    }
  }

  /**
   * The connection to another machine was closed from there: a secondary is given a moment to be
   * heard again.
   */
  public void peerLost(String address) {
    if (!primary()) {
      return;
    }
    followers.forEach(
        (m, f) -> {
          if (GroupConfiguration.addressOf(m).equals(address)) {
            f.lostAt = host.now();
          }
        });
    // What was on its way to a candidate is lost: its copy begins anew.
    followers
        .entrySet()
        .removeIf(
            e ->
                e.getValue().candidate
                    && !e.getValue().mayBeMember
                    && GroupConfiguration.addressOf(e.getKey()).equals(address));
  }

  // ------------------------------------------------------------------ time

  /** To be called every beacon interval or more often. */
  public void tick() {
    if (view == null) {
      return;
    }
    long now = host.now();
    if (primary()) {
      tickPrimary(now);
    } else if (secondary() && whole) {
      // They take their turns, so that they do not outbid each other.
      long patience = times.grace() + view.secondaries().indexOf(me) * times.grace() / 4;
      if (now - beaconAt > patience) {
        deposing = true;
        List<String> others = view.secondaries().stream().filter(s -> !s.equals(me)).toList();
        propose(view.next(me, others));
      }
    }
    tellServing();
  }

  private void tickPrimary(long now) {
    if (!whole) {
      return;
    }
    if (revived) {
      propose(view.next(me, view.secondaries()));
      return;
    }
    if (list.durable() >= list.last()) {
      ownProgressAt = now;
    }
    if (broken || aside || now - ownProgressAt > times.stall()) {
      if (!view.secondaries().isEmpty()) {
        aside = true;
        tellServing();
        String next = view.secondaries().get(0);
        propose(view.next(next, view.secondaries().stream().filter(s -> !s.equals(next)).toList()));
      }
      return;
    }
    List<String> dead = new ArrayList<>();
    boolean doubtful = false;
    int silent = 0;
    for (Map.Entry<String, Follower> e : followers.entrySet()) {
      Follower f = e.getValue();
      boolean lags = !f.candidate && !f.reconciled || f.acked < list.last();
      if (!lags && (!f.candidate || f.copied)) {
        f.progressAt = now;
      }
      boolean behind = lags && now - f.progressAt > times.stall();
      if (f.candidate) {
        doubtful |= f.mayBeMember && behind;
      } else if (now - Math.max(f.beaconAt, adoptedAt) > times.lease()
          || f.lostAt > f.beaconAt && now - f.lostAt > 2 * times.beacon()) {
        dead.add(e.getKey());
        silent++;
      } else if (behind) {
        dead.add(e.getKey());
      }
    }
    // One that hears none of several others is rather cut off itself: they are given the time to
    // take over.
    boolean cutOff = silent > 1 && silent == view.secondaries().size() && !longSilent(now);
    if (!dead.isEmpty() && !cutOff || doubtful) {
      propose(view.next(me, view.secondaries().stream().filter(s -> !dead.contains(s)).toList()));
      return;
    }
    followers.forEach((m, f) -> again(m, f, now));
    if (dead.isEmpty() && !proposing) {
      shape(now);
      admit();
    }
  }

  private boolean longSilent(long now) {
    for (String s : view.secondaries()) {
      if (now - Math.max(followers.get(s).beaconAt, adoptedAt)
          < times.lease() + 2 * times.grace()) {
        return false;
      }
    }
    return true;
  }

  /** Sends again what a follower should have acknowledged by now. */
  private void again(String m, Follower f, long now) {
    if (now - f.sentAt < times.resend()) {
      return;
    }
    if (!f.candidate && !f.reconciled) {
      reconcile(m, f);
    } else if (!f.candidate && f.acked < f.sent) {
      // All secondaries hold what is committed, so what is missing stands in the list still.
      f.sent = Math.max(f.acked, list.committed());
      ship(m, f);
    }
  }

  /** Takes in whom the manager wants, and lets go whom it does not. */
  private void shape(long now) {
    if (!reconciled || handingOver || !leased()) {
      return;
    }
    for (String m : view.wanted()) {
      if (!view.has(m)) {
        Follower f = followers.get(m);
        if (f == null) {
          candidate(m, now);
          continue;
        }
        if (f.copied && f.acked >= list.committed()) {
          f.mayBeMember = true;
          propose(view.with(m));
          return;
        }
        if (now - f.progressAt > CANDIDATE_STALL && !f.mayBeMember) {
          followers.remove(m);
          host.candidateFailed(id, m);
        }
      }
    }
    followers
        .entrySet()
        .removeIf(
            e ->
                e.getValue().candidate
                    && !e.getValue().mayBeMember
                    && !view.wanted().contains(e.getKey()));
    for (String s : view.secondaries()) {
      if (!view.wanted().contains(s) && view.members().containsAll(view.wanted())) {
        propose(view.without(s));
        return;
      }
    }
    if (!view.wanted().contains(me) && view.members().containsAll(view.wanted())) {
      handOver();
    }
  }

  /** Gives the group to a secondary; what is under way is finished first. */
  public void handOver() {
    if (!serving() || view.secondaries().isEmpty()) {
      return;
    }
    handingOver = true;
    tellServing();
    machine.quiesce(() -> settle(40));
  }

  private void settle(int tries) {
    if (!primary() || !handingOver) {
      return;
    }
    if (list.committed() < list.last() && tries > 0) {
      host.after(25_000, () -> settle(tries - 1));
      return;
    }
    String next =
        view.wanted().stream()
            .filter(m -> view.secondaries().contains(m))
            .findFirst()
            .orElse(view.secondaries().get(0));
    GroupConfiguration v =
        view.next(next, view.secondaries().stream().filter(s -> !s.equals(next)).toList());
    proposing = true;
    proposedAt = host.now();
    host.propose(
        v,
        got -> {
          proposing = false;
          if (got == null) {
            // It may be in force: nothing is served before that is known.
            host.after(PROPOSE_AGAIN, () -> settle(0));
            return;
          }
          got.secondaries().forEach(s -> tellView(s, got));
          tellView(got.primary(), got);
          boolean gone = !got.primary().equals(me);
          if (got.version() > view.version()) {
            hear(got);
          }
          if (!gone) {
            handingOver = false;
            tellServing();
          }
        });
  }

  private void tellView(String member, GroupConfiguration v) {
    if (!member.equals(me)) {
      host.send(
          member, new WireRecord("g.view").with("group", id).with("view", v.toWireRecord("view")));
    }
  }

  // ------------------------------------------------------------ candidates

  private void candidate(String member, long now) {
    Follower f = new Follower();
    followers.put(member, f);
    f.candidate = true;
    f.transfer = ++transferNumber;
    f.progressAt = now;
    long point = list.committed();
    f.sent = point;
    f.acked = point - 1;
    long t = f.transfer;
    host.send(
        member,
        new WireRecord("g.copy")
            .with("group", id)
            .with("view", view.toWireRecord("view"))
            .with("from", me)
            .with("transfer", t)
            .with("point", point));
    // It takes live prepares while the state before them is on its way.
    ship(member, f);
    List<WireRecord> pieces = new ArrayList<>();
    int[] bytes = {0};
    long[] number = {0};
    machine.export(
        piece -> {
          if (followers.get(member) != f || !primary()) {
            return;
          }
          if (piece != null) {
            pieces.add(piece);
            byte[] b = piece.bytes("body");
            bytes[0] += 200 + (b == null ? 0 : b.length);
          }
          if (piece == null || bytes[0] > PIECES_BYTES) {
            f.progressAt = host.now();
            host.send(
                member,
                new WireRecord("g.pieces")
                    .with("group", id)
                    .with("transfer", t)
                    .with("number", number[0]++)
                    .with("whole", piece == null ? true : null)
                    .withRecords("pieces", pieces));
            pieces.clear();
            bytes[0] = 0;
          }
        });
  }

  // -------------------------------------------------------------- messages

  /**
   * A beacon, as part of one that a machine sends for all groups it leads; true if it is
   * acknowledged.
   */
  public boolean beacon(String from, long version, long point) {
    if (view == null
        || view.version() != version
        || !view.primary().equals(from)
        || deposing
        || !secondary()
        || !whole
        || broken) {
      return false;
    }
    beaconAt = host.now();
    if (reconciledVersion == version) {
      list.commit(point);
    }
    return true;
  }

  /** A beacon that was sent then was acknowledged. */
  public void beaconAcknowledged(String member, long version, long sentAt) {
    Follower f = followers.get(member);
    if (primary() && view.version() == version && f != null) {
      f.beaconAt = Math.max(f.beaconAt, sentAt);
      tellServing();
      admit();
    }
  }

  public void onMessage(String from, WireRecord f) {
    switch (f.kind()) {
      case "g.view" -> hear(GroupConfiguration.of(f.nested("view")));
      case "g.reconcile" -> onReconcile(f);
      case "g.prepare" -> onPrepare(f);
      case "g.copy" -> onCopy(f);
      case "g.pieces" -> onPieces(from, f);
      case "g.prepared" -> onPrepared(f);
      default -> host.event("event=group_message_unknown kind=" + f.kind());
    }
  }

  private void onReconcile(WireRecord f) {
    GroupConfiguration v = GroupConfiguration.of(f.nested("view"));
    hear(v);
    if (view.version() != v.version() || !secondary() || !whole || broken) {
      if (view.version() > v.version()) {
        tellView(v.primary(), view);
      }
      return;
    }
    beaconAt = host.now();
    if (reconciledVersion == v.version()) {
      acknowledge(v, null, true);
      return;
    }
    long point = f.number("point");
    if (list.last() < point) {
      // The rules of the group say that this cannot be; what is missing here must not be passed
      // over.
      host.event("event=group_gap group=" + id + " last=" + list.last() + " point=" + point);
      return;
    }
    long keep = Math.max(point, list.committed());
    list.truncate(keep);
    reconciledVersion = v.version();
    host.journal(
        new WireRecord("reconciled").with("group", id).with("version", v.version()), place -> {});
    List<WireRecord> entries = f.records("entries");
    long serial = point;
    boolean any = false;
    for (WireRecord e : entries) {
      serial++;
      if (serial > keep) {
        any = true;
        list.insert(e, v.version(), () -> acknowledge(v, null, true), this::diskFailed);
      }
    }
    if (!any) {
      acknowledge(v, null, true);
    }
  }

  private void acknowledge(GroupConfiguration v, Long ofTransfer, boolean reconciling) {
    String to = ofTransfer == null ? v.primary() : source;
    if (to == null || view.version() != v.version() && ofTransfer == null) {
      return;
    }
    host.send(
        to,
        new WireRecord("g.prepared")
            .with("group", id)
            .with("version", v.version())
            .with("member", me)
            .with("serial", list.durable())
            .with("transfer", ofTransfer)
            .with("copied", ofTransfer != null && copyKept ? true : null));
  }

  private void onPrepare(WireRecord f) {
    boolean asCandidate = f.has("transfer") && source != null && transfer == f.number("transfer");
    boolean asSecondary =
        secondary() && view.version() == f.number("version") && reconciledVersion == view.version();
    if (broken || !asCandidate && !asSecondary) {
      return;
    }
    long serial = f.number("first");
    GroupConfiguration v = view;
    Long t = asSecondary ? null : transfer;
    List<WireRecord> entries = f.records("entries");
    if (serial > list.last() + 1) {
      return;
    }
    boolean any = false;
    for (int i = 0; i < entries.size(); i++, serial++) {
      if (serial == list.last() + 1) {
        any = true;
        boolean final1 = i == entries.size() - 1;
        list.insert(
            entries.get(i),
            f.number("version"),
            () -> {
              if (final1) {
                acknowledge(v, t, false);
              }
            },
            this::diskFailed);
      }
    }
    if (!any) {
      acknowledge(v, t, false);
    }
    list.commit(f.number("point"));
  }

  private void onPrepared(WireRecord f) {
    Follower w = followers.get(f.text("member"));
    if (!primary() || w == null) {
      return;
    }
    if (f.has("transfer")
        ? !w.candidate || w.transfer != f.number("transfer")
        : w.candidate || f.number("version") != view.version()) {
      return;
    }
    long serial = f.number("serial");
    if (!w.candidate && !w.reconciled && serial >= reconcileTo) {
      w.reconciled = true;
      w.acked = serial;
      w.sent = serial;
      w.progressAt = host.now();
      // It took the reconciliation, sent then or later, as it takes a beacon.
      w.beaconAt = Math.max(w.beaconAt, adoptedAt);
      ship(f.text("member"), w);
    } else if (serial > w.acked) {
      w.acked = serial;
      w.progressAt = host.now();
    }
    w.copied |= f.truth("copied");
    if (w.acked >= list.last()) {
      w.progressAt = host.now();
    }
    advance();
  }

  // --------------------------------------------------------- being brought up

  private void onCopy(WireRecord f) {
    GroupConfiguration v = GroupConfiguration.of(f.nested("view"));
    if (view == null) {
      view = v;
    } else {
      hear(v);
    }
    if (view.version() != v.version() || view.has(me)) {
      return;
    }
    source = f.text("from");
    transfer = f.number("transfer");
    whole = false;
    copyKept = false;
    piecesTaken = 0;
    broken = false;
    machine.clear();
    list.reset(f.number("point"));
    host.journal(
        new WireRecord("copy").with("group", id).with("point", f.number("point")), place -> {});
  }

  private void onPieces(String from, WireRecord f) {
    // One that is missing was lost with its connection: without it the copy is none, and the
    // transfer fails.
    if (source == null
        || transfer != f.number("transfer")
        || whole
        || f.number("number") != piecesTaken
        || !GroupConfiguration.addressOf(source).equals(from)) {
      return;
    }
    piecesTaken++;
    List<WireRecord> pieces = f.records("pieces");
    for (WireRecord p : pieces) {
      host.journal(
          new WireRecord("piece").with("group", id).with("piece", p),
          place -> {
            if (place >= 0 && source != null) {
              machine.load(p, place);
            }
          });
    }
    if (f.truth("whole")) {
      long t = transfer;
      // Entries that come meanwhile follow the pieces into the journal.
      whole = true;
      host.journal(
          view.toWireRecord("copied"),
          place -> {
            if (place >= 0 && source != null && transfer == t) {
              copyKept = true;
              acknowledge(view, t, false);
            }
          });
    }
  }

  // ---------------------------------------------------------------- replay

  /** One record of the journal, in its order. */
  public void replay(WireRecord f, long place) {
    switch (f.kind()) {
      case "view" -> {
        view = GroupConfiguration.of(f);
        whole |= view.version() == 1;
      }
      case "prep" -> list.replayed(f.number("serial"), f.nested("entry"), f.number("point"), place);
      case "reconciled" -> reconciledVersion = f.number("version");
      case "trunc" -> list.replayedTruncation(f.number("serial"));
      case "copy" -> {
        whole = false;
        machine.clear();
        list.reset(f.number("point"));
      }
      case "piece" -> machine.load(f.nested("piece"), place);
      case "copied" -> {
        view = GroupConfiguration.of(f);
        whole = true;
      }
      case "meta" -> {
        view = GroupConfiguration.of(f.nested("view"));
        whole = true;
        list.replayedMeta(f.number("point"));
      }
      case "drop" -> {
        whole = false;
        view = null;
        machine.clear();
        list.reset(0);
      }
      default -> host.event("event=journal_record_skipped kind=" + f.kind());
    }
  }

  /** After the last record: this life's own times begin. */
  public void replayed() {
    if (!whole || list.gap()) {
      whole = false;
      machine.clear();
      list.reset(0);
      view = null;
      return;
    }
    beaconAt = host.now();
    adoptedAt = host.now();
    // A candidate's copy that was never taken in is not told from a member's here; the manager's
    // word tells.
    revived = primary();
    if (primary()) {
      for (String s : view.secondaries()) {
        followers.put(s, new Follower());
      }
    }
  }

  /** What a fresh segment must begin with, or null if this node holds nothing of the group. */
  public WireRecord meta() {
    return whole && view != null && view.has(me)
        ? list.meta("meta").with("view", view.toWireRecord("view"))
        : null;
  }

  public void carry() {
    list.carry(view.version(), place -> {});
  }
}
