package org.otterpond.control.epoch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.otterpond.control.state.Assignments;
import org.otterpond.control.state.CompressedText;
import org.otterpond.control.state.CoreMember;
import org.otterpond.control.state.EpochAnnouncement;
import org.otterpond.control.state.EpochRecord;
import org.otterpond.control.state.FaultTolerance;
import org.otterpond.control.state.ReplicatedState;
import org.otterpond.protocol.CompressedPayload;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;
import org.otterpond.runtime.NodeRuntime;

/**
 * The core's epoch machine on one disk-bearing node: witness always, and primary or backup when an
 * epoch names it.
 *
 * <p>An epoch begins only when a majority of the old and of the new members hold its record
 * durably. An entry is committed once it is durable on the epoch's primary and on each of its
 * backups. Only a member of the newest group may begin a new epoch, and it copies its whole state
 * to the backups it names before any witness is asked to accept the record. There are as many
 * backups as losses are to be borne, so one of a group always remains.
 */
public final class EpochReplica {
  private static final int EPOCH_STEP = 64;

  /** So long a member whose disk or answers are doubtful is a backup only if there is no other. */
  private static final long DOUBTED = 3_000_000;

  /** A newcomer that has not answered by then is left out, lest the old members wait for it. */
  private static final long NEWCOMER_WAIT = 300_000;

  /** A leaver that is still in the group takes up the duty that much later than others. */
  private static final long LEAVER_LATER = 1_000_000;

  private static final long REFORM_PAUSE = 1_000_000;
  private static final int MOST_REFORM_PAUSES = 32;

  /** However slowly a copy goes on, the changes that wait for its epoch do not wait for longer. */
  private static final long LONGEST_COPY = 30_000_000;

  private final NodeRuntime runtime;
  private final EpochTimeouts times;
  private final EpochListener listener;
  private final CoreMember self;
  private final ReplicatedState hold;
  private final FaultTolerance losses;

  // Durable, as in the journal.
  private long promised;

  /** The epoch last promised to another member in this life; its candidate may ask again. */
  private long promisedTo;

  private EpochRecord record;

  /** The newest epoch of which this node knows that it has begun. */
  private long begunEpoch;

  /** The newest record heard of; a hint, never a vote. */
  private EpochRecord known;

  private long highestSeen;

  // As primary.
  private boolean leading;
  private long begun;
  private long seq;
  private final TreeMap<Long, Batch> batches = new TreeMap<>();
  private Batch open;
  private final List<Batch> waiting = new ArrayList<>();

  /** The members wanted next, while a batch is on its way. */
  private List<CoreMember> changing;

  private final Map<String, Long> backupHeard = new HashMap<>();

  /**
   * For each backup, when the newest question was asked that it answered as a follower of this
   * epoch.
   */
  private final Map<String, Long> followedAt = new HashMap<>();

  private long lastPing;
  private final Map<String, Long> memberHeard = new HashMap<>();

  /** Who waits for a proof that this node leads, in the order of asking. */
  private final Deque<Confirmation> confirms = new ArrayDeque<>();

  /** When the backups were last asked for the sake of such a proof. */
  private long proofAskedAt = Long.MIN_VALUE / 2;

  private long committedRevision;
  private CompressedText committedText;

  // As backup.
  /** Until then another may still act on its authority as primary. */
  private long quietUntil;

  /** When, at the latest, the primary before began to give out what stays in use for a while. */
  private long formerSince = Long.MIN_VALUE / 2;

  /** From then on this node may, as primary, give out such things. */
  private long givingFrom;

  private long lastSeq;

  /** Whether an earlier life followed this epoch: how far it had come is not known any more. */
  private boolean placeLost;

  private SnapshotReceiver arriving;

  /** The snapshot that was taken last. */
  private long installed;

  private long primaryHeard;

  private Candidacy candidacy;
  private long nextRun;
  private long lastGossip;

  /** Until when each member is taken as a backup only if there is no other. */
  private final Map<String, Long> excluded = new HashMap<>();

  /** Members that said that they are about to end, and have not come back since. */
  private final Set<String> leavers = new HashSet<>();

  private long reformFrom;
  private int reformPauses = 1;
  private boolean diskBad;
  private boolean refusedSinceProbe;
  private boolean retired;
  private long lastNotice = Long.MIN_VALUE / 2;

  /** The epoch whose duty this process gave up. */
  private long resigned = -1;

  private long oldestPendingWrite;
  private int pendingWrites;

  private static final class Batch {
    final List<WireRecord> entries = new ArrayList<>();
    final List<Runnable> committed = new ArrayList<>();
    boolean local;

    /** The backups that hold it durably. */
    final Set<String> at = new HashSet<>();

    long sentAt;
    long madeAt;
  }

  private record Confirmation(long asked, Consumer<Boolean> answer) {}

  private static final class Candidacy {
    long epoch;
    long startedAt;

    /** When something last showed that it goes on. */
    long progressAt;

    /** When the others were last told that it does. */
    long toldAt;

    SnapshotSender snapshot;
    boolean copying;
    boolean accepting;
    boolean settling;
    List<CoreMember> members;
    EpochRecord base;
    EpochRecord proposal;
    List<CoreMember> backups = List.of();

    /**
     * What the backups are told with the state: for how long others may still act, as seen when it
     * was taken.
     */
    long quiet;

    long gives;
    final Set<String> copied = new HashSet<>();
    final Map<String, EpochRecord> promises = new HashMap<>();
    final Set<String> accepts = new HashSet<>();
  }

  public EpochReplica(
      NodeRuntime runtime,
      EpochTimeouts times,
      EpochListener listener,
      CoreMember self,
      ReplicatedState hold,
      FaultTolerance losses) {
    this.losses = losses;
    this.runtime = runtime;
    this.times = times;
    this.listener = listener;
    this.self = self;
    this.hold = hold;
    this.primaryHeard = runtime.now();
    // What an earlier life of this process said is not known any more.
    this.quietUntil = runtime.now() + times.authority();
    this.nextRun = runtime.now() + 20_000 + runtime.random(30_000);
  }

  /** Replays one journal record after a start. */
  public void replay(WireRecord f) {
    switch (f.kind()) {
      case "promise" -> promised = Math.max(promised, f.number("epoch"));
      case "accept" -> {
        record = EpochRecord.of(f.nested("record"));
        promised = Math.max(promised, record.epoch());
        known = record;
        placeLost = true;
      }
      case "begun" -> begunEpoch = Math.max(begunEpoch, f.number("epoch"));
      case "state" -> hold.load(unpacked(f), runtime.now());
      case "claim", "free", "config", "worker", Assignments.KIND -> hold.apply(f, runtime.now());
      default -> runtime.event("event=journal_record_skipped kind=" + f.kind());
    }
    committedRevision = hold.revision();
    committedText = hold.text();
  }

  private static WireRecord unpacked(WireRecord state) {
    try {
      return state.has("bale") ? CompressedPayload.unpack(state.bytes("bale")) : state;
    } catch (ProtocolException e) {
      throw new IllegalStateException("a state that was read back once before", e);
    }
  }

  /** What a fresh journal must begin with to stand for this one. */
  public List<WireRecord> journalBase() {
    List<WireRecord> out = new ArrayList<>();
    out.add(new WireRecord("promise").with("epoch", promised));
    if (record != null) {
      out.add(new WireRecord("accept").with("record", record.toWireRecord()));
    }
    if (begunEpoch > 0) {
      out.add(new WireRecord("begun").with("epoch", begunEpoch));
    }
    out.add(hold.snapshot());
    return out;
  }

  public boolean chartered() {
    return record != null;
  }

  public EpochRecord record() {
    return record;
  }

  public EpochRecord known() {
    return known;
  }

  /**
   * Whether this node may commit. A primary that has promised a newer epoch, even its own, commits
   * nothing until that epoch has begun: a witness may already hold a record whose backups lack what
   * would be committed now.
   */
  public boolean leading() {
    return leading && candidacy == null && begun == record.epoch() && promised == begun;
  }

  public ReplicatedState hold() {
    return hold;
  }

  public long committedRevision() {
    return committedRevision;
  }

  public CompressedText committedText() {
    return committedText;
  }

  /** The same as it goes to nodes; null if there is none. */
  public byte[] packedText() {
    return committedText == null ? null : committedText.packed();
  }

  /** Takes the founding record, decided by the seeds. Only a blank disk of the first start may. */
  public void found(EpochRecord first) {
    if (record != null || promised > 0) {
      return;
    }
    if (!first.hasMember(self.diskId())) {
      learn(first);
      return;
    }
    accept(first, ok -> {});
    learn(first);
    primaryHeard = runtime.now();
    nextRun = runtime.now() + (first.primary().diskId().equals(self.diskId()) ? 200_000 : 800_000);
  }

  /**
   * The connection to a node was closed from there. If it is another of the group, it is given a
   * moment to be heard again, as after a mere reset, in place of the whole time that silence would
   * be given.
   */
  public void peerClosed(String address) {
    if (record == null || !known.inGroup(self.diskId())) {
      return;
    }
    long now = runtime.now();
    if (leading()) {
      for (CoreMember b : record.backups()) {
        if (b.address().equals(address)) {
          backupHeard.merge(
              b.diskId(), now - times.backupSilence() + times.closedGrace(), Math::min);
        }
      }
    } else if (!leading && known.primary().address().equals(address)) {
      primaryHeard = Math.min(primaryHeard, now - times.primarySilence() + times.closedGrace());
    }
  }

  /** A newer record was heard of from anyone. */
  public void learn(EpochRecord r) {
    if (r == null
        || (known != null && (r.epoch() <= known.epoch() || !r.fleet().equals(known.fleet())))) {
      return;
    }
    known = r;
    highestSeen = Math.max(highestSeen, r.epoch());
    if (leading && r.epoch() > record.epoch()) {
      stepDown("newer_epoch");
    }
    if (candidacy != null && r.epoch() > candidacy.epoch) {
      candidacy = null;
    }
    listener.learnt(r);
  }

  // ------------------------------------------------------------------ time

  public void tick() {
    long now = runtime.now();
    hold.expire(now);
    giveUpProofs(now);
    if (record == null) {
      return;
    }
    if (pendingWrites > 0 && now - oldestPendingWrite > times.diskStall() && leading) {
      runtime.event("event=disk_stall_resign epoch=" + record.epoch());
      resign();
      return;
    }
    if (candidacy != null) {
      if (now - candidacy.progressAt > times.phase() || now - candidacy.startedAt > LONGEST_COPY) {
        abandon("timeout");
      } else if (!candidacy.copying) {
        leaveOutNewcomers(candidacy, now);
        askPromises(candidacy, candidacy.base);
      } else if (candidacy.snapshot != null && !candidacy.accepting) {
        copyOn(candidacy, now);
      }
      return;
    }
    tickLeaving(now);
    if (leading()) {
      tickPrimary(now);
      return;
    }
    if (now - primaryHeard > 2 * times.primarySilence()
        && now - lastGossip > times.primarySilence()) {
      lastGossip = now;
      tellMembers(new WireRecord("rec").with("record", known.toWireRecord()));
    }
    if (diskBad || retired && !needed() || !known.inGroup(self.diskId()) || now < nextRun) {
      return;
    }
    boolean namedPrimary = known.primary().diskId().equals(self.diskId());
    // The backups take their turns, so that they do not outbid each other.
    long patience =
        times.primarySilence()
            + Math.max(0, known.rankOf(self.diskId())) * times.rankStep()
            + (retired ? LEAVER_LATER : 0);
    if (leading || namedPrimary || now - primaryHeard > patience) {
      run(known.members());
    }
  }

  private void tellMembers(WireRecord f) {
    for (CoreMember m : known.members()) {
      if (!m.diskId().equals(self.diskId())) {
        runtime.send(m.address(), f);
      }
    }
  }

  private void tickPrimary(long now) {
    Batch oldest = batches.isEmpty() ? null : batches.firstEntry().getValue();
    boolean late = oldest != null && now - oldest.madeAt > times.diskStall();
    boolean lost = false;
    for (CoreMember b : record.backups()) {
      boolean stuck = late && !oldest.at.contains(b.diskId());
      if (stuck || now - backupHeard.getOrDefault(b.diskId(), 0L) > times.backupSilence()) {
        runtime.event(
            "event=backup_lost epoch="
                + record.epoch()
                + " backup="
                + b.name()
                + " why="
                + (stuck ? "no_sync" : "silence"));
        exclude(b.diskId());
        lost = true;
      }
    }
    if (lost) {
      run(record.members());
      return;
    }
    if (reform(now)) {
      return;
    }
    for (Map.Entry<Long, Batch> e : batches.entrySet()) {
      Batch b = e.getValue();
      if (b.at.size() < record.backups().size() && now - b.sentAt > times.resend()) {
        ship(e.getKey(), b);
      }
    }
    if (now - lastPing >= times.ping()) {
      lastPing = now;
      tellMembers(ping(now));
    }
  }

  private void exclude(String diskId) {
    excluded.put(diskId, runtime.now() + DOUBTED);
  }

  private boolean excluded(CoreMember m) {
    return excluded.getOrDefault(m.diskId(), Long.MIN_VALUE) > runtime.now();
  }

  /** Whether the member said that it is about to end. */
  public boolean leaving(CoreMember m) {
    return leavers.contains(m.diskId());
  }

  private void heardOf(String diskId, boolean leaves) {
    if (leaves) {
      leavers.add(diskId);
    } else {
      leavers.remove(diskId);
    }
  }

  /**
   * Begins another epoch if the members in touch make a better group: one with fewer leavers in it,
   * or one that a loss to be borne does not take whole. If that comes to nothing the next try
   * waits, each time for longer.
   */
  private boolean reform(long now) {
    List<CoreMember> there =
        record.members().stream()
            .filter(m -> !m.diskId().equals(self.diskId()) && !silent(m, times.backupSilence()))
            .toList();
    int have = record.backups().size();
    List<CoreMember> better =
        backupsOf(there, record, Math.min(losses.copies(), record.members().size() - 1));
    long leave = record.backups().stream().filter(this::leaving).count();
    long wouldLeave = better.stream().filter(this::leaving).count();
    boolean wanted =
        better.size() > have
            || better.size() == have
                && (wouldLeave < leave
                    || wouldLeave == leave
                        && losses.spread(groupOf(better))
                            > losses.spread(groupOf(record.backups())));
    if (!wanted) {
      if (now > reformFrom + REFORM_PAUSE * reformPauses) {
        reformPauses = 1;
      }
      return false;
    }
    if (now < reformFrom) {
      return false;
    }
    reformFrom = now + REFORM_PAUSE * reformPauses;
    reformPauses = Math.min(MOST_REFORM_PAUSES, 2 * reformPauses);
    runtime.event(
        "event=group_reformed epoch="
            + record.epoch()
            + " leaving="
            + leave
            + " backups="
            + String.join(",", better.stream().map(CoreMember::name).toList()));
    run(record.members());
    return true;
  }

  private List<CoreMember> groupOf(List<CoreMember> backups) {
    List<CoreMember> group = new ArrayList<>(backups);
    group.add(self);
    return group;
  }

  /**
   * Those that leave last and those with a doubtful disk before them, each only if there are too
   * few others; among equals what the group then spans counts first, and those of the group come
   * before others.
   */
  private List<CoreMember> backupsOf(List<CoreMember> candidates, EpochRecord base, int count) {
    List<CoreMember> sound = candidates.stream().filter(m -> !leaving(m) && !excluded(m)).toList();
    List<CoreMember> staying = candidates.stream().filter(m -> !leaving(m)).toList();
    List<CoreMember> from =
        sound.size() >= count ? sound : staying.size() >= count ? staying : candidates;
    return losses.backups(
        self,
        from,
        Comparator.comparing((CoreMember m) -> leaving(m))
            .thenComparing(this::excluded)
            .thenComparing(m -> !base.inGroup(m.diskId())),
        count);
  }

  private WireRecord ping(long now) {
    return new WireRecord("ping")
        .with("epoch", record.epoch())
        .with("fleet", record.fleet())
        .with("at", now);
  }

  /**
   * The newest moment at which this node is known to have been the only one that could lead; the
   * distant past if it does not lead. A successor comes out of the epoch's backups, and each of
   * them followed it when asked then.
   */
  public long followedSince() {
    if (!leading()) {
      return Long.MIN_VALUE / 2;
    }
    long at = runtime.now();
    for (CoreMember b : record.backups()) {
      at = Math.min(at, followedAt.getOrDefault(b.diskId(), Long.MIN_VALUE / 2));
    }
    return at;
  }

  /**
   * Whether this node may give out, as primary and without asking, what stays in use for {@code
   * lent}: its authority is fresh, no earlier primary's can be, and what the one before the last
   * gave out is in use no more. So what at most two primaries gave out is in use at any time.
   */
  public boolean mayGive() {
    return runtime.now() - followedSince() < times.authority() && runtime.now() >= givingFrom;
  }

  /** Whether this node leads and nobody else can by now. */
  public boolean authoritative() {
    return runtime.now() - followedSince() < times.authority();
  }

  /** From then on no primary before this one acts on its authority. */
  public long quietUntil() {
    return quietUntil;
  }

  public long givingFrom() {
    return givingFrom;
  }

  private long nextGivingFrom() {
    return Math.max(quietUntil, formerSince + times.lent());
  }

  // ------------------------------------------------------------ as primary

  /**
   * Adds an entry; the callback runs once it is durable on the whole group. False if this node does
   * not lead.
   */
  public boolean propose(WireRecord entry, Runnable committed) {
    if (!leading) {
      return false;
    }
    if (!leading()) {
      Batch b = new Batch();
      b.entries.add(entry);
      b.committed.add(committed);
      waiting.add(b);
      return true;
    }
    hold.apply(entry, runtime.now());
    if (open == null) {
      open = new Batch();
      runtime.after(0, this::closeBatch);
    }
    open.entries.add(entry);
    open.committed.add(committed);
    return true;
  }

  /** One batch is on its way at a time; what comes meanwhile goes together in the next. */
  private void closeBatch() {
    if (open == null || !leading() || !batches.isEmpty()) {
      return;
    }
    long n = ++seq;
    ship(n, journalOpen(n));
  }

  /**
   * Journals the open batch under its number. Its place in the journal is before anything written
   * later.
   */
  private Batch journalOpen(long n) {
    Batch b = open;
    open = null;
    b.madeAt = runtime.now();
    batches.put(n, b);
    long epoch = record.epoch();
    Consumer<Boolean> last =
        ok -> {
          if (!ok) {
            diskFailed();
            return;
          }
          b.local = true;
          if (leading() && record.epoch() == epoch) {
            settle();
          }
        };
    for (int i = 0; i < b.entries.size(); i++) {
      write(b.entries.get(i), i == b.entries.size() - 1 ? last : ok -> {});
    }
    return b;
  }

  private void ship(long n, Batch b) {
    b.sentAt = runtime.now();
    WireRecord rep =
        new WireRecord("rep")
            .with("epoch", record.epoch())
            .with("seq", n)
            .withRecords("entries", b.entries);
    for (CoreMember backup : record.backups()) {
      if (!b.at.contains(backup.diskId())) {
        runtime.send(backup.address(), rep);
      }
    }
  }

  private void settle() {
    while (!batches.isEmpty()) {
      Batch b = batches.firstEntry().getValue();
      if (!b.local || b.at.size() < record.backups().size()) {
        return;
      }
      batches.pollFirstEntry();
      commit(b);
    }
    if (changing != null) {
      run(changing);
    } else {
      closeBatch();
    }
  }

  private void commit(Batch b) {
    for (WireRecord e : b.entries) {
      if (e.kind().equals("config")) {
        committedRevision = e.number("rev");
        committedText = CompressedText.of(e);
      }
    }
    b.committed.forEach(Runnable::run);
  }

  /**
   * Says whether this node still led at a moment after this call: every backup must have said that
   * it follows this epoch to a question asked from now on. A successor comes out of the backups, so
   * until one of them answered no other primary can have begun. False if that is not to be had, at
   * once if this node does not lead.
   */
  public void confirm(Consumer<Boolean> answer) {
    confirmLater(answer);
    askForProof();
  }

  /** The same, from the next question that is asked in any case. */
  public void confirmLater(Consumer<Boolean> answer) {
    if (!leading()) {
      answer.accept(false);
    } else if (record.backups().isEmpty()) {
      answer.accept(true);
    } else {
      confirms.add(new Confirmation(runtime.now(), answer));
    }
  }

  /** One question is on its way at a time; who comes meanwhile is answered by the next. */
  private void askForProof() {
    if (confirms.isEmpty() || !leading() || proofAskedAt > followedSince()) {
      return;
    }
    proofAskedAt = runtime.now();
    record.backups().forEach(b -> runtime.send(b.address(), ping(proofAskedAt)));
  }

  private void giveProofs() {
    long proved = followedSince();
    boolean any = false;
    while (!confirms.isEmpty() && confirms.peek().asked() <= proved) {
      confirms.poll().answer().accept(true);
      any = true;
    }
    if (any) {
      askForProof();
    }
  }

  private void giveUpProofs(long now) {
    while (!confirms.isEmpty() && now - confirms.peek().asked() > times.proof()) {
      confirms.poll().answer().accept(false);
    }
  }

  /**
   * Before a planned end: a duty that is held is handed over, and taken again only if nobody else
   * does.
   */
  public void retire() {
    retired = true;
    if (leading) {
      resign();
      lastNotice = runtime.now();
    } else {
      tickLeaving(runtime.now());
    }
  }

  /**
   * Whether the newest group known counts on this node's copy, and others could do so in its place.
   */
  public boolean needed() {
    return record != null && known.inGroup(self.diskId()) && known.members().size() > 1;
  }

  /**
   * A leaver says so again until a newer record does without it: one message may be lost, or come
   * amid a change.
   */
  private void tickLeaving(long now) {
    if (!retired || !needed() || now - lastNotice < times.resend()) {
      return;
    }
    lastNotice = now;
    if (leading) {
      resign();
    } else if (known.rankOf(self.diskId()) >= 0) {
      runtime.send(known.primary().address(), new WireRecord("bow").with("id", self.diskId()));
    } else if (known.epoch() == resigned) {
      tellResigned(known);
    }
  }

  /** Gives the duty to the backups: the first of them that can begins a new epoch. */
  public void resign() {
    if (!leading) {
      return;
    }
    EpochRecord r = record;
    stepDown("resigned");
    resigned = r.epoch();
    nextRun = runtime.now() + 2_500_000;
    tellResigned(r);
  }

  private void tellResigned(EpochRecord r) {
    WireRecord f =
        new WireRecord("resign")
            .with("epoch", r.epoch())
            .with("quiet", Math.max(0, givingFrom - runtime.now()));
    r.backups().forEach(b -> runtime.send(b.address(), f));
  }

  /**
   * Asks for a new epoch with other members, once the batch on its way is committed: there is
   * always a next one.
   */
  public void changeMembers(List<CoreMember> members) {
    if (!leading()) {
      return;
    }
    if (batches.isEmpty()) {
      run(members);
    } else {
      changing = members;
    }
  }

  /** Whether the member has been silent for longer than the given span, as the primary sees it. */
  public boolean silent(CoreMember member, long span) {
    return runtime.now() - memberHeard.getOrDefault(member.diskId(), 0L) > span;
  }

  private void stepDown(String why) {
    runtime.event("event=stepped_down why=" + why + " epoch=" + record.epoch());
    leading = false;
    candidacy = null;
    batches.clear();
    waiting.clear();
    open = null;
    changing = null;
    List<Confirmation> unproved = List.copyOf(confirms);
    confirms.clear();
    unproved.forEach(c -> runtime.after(0, () -> c.answer().accept(false)));
    primaryHeard = runtime.now();
    listener.steppedDown();
  }

  // ------------------------------------------------------------- candidacy

  private void run(List<CoreMember> members) {
    changing = null;
    if (open != null) {
      journalOpen(++seq);
    }
    Candidacy c = new Candidacy();
    long top = Math.max(Math.max(promised, highestSeen), known.epoch());
    c.epoch = (top / EPOCH_STEP + 1) * EPOCH_STEP + Math.max(0, known.indexOf(self.diskId()));
    c.startedAt = runtime.now();
    c.progressAt = c.startedAt;
    c.members = members;
    c.base = known;
    candidacy = c;
    runtime.event("event=candidacy epoch=" + c.epoch + " base=" + known.epoch());
    promised = c.epoch;
    write(
        new WireRecord("promise").with("epoch", c.epoch),
        ok -> {
          if (!ok) {
            diskFailed();
          } else if (candidacy == c) {
            promisedBy(c, self.diskId(), record);
          }
        });
    askPromises(c, c.base);
  }

  /**
   * The sets of members of which each must agree to what follows the record: its own, and those
   * before it, unless it is known to have begun. Two candidates then meet in a majority of the
   * newest set after which an epoch has begun, whichever records they go on from; the majorities of
   * two sets that differ in one member need not meet.
   */
  private List<List<CoreMember>> agreeing(EpochRecord r) {
    List<List<CoreMember>> out = new ArrayList<>();
    if (r.epoch() > begunEpoch) {
      out.addAll(r.priors());
    }
    out.add(r.members());
    return out;
  }

  private boolean agreed(EpochRecord base, Set<String> disks) {
    return agreeing(base).stream().allMatch(s -> EpochRecord.isMajority(s, disks));
  }

  /**
   * An epoch has begun, so that what was in force before counts no more. That must outlast this
   * process.
   */
  private void hasBegun(long epoch) {
    if (epoch > begunEpoch) {
      begunEpoch = epoch;
      if (record.epoch() == epoch && !record.priors().isEmpty()) {
        write(new WireRecord("begun").with("epoch", epoch), ok -> {});
      }
    }
  }

  private void askPromises(Candidacy c, EpochRecord base) {
    Set<CoreMember> all = new HashSet<>(c.members);
    agreeing(base).forEach(all::addAll);
    for (CoreMember m : all) {
      if (!m.diskId().equals(self.diskId()) && !c.promises.containsKey(m.diskId())) {
        runtime.send(
            m.address(),
            new WireRecord("prep")
                .with("epoch", c.epoch)
                .with("to", m.diskId())
                .with("fleet", base.fleet())
                .with("base", base.epoch())
                .with("from", self.address()));
      }
    }
  }

  /**
   * Old members answer and a newcomer does not: it is left for later, and whom it would have
   * replaced stays.
   */
  private void leaveOutNewcomers(Candidacy c, long now) {
    boolean answered =
        c.members.stream()
            .allMatch(m -> c.base.hasMember(m.diskId()) || c.promises.containsKey(m.diskId()));
    if (!answered && now - c.startedAt > NEWCOMER_WAIT) {
      runtime.event("event=newcomer_silent epoch=" + c.epoch);
      c.members = c.base.members();
      weighPromises(c);
    }
  }

  private void promisedBy(Candidacy c, String diskId, EpochRecord theirs) {
    if (c.copying || c.accepting) {
      return;
    }
    c.promises.put(diskId, theirs);
    if (theirs != null && theirs.epoch() > c.base.epoch()) {
      learn(theirs);
      c.base = theirs;
      c.members = theirs.members();
      if (!theirs.inGroup(self.diskId())) {
        abandon("not_in_group");
        return;
      }
      askPromises(c, theirs);
    }
    weighPromises(c);
  }

  private void weighPromises(Candidacy c) {
    // A record may be accepted somewhere and still never begin; the next candidate must then find a
    // majority of
    // its members. So none is proposed before a majority of them, and each newcomer, is known to
    // answer.
    long fresh = c.members.stream().filter(m -> c.promises.containsKey(m.diskId())).count();
    boolean newcomersIn =
        c.members.stream()
            .allMatch(m -> c.base.hasMember(m.diskId()) || c.promises.containsKey(m.diskId()));
    if (fresh < c.members.size() / 2 + 1 || !newcomersIn) {
      return;
    }
    if (!agreed(c.base, c.promises.keySet())) {
      return;
    }
    long have = c.base.members().stream().filter(m -> c.promises.containsKey(m.diskId())).count();
    // The best that can be hoped for: nobody is left to wait for, or the group stays as it is.
    List<CoreMember> stay =
        usable(c).stream()
            .filter(m -> c.base.inGroup(m.diskId()) && !excluded(m) && !leaving(m))
            .toList();
    boolean groupIn =
        have >= c.base.quorum() && stay.size() >= copies(c) && losses.spans(groupOf(stay));
    if (have >= c.base.members().size() || groupIn) {
      choose(c);
    } else if (have >= c.base.quorum() && !c.settling) {
      c.settling = true;
      runtime.after(40_000, () -> choose(c));
    }
  }

  /**
   * How many backups the epoch must have: as many as losses are borne, as far as there are members.
   */
  private int copies(Candidacy c) {
    return Math.min(losses.copies(), c.members.size() - 1);
  }

  /**
   * The members that answered and can be backups: newcomers only where a small core grows and has
   * no others.
   */
  private List<CoreMember> usable(Candidacy c) {
    List<CoreMember> answered =
        c.members.stream()
            .filter(m -> !m.diskId().equals(self.diskId()) && c.promises.containsKey(m.diskId()))
            .toList();
    List<CoreMember> old = answered.stream().filter(m -> c.base.hasMember(m.diskId())).toList();
    return old.size() >= copies(c) ? old : answered;
  }

  private void choose(Candidacy c) {
    if (candidacy != c || c.copying || c.accepting) {
      return;
    }
    int copies = copies(c);
    List<CoreMember> by = backupsOf(usable(c), c.base, copies);
    if (by.size() < copies) {
      abandon("too_few_backups");
      return;
    }
    c.copying = true;
    c.backups = by;
    if (c.members.size() < 2 * losses.machines() + 1) {
      runtime.event(
          "event=core_too_small members="
              + c.members.size()
              + " losses_to_bear="
              + losses.machines());
    }
    if (c.backups.isEmpty()) {
      propose(c);
      return;
    }
    long now = runtime.now();
    long quiet = Math.max(0, quietUntil - now);
    long gives = Math.max(0, (leading ? givingFrom : nextGivingFrom()) - now);
    // Nothing changes from here until the epoch has begun: what comes meanwhile waits.
    c.snapshot = new SnapshotSender(runtime.random(Long.MAX_VALUE - 1) + 1, hold.snapshot());
    c.progressAt = runtime.now();
    c.toldAt = c.progressAt;
    c.quiet = quiet;
    c.gives = gives;
    c.backups.forEach(b -> sendPieces(c, b, c.snapshot.due(b.diskId(), c.progressAt)));
  }

  private void sendPieces(Candidacy c, CoreMember to, List<WireRecord> pieces) {
    pieces.forEach(
        p ->
            runtime.send(
                to.address(),
                p.with("epoch", c.epoch)
                    .with("to", to.diskId())
                    .with("quiet", c.quiet)
                    .with("gives", c.gives)
                    .with("from", self.address())));
  }

  private void copyOn(Candidacy c, long now) {
    for (CoreMember b : c.backups) {
      if (!c.copied.contains(b.diskId())) {
        sendPieces(c, b, c.snapshot.again(b.diskId(), now, times.diskStall()));
      }
    }
    if (now - c.toldAt > times.phase() / 3) {
      // A copy may last; those who promised this epoch must not take its candidate for dead.
      c.toldAt = now;
      tellMembers(new WireRecord("copying").with("epoch", c.epoch));
    }
  }

  private void pieceHeld(Candidacy c, WireRecord f) {
    long now = runtime.now();
    if (!c.snapshot.acknowledged(f.text("id"), f.number("snapshot"), (int) f.number("held"), now)) {
      return;
    }
    c.progressAt = now;
    for (CoreMember b : c.backups) {
      if (b.diskId().equals(f.text("id"))) {
        sendPieces(c, b, c.snapshot.due(b.diskId(), now));
      }
    }
  }

  private void propose(Candidacy c) {
    c.accepting = true;
    c.progressAt = runtime.now();
    c.snapshot = null;
    List<List<CoreMember>> priors =
        agreeing(c.base).stream().filter(s -> !EpochRecord.sameSet(s, c.members)).toList();
    c.proposal =
        new EpochRecord(
            c.base.fleet(), c.epoch, self, c.backups, c.members, c.base.target(), priors);
    EpochRecord p = c.proposal;
    accept(
        p,
        ok -> {
          if (ok && candidacy == c) {
            acceptedBy(c, self.diskId());
          }
        });
    Set<CoreMember> all = new HashSet<>(c.members);
    agreeing(c.base).forEach(all::addAll);
    for (CoreMember m : all) {
      if (!m.diskId().equals(self.diskId())) {
        runtime.send(
            m.address(),
            new WireRecord("acc")
                .with("record", p.toWireRecord())
                .with("to", m.diskId())
                .with("from", self.address()));
      }
    }
  }

  private void acceptedBy(Candidacy c, String diskId) {
    c.accepts.add(diskId);
    if (agreed(c.base, c.accepts)
        && EpochRecord.isMajority(c.members, c.accepts)
        && c.accepts.contains(self.diskId())) {
      begin(c);
    }
  }

  private void begin(Candidacy c) {
    candidacy = null;
    boolean continued = leading;
    excluded.values().removeIf(until -> until <= runtime.now());
    leavers.removeIf(id -> !c.proposal.hasMember(id));
    if (!continued) {
      memberHeard.clear();
      givingFrom = nextGivingFrom();
    }
    leading = true;
    begun = c.epoch;
    hasBegun(c.epoch);
    seq = 0;
    long now = runtime.now();
    backupHeard.clear();
    followedAt.clear();
    c.backups.forEach(b -> backupHeard.put(b.diskId(), now));
    lastPing = now;
    c.proposal
        .members()
        .forEach(
            m ->
                memberHeard.put(
                    m.diskId(),
                    c.accepts.contains(m.diskId())
                        ? now
                        // Who has not answered yet is not dead for that: it has a moment to be
                        // heard.
                        : memberHeard.getOrDefault(m.diskId(), now - times.primarySilence())));
    known = c.proposal;
    committedRevision = hold.revision();
    committedText = hold.text();
    runtime.event(
        "event=epoch_began epoch="
            + c.epoch
            + " primary="
            + self.name()
            + " backups="
            + String.join(",", c.backups.stream().map(CoreMember::name).toList())
            + " members="
            + c.members.size()
            + " claims="
            + hold.claimCount()
            + " revision="
            + hold.revision());
    boolean spans = losses.spans(groupOf(c.backups));
    if ((losses.zones() > 0 || losses.regions() > 0) && (!spans || losses.margin(c.members) < 0)) {
      runtime.event(
          "event=core_not_spread epoch="
              + c.epoch
              + " zones_to_bear="
              + losses.zones()
              + " regions_to_bear="
              + losses.regions()
              + " group="
              + (spans ? "spread" : "crowded")
              + " majority="
              + (losses.margin(c.members) < 0 ? "crowded" : "spread"));
    }
    List<Batch> done = new ArrayList<>(batches.values());
    if (open != null) {
      done.add(open);
    }
    batches.clear();
    open = null;
    List<Batch> later = new ArrayList<>(waiting);
    waiting.clear();
    done.forEach(this::commit);
    listener.began(c.proposal, continued);
    tellMembers(ping(now));
    for (Batch b : later) {
      propose(b.entries.get(0), b.committed.get(0));
    }
    lastNotice = now;
  }

  private void abandon(String why) {
    runtime.event("event=candidacy_abandoned epoch=" + candidacy.epoch + " why=" + why);
    if (candidacy.copying && !candidacy.accepting) {
      for (CoreMember b : candidacy.backups) {
        if (!candidacy.copied.contains(b.diskId())) {
          exclude(b.diskId());
        }
      }
    }
    candidacy = null;
    if (leading && !known.primary().diskId().equals(self.diskId())) {
      stepDown(why);
    }
    nextRun = runtime.now() + 150_000 + runtime.random(400_000);
  }

  // -------------------------------------------------------------- messages

  /** Takes a message of the core; false if it is none. */
  public boolean onMessage(String from, WireRecord f) {
    switch (f.kind()) {
      case "prep" -> onPrepare(f);
      case "prom" -> {
        heardOf(f.text("id"), f.truth("leaving"));
        if (candidacy != null && candidacy.epoch == f.number("epoch")) {
          promisedBy(candidacy, f.text("id"), EpochRecord.of(f.nested("record")));
        }
      }
      case "nack" -> {
        highestSeen = Math.max(highestSeen, f.number("promised"));
        learn(EpochRecord.of(f.nested("record")));
        if (candidacy != null && f.number("promised") > candidacy.epoch && !candidacy.accepting) {
          abandon("outbid");
        }
      }
      case "snappiece" -> onPiece(f);
      case "snapheld" -> {
        if (candidacy != null
            && candidacy.epoch == f.number("epoch")
            && candidacy.snapshot != null) {
          pieceHeld(candidacy, f);
        }
      }
      case "copying" -> {
        if (promised == f.number("epoch") && promised == promisedTo) {
          leaveTo(runtime.now());
        }
      }
      case "snapok" -> {
        Candidacy c = candidacy;
        if (c != null && c.epoch == f.number("epoch") && c.copying && !c.accepting) {
          c.copied.add(f.text("id"));
          if (c.backups.stream().allMatch(b -> c.copied.contains(b.diskId()))) {
            propose(c);
          }
        }
      }
      case "acc" -> onAccept(f);
      case "accd" -> {
        if (candidacy != null && candidacy.accepting && candidacy.epoch == f.number("epoch")) {
          acceptedBy(candidacy, f.text("id"));
        }
      }
      case "rep" -> onReplicate(from, f);
      case "rack" -> onReplicated(f);
      case "repno" -> {
        highestSeen = Math.max(highestSeen, f.number("promised"));
        learn(EpochRecord.of(f.nested("record")));
        if (leading() && record.epoch() == f.number("epoch")) {
          if (f.truth("disk")) {
            exclude(f.text("id"));
          }
          run(record.members());
        }
      }
      case "ping" -> onPing(from, f);
      case "pong" -> {
        if (leading() && f.number("epoch") == 0) {
          // A blank disk at a member's address: it may know nobody else who tells it where the core
          // is.
          runtime.send(from, new EpochAnnouncement(record));
        }
        onPong(f);
      }
      case "bow" -> {
        leavers.add(f.text("id"));
        if (leading()) {
          reform(runtime.now());
        }
      }
      case "resign" -> {
        if (!leading
            && record != null
            && record.epoch() == f.number("epoch")
            && known.inGroup(self.diskId())
            && !diskBad) {
          exclude(record.primary().diskId());
          // It has stopped acting as primary, and each backup is told so; they take their turns.
          quietUntil = runtime.now() + f.number("quiet");
          long epoch = record.epoch();
          runtime.after(
              record.rankOf(self.diskId()) * times.rankStep() + (retired ? LEAVER_LATER : 0),
              () -> {
                if (!leading
                    && candidacy == null
                    && !diskBad
                    && known.epoch() == epoch
                    && promised == epoch) {
                  run(known.members());
                }
              });
        }
      }
      case "rec" -> learn(EpochRecord.of(f.nested("record")));
      default -> {
        return false;
      }
    }
    return true;
  }

  private void onPrepare(WireRecord f) {
    if (!self.diskId().equals(f.text("to"))
        || record != null && !record.fleet().equals(f.text("fleet"))) {
      return;
    }
    long e = f.number("epoch");
    String from = f.text("from");
    long mine = record == null ? 0 : record.epoch();
    if (e == promised && e == promisedTo && mine <= f.number("base")) {
      // Asked again: the first answer may be on its way to the disk still; this one follows it.
      promise(e, from);
      return;
    }
    if (e <= promised || mine > f.number("base")) {
      runtime.send(
          from,
          new WireRecord("nack")
              .with("promised", promised)
              .with("record", record == null ? null : record.toWireRecord()));
      return;
    }
    promised = e;
    promisedTo = e;
    if (leading) {
      stepDown("promised_higher");
    }
    candidacy = null;
    primaryHeard = runtime.now();
    nextRun = runtime.now() + times.phase() + runtime.random(300_000);
    promise(e, from);
  }

  private void promise(long e, String from) {
    write(
        new WireRecord("promise").with("epoch", e),
        ok -> {
          if (ok) {
            runtime.send(
                from,
                new WireRecord("prom")
                    .with("epoch", e)
                    .with("id", self.diskId())
                    .with("leaving", retired ? true : null)
                    .with("record", record == null ? null : record.toWireRecord()));
          } else {
            diskFailed();
          }
        });
  }

  /** Another is about to begin an epoch, and is given the time for it. */
  private void leaveTo(long now) {
    primaryHeard = now;
    nextRun = Math.max(nextRun, now + times.phase() + runtime.random(300_000));
  }

  private void onPiece(WireRecord f) {
    long e = f.number("epoch");
    if (!self.diskId().equals(f.text("to"))) {
      return;
    }
    if (e < promised) {
      runtime.send(
          f.text("from"),
          new WireRecord("nack")
              .with("promised", promised)
              .with("record", record == null ? null : record.toWireRecord()));
      return;
    }
    promised = e;
    if (leading) {
      stepDown("took_snapshot");
    }
    candidacy = null;
    leaveTo(runtime.now());
    long snapshot = f.number("snapshot");
    if (snapshot == installed) {
      // The word of it was lost. It follows the state to the disk.
      write(new WireRecord("promise").with("epoch", e), ok -> taken(ok, f));
      return;
    }
    if (arriving == null || !arriving.of(snapshot)) {
      arriving = new SnapshotReceiver(snapshot);
    }
    int held = arriving.take(f);
    runtime.send(
        f.text("from"),
        new WireRecord("snapheld")
            .with("epoch", e)
            .with("id", self.diskId())
            .with("snapshot", snapshot)
            .with("held", held));
    if (arriving.whole()) {
      byte[] packed = arriving.packed();
      arriving = null;
      install(f, packed);
    }
  }

  private void install(WireRecord f, byte[] packed) {
    WireRecord state;
    try {
      state = CompressedPayload.unpack(packed);
    } catch (ProtocolException x) {
      // What was held before stays; the candidate hears nothing and goes on without this member.
      runtime.event(
          "event=snapshot_unreadable epoch=" + f.number("epoch") + " cause=" + x.getMessage());
      return;
    }
    long now = runtime.now();
    quietUntil = Math.max(quietUntil, now + f.number("quiet"));
    formerSince = now + f.number("gives");
    hold.load(state, now);
    committedRevision = hold.revision();
    committedText = hold.text();
    installed = f.number("snapshot");
    write(new WireRecord("promise").with("epoch", f.number("epoch")), ok -> {});
    write(new WireRecord("state").with("bale", packed), ok -> taken(ok, f));
  }

  private void taken(boolean ok, WireRecord f) {
    if (ok) {
      runtime.send(
          f.text("from"),
          new WireRecord("snapok").with("epoch", f.number("epoch")).with("id", self.diskId()));
    } else {
      diskFailed();
    }
  }

  private void onAccept(WireRecord f) {
    EpochRecord r = EpochRecord.of(f.nested("record"));
    if (!self.diskId().equals(f.text("to")) || r == null) {
      return;
    }
    if (record != null && !record.fleet().equals(r.fleet())) {
      return;
    }
    if (r.epoch() < promised) {
      runtime.send(
          f.text("from"),
          new WireRecord("nack")
              .with("promised", promised)
              .with("record", record == null ? null : record.toWireRecord()));
      return;
    }
    boolean again = record != null && record.epoch() == r.epoch();
    if (leading && !again) {
      stepDown("accepted_newer");
    }
    candidacy = null;
    Consumer<Boolean> answer =
        ok -> {
          if (ok) {
            runtime.send(
                f.text("from"),
                new WireRecord("accd").with("epoch", r.epoch()).with("id", self.diskId()));
          } else {
            diskFailed();
          }
        };
    if (again) {
      write(new WireRecord("promise").with("epoch", promised), answer);
    } else {
      accept(r, answer);
      learn(r);
    }
  }

  private void accept(EpochRecord r, Consumer<Boolean> done) {
    record = r;
    promised = Math.max(promised, r.epoch());
    lastSeq = 0;
    placeLost = false;
    primaryHeard = runtime.now();
    write(new WireRecord("accept").with("record", r.toWireRecord()), done);
  }

  private void onReplicate(String from, WireRecord f) {
    long e = f.number("epoch");
    if (record == null || record.epoch() != e || promised != e || diskBad) {
      runtime.send(
          from,
          new WireRecord("repno")
              .with("epoch", e)
              .with("promised", promised)
              .with("id", self.diskId())
              .with("disk", diskBad ? true : null)
              .with("record", record == null ? null : record.toWireRecord()));
      return;
    }
    primaryHeard = runtime.now();
    long n = f.number("seq");
    if (placeLost || n > lastSeq + 1) {
      // Said at once: only another epoch, which copies the state, makes this one a backup again.
      lostPlace(from, e);
      return;
    }
    List<WireRecord> entries = f.records("entries");
    Consumer<Boolean> answer =
        ok -> {
          if (ok) {
            runtime.send(
                from,
                new WireRecord("rack").with("epoch", e).with("seq", n).with("id", self.diskId()));
          } else {
            diskFailed();
            runtime.send(
                from,
                new WireRecord("repno")
                    .with("epoch", e)
                    .with("promised", promised)
                    .with("id", self.diskId())
                    .with("disk", true));
          }
        };
    if (n <= lastSeq) {
      write(new WireRecord("promise").with("epoch", promised), answer);
      return;
    }
    lastSeq = n;
    for (int i = 0; i < entries.size(); i++) {
      hold.apply(entries.get(i), runtime.now());
      write(entries.get(i), i == entries.size() - 1 ? answer : ok -> {});
    }
    committedRevision = hold.revision();
    committedText = hold.text();
  }

  private void lostPlace(String from, long e) {
    runtime.event("event=place_lost epoch=" + e);
    runtime.send(
        from,
        new WireRecord("repno")
            .with("epoch", e)
            .with("promised", promised)
            .with("id", self.diskId())
            .with("record", record.toWireRecord()));
  }

  private void onReplicated(WireRecord f) {
    if (!leading() || record.epoch() != f.number("epoch")) {
      return;
    }
    String id = f.text("id");
    if (record.rankOf(id) < 0) {
      return;
    }
    backupHeard.put(id, runtime.now());
    memberHeard.put(id, runtime.now());
    Batch b = batches.get(f.number("seq"));
    if (b != null) {
      b.at.add(id);
      settle();
    }
  }

  private void onPing(String from, WireRecord f) {
    if (record == null) {
      runtime.send(from, new WireRecord("pong").with("id", self.diskId()).with("epoch", 0));
      return;
    }
    if (!record.fleet().equals(f.text("fleet"))) {
      return;
    }
    long e = f.number("epoch");
    boolean follows = false;
    if (e == record.epoch()) {
      // Only who has begun an epoch pings in its name.
      hasBegun(e);
      primaryHeard = runtime.now();
      if (promised == e) {
        follows = true;
        quietUntil = Math.max(quietUntil, runtime.now() + times.authority());
        if (placeLost && record.rankOf(self.diskId()) >= 0) {
          lostPlace(from, e);
        }
      }
    }
    runtime.send(
        from,
        new WireRecord("pong")
            .with("at", follows ? f.number("at") : null)
            .with("id", self.diskId())
            .with("epoch", record.epoch())
            .with("promised", promised)
            .with("disk", diskBad ? true : null)
            .with("leaving", retired ? true : null)
            .with("record", record.epoch() > e ? record.toWireRecord() : null));
  }

  private void onPong(WireRecord f) {
    learn(EpochRecord.of(f.nested("record")));
    if (!leading()) {
      return;
    }
    long now = runtime.now();
    String id = f.text("id");
    memberHeard.put(id, now);
    heardOf(id, f.truth("leaving"));
    if (f.truth("disk")) {
      exclude(id);
    }
    boolean follows = record.rankOf(id) >= 0 && f.number("promised") <= record.epoch();
    if (follows && !f.truth("disk")) {
      backupHeard.put(id, now);
    }
    if (follows && f.has("at") && f.number("epoch") == record.epoch()) {
      followedAt.merge(id, f.number("at"), Math::max);
      giveProofs();
    }
    if (f.number("epoch") < record.epoch()) {
      for (CoreMember m : record.members()) {
        if (m.diskId().equals(id)) {
          runtime.send(
              m.address(),
              new WireRecord("acc")
                  .with("record", record.toWireRecord())
                  .with("to", id)
                  .with("from", self.address()));
        }
      }
    }
  }

  // ------------------------------------------------------------------ disk

  /**
   * Writes a record. After one that was refused none counts before the disk holds everything again:
   * what is said of a later record may rest on the one that is missing.
   */
  private void write(WireRecord f, Consumer<Boolean> done) {
    journal(
        f,
        ok -> {
          refusedSinceProbe |= !ok;
          done.accept(ok && !diskBad);
        });
  }

  private void journal(WireRecord f, Consumer<Boolean> done) {
    if (pendingWrites++ == 0) {
      oldestPendingWrite = runtime.now();
    }
    runtime.journal(
        f,
        ok -> {
          pendingWrites--;
          oldestPendingWrite = runtime.now();
          done.accept(ok);
        });
  }

  private void diskFailed() {
    if (!diskBad) {
      runtime.event("event=disk_refused");
      diskBad = true;
      probeDisk();
    }
    if (candidacy != null) {
      candidacy = null;
    }
    if (leading) {
      resign();
    }
  }

  /**
   * Tries the disk until it takes everything that memory holds: what failed to be written may have
   * been followed by records that were, so nothing less than the whole makes the journal stand for
   * this node again.
   */
  private void probeDisk() {
    runtime.after(
        500_000,
        () -> {
          List<WireRecord> all = journalBase();
          refusedSinceProbe = false;
          boolean[] good = {true};
          for (int i = 0; i < all.size(); i++) {
            boolean last = i == all.size() - 1;
            journal(
                all.get(i),
                ok -> {
                  good[0] &= ok;
                  if (last) {
                    probed(good[0] && !refusedSinceProbe);
                  }
                });
          }
        });
  }

  private void probed(boolean good) {
    if (good) {
      diskBad = false;
      runtime.event("event=disk_recovered");
    } else {
      probeDisk();
    }
  }
}
