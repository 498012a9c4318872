package org.otterpond.harbour;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.otterpond.signal.Flag;

/**
 * The core's epoch machine on one disk-bearing node: witness always, and primary or backup when an epoch names it.
 *
 * <p>An epoch begins only when a majority of the old and of the new members hold its record durably. An entry is
 * committed once it is durable on the epoch's primary and backup. Only a member of the newest pair may begin a new
 * epoch, and it copies its whole state to the new backup before any witness is asked to accept the record.
 */
public final class Watch {
    private static final int EPOCH_STEP = 64;

    private final Deck deck;
    private final WatchTimes times;
    private final WatchListener listener;
    private final Berth self;
    private final Hold hold;

    // Durable, as in the journal.
    private long promised;
    /** The epoch last promised to another member in this life; its candidate may ask again. */
    private long promisedTo;
    private EpochRecord record;

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
    private long backupHeard;
    private long lastPing;
    private final Map<String, Long> memberHeard = new HashMap<>();
    private final Map<Long, Consumer<Boolean>> confirms = new HashMap<>();
    private long confirmNumber;
    private long committedRevision;
    private String committedText;

    // As backup.
    private long lastSeq;
    private long primaryHeard;

    private Candidacy candidacy;
    private long nextRun;
    private long lastGossip;
    private String excludedBackup;
    private boolean diskBad;
    private boolean retired;
    private long oldestPendingWrite;
    private int pendingWrites;

    private static final class Batch {
        final List<Flag> entries = new ArrayList<>();
        final List<Runnable> committed = new ArrayList<>();
        boolean local;
        boolean remote;
        long sentAt;
        long madeAt;
    }

    private static final class Candidacy {
        long epoch;
        long startedAt;
        boolean copying;
        boolean accepting;
        boolean settling;
        List<Berth> members;
        EpochRecord base;
        EpochRecord proposal;
        Berth backup;
        final Map<String, EpochRecord> promises = new HashMap<>();
        final Set<String> accepts = new HashSet<>();
    }

    public Watch(Deck deck, WatchTimes times, WatchListener listener, Berth self, Hold hold) {
        this.deck = deck;
        this.times = times;
        this.listener = listener;
        this.self = self;
        this.hold = hold;
        this.primaryHeard = deck.now();
        this.nextRun = deck.now() + 20_000 + deck.random(30_000);
    }

    /** Replays one journal record after a start. */
    public void replay(Flag f) {
        switch (f.kind()) {
            case "promise" -> promised = Math.max(promised, f.number("epoch"));
            case "accept" -> {
                record = EpochRecord.of(f.flag("record"));
                promised = Math.max(promised, record.epoch());
                known = record;
            }
            case "state" -> hold.load(f, deck.now());
            case "claim", "free", "config", "worker" -> hold.apply(f, deck.now());
            default -> deck.event("event=journal_record_skipped kind=" + f.kind());
        }
        committedRevision = hold.revision();
        committedText = hold.text();
    }

    /** What a fresh journal must begin with to stand for this one. */
    public List<Flag> journalBase() {
        List<Flag> out = new ArrayList<>();
        out.add(new Flag("promise").with("epoch", promised));
        if (record != null) {
            out.add(new Flag("accept").with("record", record.toFlag()));
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
     * Whether this node may commit. A primary that has promised a newer epoch, even its own, commits nothing until
     * that epoch has begun: a witness may already hold a record whose backup lacks what would be committed now.
     */
    public boolean leading() {
        return leading && candidacy == null && begun == record.epoch() && promised == begun;
    }

    Hold hold() {
        return hold;
    }

    public long committedRevision() {
        return committedRevision;
    }

    public String committedText() {
        return committedText;
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
        accept(first, ok -> { });
        learn(first);
        primaryHeard = deck.now();
        nextRun = deck.now() + (first.primary().diskId().equals(self.diskId()) ? 200_000 : 800_000);
    }

    /**
     * The connection to a node was closed from there. If it is the other of the pair, it is given a moment to be
     * heard again, as after a mere reset, in place of the whole time that silence would be given.
     */
    public void peerClosed(String address) {
        if (record == null || !known.inPair(self.diskId())) {
            return;
        }
        long now = deck.now();
        if (leading() && record.backup() != null && record.backup().address().equals(address)) {
            backupHeard = Math.min(backupHeard, now - times.backupSilence() + times.closedGrace());
        } else if (!leading && known.primary().address().equals(address)) {
            primaryHeard = Math.min(primaryHeard, now - times.primarySilence() + times.closedGrace());
        }
    }

    /** A newer record was heard of from anyone. */
    public void learn(EpochRecord r) {
        if (r == null || (known != null && (r.epoch() <= known.epoch() || !r.fleet().equals(known.fleet())))) {
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
        long now = deck.now();
        hold.expire(now);
        if (record == null) {
            return;
        }
        if (pendingWrites > 0 && now - oldestPendingWrite > times.diskStall() && leading) {
            deck.event("event=disk_stall_resign epoch=" + record.epoch());
            resign();
            return;
        }
        if (candidacy != null) {
            if (now - candidacy.startedAt > times.phase()) {
                abandon("timeout");
            } else if (!candidacy.copying) {
                askPromises(candidacy, candidacy.base);
            }
            return;
        }
        if (leading()) {
            tickPrimary(now);
            return;
        }
        if (now - primaryHeard > 2 * times.primarySilence() && now - lastGossip > times.primarySilence()) {
            lastGossip = now;
            tellMembers(new Flag("rec").with("record", known.toFlag()));
        }
        if (diskBad || retired || !known.inPair(self.diskId()) || now < nextRun) {
            return;
        }
        boolean namedPrimary = known.primary().diskId().equals(self.diskId());
        if (leading || namedPrimary || now - primaryHeard > times.primarySilence()) {
            run(known.members());
        }
    }

    private void tellMembers(Flag f) {
        for (Berth m : known.members()) {
            if (!m.diskId().equals(self.diskId())) {
                deck.send(m.address(), f);
            }
        }
    }

    private void tickPrimary(long now) {
        boolean stuck = !batches.isEmpty() && !batches.firstEntry().getValue().remote
                && now - batches.firstEntry().getValue().madeAt > times.diskStall();
        if (record.backup() != null && (stuck || now - backupHeard > times.backupSilence())) {
            deck.event("event=backup_lost epoch=" + record.epoch() + " backup=" + record.backup().name()
                    + " why=" + (stuck ? "no_sync" : "silence"));
            excludedBackup = record.backup().diskId();
            run(record.members());
            return;
        }
        for (Map.Entry<Long, Batch> e : batches.entrySet()) {
            Batch b = e.getValue();
            if (!b.remote && now - b.sentAt > times.resend()) {
                ship(e.getKey(), b);
            }
        }
        if (now - lastPing >= times.ping()) {
            lastPing = now;
            tellMembers(new Flag("ping").with("epoch", record.epoch()).with("fleet", record.fleet()));
        }
    }

    // ------------------------------------------------------------ as primary

    /** Adds an entry; the callback runs once it is durable on primary and backup. False if this node does not lead. */
    public boolean propose(Flag entry, Runnable committed) {
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
        hold.apply(entry, deck.now());
        if (open == null) {
            open = new Batch();
            deck.after(0, this::closeBatch);
        }
        open.entries.add(entry);
        open.committed.add(committed);
        return true;
    }

    private void closeBatch() {
        if (open == null || !leading()) {
            return;
        }
        long n = ++seq;
        Batch b = journalOpen(n);
        if (record.backup() == null) {
            b.remote = true;
        } else {
            ship(n, b);
        }
    }

    /** Journals the open batch under its number. Its place in the journal is before anything written later. */
    private Batch journalOpen(long n) {
        Batch b = open;
        open = null;
        b.madeAt = deck.now();
        batches.put(n, b);
        long epoch = record.epoch();
        Consumer<Boolean> last = ok -> {
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
            write(b.entries.get(i), i == b.entries.size() - 1 ? last : ok -> { });
        }
        return b;
    }

    private void ship(long n, Batch b) {
        b.sentAt = deck.now();
        deck.send(record.backup().address(),
                new Flag("rep").with("epoch", record.epoch()).with("seq", n).withFlags("entries", b.entries));
    }

    private void settle() {
        while (!batches.isEmpty()) {
            Batch b = batches.firstEntry().getValue();
            if (!b.local || !b.remote) {
                return;
            }
            batches.pollFirstEntry();
            commit(b);
        }
    }

    private void commit(Batch b) {
        for (Flag e : b.entries) {
            if (e.kind().equals("config")) {
                committedRevision = e.number("rev");
                committedText = e.text("text");
            }
        }
        b.committed.forEach(Runnable::run);
    }

    /** Asks whether this node still leads; false at once if it does not. */
    public void confirm(Consumer<Boolean> answer) {
        if (!leading()) {
            answer.accept(false);
            return;
        }
        if (record.backup() == null) {
            answer.accept(true);
            return;
        }
        long n = ++confirmNumber;
        confirms.put(n, answer);
        deck.send(record.backup().address(), new Flag("conf").with("epoch", record.epoch()).with("n", n));
        deck.after(700_000, () -> {
            Consumer<Boolean> late = confirms.remove(n);
            if (late != null) {
                late.accept(false);
            }
        });
    }

    /** Hands an outcome that needs no sync to the backup. */
    public void tellBackup(Flag told) {
        if (leading() && record.backup() != null) {
            deck.send(record.backup().address(), told);
        }
    }

    /** Before a planned end: no duty is taken any more, and one that is held is handed over. */
    public void retire() {
        retired = true;
        if (leading) {
            resign();
        } else if (known != null && known.backup() != null && known.backup().diskId().equals(self.diskId())) {
            deck.send(known.primary().address(), new Flag("bow").with("id", self.diskId()));
        }
    }

    /** Gives the duty to the backup, which begins a new epoch. */
    public void resign() {
        if (!leading) {
            return;
        }
        EpochRecord r = record;
        stepDown("resigned");
        nextRun = deck.now() + 2_500_000;
        if (r.backup() != null) {
            deck.send(r.backup().address(), new Flag("resign").with("epoch", r.epoch()));
        }
    }

    /** Asks for a new epoch with other members. */
    public void changeMembers(List<Berth> members) {
        if (leading() && batches.isEmpty() && open == null) {
            run(members);
        }
    }

    /** Whether the member has been silent for longer than the given span, as the primary sees it. */
    public boolean silent(Berth member, long span) {
        return deck.now() - memberHeard.getOrDefault(member.diskId(), 0L) > span;
    }

    private void stepDown(String why) {
        deck.event("event=stepped_down why=" + why + " epoch=" + record.epoch());
        leading = false;
        candidacy = null;
        batches.clear();
        waiting.clear();
        open = null;
        confirms.values().forEach(c -> deck.after(0, () -> c.accept(false)));
        confirms.clear();
        primaryHeard = deck.now();
        listener.steppedDown();
    }

    // ------------------------------------------------------------- candidacy

    private void run(List<Berth> members) {
        if (open != null) {
            journalOpen(++seq);
        }
        Candidacy c = new Candidacy();
        long top = Math.max(Math.max(promised, highestSeen), known.epoch());
        c.epoch = (top / EPOCH_STEP + 1) * EPOCH_STEP + Math.max(0, known.indexOf(self.diskId()));
        c.startedAt = deck.now();
        c.members = members;
        c.base = known;
        candidacy = c;
        deck.event("event=candidacy epoch=" + c.epoch + " base=" + known.epoch());
        promised = c.epoch;
        write(new Flag("promise").with("epoch", c.epoch), ok -> {
            if (!ok) {
                diskFailed();
            } else if (candidacy == c) {
                promisedBy(c, self.diskId(), record);
            }
        });
        askPromises(c, c.base);
    }

    private void askPromises(Candidacy c, EpochRecord base) {
        Set<Berth> all = new HashSet<>(base.members());
        all.addAll(c.members);
        for (Berth m : all) {
            if (!m.diskId().equals(self.diskId()) && !c.promises.containsKey(m.diskId())) {
                deck.send(m.address(), new Flag("prep").with("epoch", c.epoch).with("to", m.diskId())
                        .with("fleet", base.fleet()).with("base", base.epoch()).with("from", self.address()));
            }
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
            if (!theirs.inPair(self.diskId())) {
                abandon("not_in_pair");
                return;
            }
            askPromises(c, theirs);
        }
        // A record may be accepted somewhere and still never begin; the next candidate must then find a majority of
        // its members. So none is proposed before a majority of them, and each newcomer, is known to answer.
        long fresh = c.members.stream().filter(m -> c.promises.containsKey(m.diskId())).count();
        boolean newcomersIn = c.members.stream().allMatch(m -> c.base.hasMember(m.diskId())
                || c.promises.containsKey(m.diskId()));
        if (fresh < c.members.size() / 2 + 1 || !newcomersIn) {
            return;
        }
        long have = c.base.members().stream().filter(m -> c.promises.containsKey(m.diskId())).count();
        boolean peerIn = c.base.members().stream().anyMatch(m -> !m.diskId().equals(self.diskId())
                && !m.diskId().equals(excludedBackup) && c.base.inPair(m.diskId())
                && c.promises.containsKey(m.diskId()));
        if (have >= c.base.members().size() || have >= c.base.quorum() && peerIn) {
            choose(c);
        } else if (have >= c.base.quorum() && !c.settling) {
            c.settling = true;
            deck.after(40_000, () -> choose(c));
        }
    }

    private void choose(Candidacy c) {
        if (candidacy != c || c.copying || c.accepting) {
            return;
        }
        c.copying = true;
        Berth peer = null;
        for (Berth m : c.base.members()) {
            boolean usable = !m.diskId().equals(self.diskId()) && c.promises.containsKey(m.diskId())
                    && c.members.contains(m);
            boolean better = peer == null || (c.base.inPair(m.diskId()) && !m.diskId().equals(excludedBackup))
                    || peer.diskId().equals(excludedBackup);
            if (usable && better) {
                peer = m;
            }
        }
        if (peer == null && c.base.members().size() > 1) {
            abandon("no_backup");
            return;
        }
        c.backup = peer;
        if (peer == null) {
            propose(c);
            return;
        }
        deck.send(peer.address(), new Flag("snap").with("epoch", c.epoch).with("to", peer.diskId())
                .with("state", hold.snapshot()).with("from", self.address()));
    }

    private void propose(Candidacy c) {
        c.accepting = true;
        c.proposal = new EpochRecord(c.base.fleet(), c.epoch, self, c.backup, c.members, c.base.target());
        EpochRecord p = c.proposal;
        accept(p, ok -> {
            if (ok && candidacy == c) {
                acceptedBy(c, self.diskId());
            }
        });
        Set<Berth> all = new HashSet<>(c.base.members());
        all.addAll(c.members);
        for (Berth m : all) {
            if (!m.diskId().equals(self.diskId())) {
                deck.send(m.address(), new Flag("acc").with("record", p.toFlag()).with("to", m.diskId())
                        .with("from", self.address()));
            }
        }
    }

    private void acceptedBy(Candidacy c, String diskId) {
        c.accepts.add(diskId);
        long old = c.base.members().stream().filter(m -> c.accepts.contains(m.diskId())).count();
        long fresh = c.members.stream().filter(m -> c.accepts.contains(m.diskId())).count();
        if (old >= c.base.quorum() && fresh >= c.members.size() / 2 + 1 && c.accepts.contains(self.diskId())) {
            begin(c);
        }
    }

    private void begin(Candidacy c) {
        candidacy = null;
        excludedBackup = null;
        leading = true;
        begun = c.epoch;
        seq = 0;
        long now = deck.now();
        backupHeard = now;
        lastPing = 0;
        c.proposal.members().forEach(m -> memberHeard.put(m.diskId(),
                c.accepts.contains(m.diskId()) ? now : memberHeard.getOrDefault(m.diskId(), 0L)));
        known = c.proposal;
        committedRevision = hold.revision();
        committedText = hold.text();
        deck.event("event=epoch_began epoch=" + c.epoch + " primary=" + self.name() + " backup="
                + (c.backup == null ? "none" : c.backup.name()) + " members=" + c.members.size() + " claims="
                + hold.claimCount() + " revision=" + hold.revision());
        List<Batch> done = new ArrayList<>(batches.values());
        if (open != null) {
            done.add(open);
        }
        batches.clear();
        open = null;
        List<Batch> later = new ArrayList<>(waiting);
        waiting.clear();
        done.forEach(this::commit);
        listener.began(c.proposal);
        for (Batch b : later) {
            propose(b.entries.get(0), b.committed.get(0));
        }
    }

    private void abandon(String why) {
        deck.event("event=candidacy_abandoned epoch=" + candidacy.epoch + " why=" + why);
        if (candidacy.copying && candidacy.backup != null && !candidacy.accepting) {
            excludedBackup = candidacy.backup.diskId();
        }
        candidacy = null;
        if (leading && !known.primary().diskId().equals(self.diskId())) {
            stepDown(why);
        }
        nextRun = deck.now() + 150_000 + deck.random(400_000);
    }

    // -------------------------------------------------------------- messages

    /** Takes a message of the core; false if it is none. */
    public boolean onMessage(String from, Flag f) {
        switch (f.kind()) {
            case "prep" -> onPrepare(f);
            case "prom" -> {
                if (candidacy != null && candidacy.epoch == f.number("epoch")) {
                    promisedBy(candidacy, f.text("id"), EpochRecord.of(f.flag("record")));
                }
            }
            case "nack" -> {
                highestSeen = Math.max(highestSeen, f.number("promised"));
                learn(EpochRecord.of(f.flag("record")));
                if (candidacy != null && f.number("promised") > candidacy.epoch && !candidacy.accepting) {
                    abandon("outbid");
                }
            }
            case "snap" -> onSnapshot(f);
            case "snapok" -> {
                Candidacy c = candidacy;
                if (c != null && c.epoch == f.number("epoch") && c.copying && !c.accepting) {
                    propose(c);
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
                learn(EpochRecord.of(f.flag("record")));
                if (leading() && record.epoch() == f.number("epoch")) {
                    excludedBackup = f.truth("disk") ? f.text("id") : excludedBackup;
                    run(record.members());
                }
            }
            case "ping" -> onPing(from, f);
            case "pong" -> onPong(f);
            case "conf" -> {
                if (record != null && record.epoch() == f.number("epoch") && promised == record.epoch()) {
                    deck.send(from, new Flag("confd").with("epoch", f.number("epoch")).with("n", f.number("n")));
                }
            }
            case "confd" -> {
                if (leading() && record.epoch() == f.number("epoch")) {
                    Consumer<Boolean> c = confirms.remove(f.number("n"));
                    if (c != null) {
                        c.accept(true);
                    }
                }
            }
            case "bow" -> {
                if (leading() && record.backup() != null && record.backup().diskId().equals(f.text("id"))) {
                    excludedBackup = f.text("id");
                    run(record.members());
                }
            }
            case "resign" -> {
                if (!leading && candidacy == null && record != null && record.epoch() == f.number("epoch")
                        && known.inPair(self.diskId())) {
                    excludedBackup = record.primary().diskId();
                    run(known.members());
                }
            }
            case "rec" -> learn(EpochRecord.of(f.flag("record")));
            case "told" -> hold.noteHolder(f.text("key"), f.text("token"), f.text("holder"));
            case "toldunknown" -> hold.markUnknown(f.text("key"), f.text("token"));
            default -> {
                return false;
            }
        }
        return true;
    }

    private void onPrepare(Flag f) {
        if (!self.diskId().equals(f.text("to")) || record != null && !record.fleet().equals(f.text("fleet"))) {
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
            deck.send(from, new Flag("nack").with("promised", promised)
                    .with("record", record == null ? null : record.toFlag()));
            return;
        }
        promised = e;
        promisedTo = e;
        if (leading) {
            stepDown("promised_higher");
        }
        candidacy = null;
        primaryHeard = deck.now();
        nextRun = deck.now() + times.phase() + deck.random(300_000);
        promise(e, from);
    }

    private void promise(long e, String from) {
        write(new Flag("promise").with("epoch", e), ok -> {
            if (ok) {
                deck.send(from, new Flag("prom").with("epoch", e).with("id", self.diskId())
                        .with("record", record == null ? null : record.toFlag()));
            } else {
                diskFailed();
            }
        });
    }

    private void onSnapshot(Flag f) {
        long e = f.number("epoch");
        if (!self.diskId().equals(f.text("to")) || e < promised) {
            return;
        }
        promised = e;
        if (leading) {
            stepDown("took_snapshot");
        }
        candidacy = null;
        Flag state = f.flag("state");
        hold.load(state, deck.now());
        committedRevision = hold.revision();
        committedText = hold.text();
        primaryHeard = deck.now();
        write(new Flag("promise").with("epoch", e), ok -> { });
        write(state, ok -> {
            if (ok) {
                deck.send(f.text("from"), new Flag("snapok").with("epoch", e));
            } else {
                diskFailed();
            }
        });
    }

    private void onAccept(Flag f) {
        EpochRecord r = EpochRecord.of(f.flag("record"));
        if (!self.diskId().equals(f.text("to")) || r == null) {
            return;
        }
        if (record != null && !record.fleet().equals(r.fleet())) {
            return;
        }
        if (r.epoch() < promised) {
            deck.send(f.text("from"), new Flag("nack").with("promised", promised)
                    .with("record", record == null ? null : record.toFlag()));
            return;
        }
        boolean again = record != null && record.epoch() == r.epoch();
        if (leading && !again) {
            stepDown("accepted_newer");
        }
        candidacy = null;
        Consumer<Boolean> answer = ok -> {
            if (ok) {
                deck.send(f.text("from"), new Flag("accd").with("epoch", r.epoch()).with("id", self.diskId()));
            } else {
                diskFailed();
            }
        };
        if (again) {
            write(new Flag("promise").with("epoch", promised), answer);
        } else {
            accept(r, answer);
            learn(r);
        }
    }

    private void accept(EpochRecord r, Consumer<Boolean> done) {
        record = r;
        promised = Math.max(promised, r.epoch());
        lastSeq = 0;
        primaryHeard = deck.now();
        write(new Flag("accept").with("record", r.toFlag()), done);
    }

    private void onReplicate(String from, Flag f) {
        long e = f.number("epoch");
        if (record == null || record.epoch() != e || promised != e || diskBad) {
            deck.send(from, new Flag("repno").with("epoch", e).with("promised", promised).with("id", self.diskId())
                    .with("disk", diskBad ? true : null).with("record", record == null ? null : record.toFlag()));
            return;
        }
        primaryHeard = deck.now();
        long n = f.number("seq");
        if (n > lastSeq + 1) {
            return;
        }
        List<Flag> entries = f.flags("entries");
        Consumer<Boolean> answer = ok -> {
            if (ok) {
                deck.send(from, new Flag("rack").with("epoch", e).with("seq", n).with("id", self.diskId()));
            } else {
                diskFailed();
                deck.send(from, new Flag("repno").with("epoch", e).with("promised", promised)
                        .with("id", self.diskId()).with("disk", true));
            }
        };
        if (n <= lastSeq) {
            write(new Flag("promise").with("epoch", promised), answer);
            return;
        }
        lastSeq = n;
        for (int i = 0; i < entries.size(); i++) {
            hold.apply(entries.get(i), deck.now());
            write(entries.get(i), i == entries.size() - 1 ? answer : ok -> { });
        }
        committedRevision = hold.revision();
        committedText = hold.text();
    }

    private void onReplicated(Flag f) {
        if (!leading() || record.epoch() != f.number("epoch")) {
            return;
        }
        backupHeard = deck.now();
        memberHeard.put(f.text("id"), backupHeard);
        Batch b = batches.get(f.number("seq"));
        if (b != null) {
            b.remote = true;
            settle();
        }
    }

    private void onPing(String from, Flag f) {
        if (record == null) {
            deck.send(from, new Flag("pong").with("id", self.diskId()).with("epoch", 0));
            return;
        }
        if (!record.fleet().equals(f.text("fleet"))) {
            return;
        }
        long e = f.number("epoch");
        if (e == record.epoch()) {
            primaryHeard = deck.now();
        }
        deck.send(from, new Flag("pong").with("id", self.diskId()).with("epoch", record.epoch())
                .with("promised", promised).with("disk", diskBad ? true : null)
                .with("record", record.epoch() > e ? record.toFlag() : null));
    }

    private void onPong(Flag f) {
        learn(EpochRecord.of(f.flag("record")));
        if (!leading()) {
            return;
        }
        long now = deck.now();
        String id = f.text("id");
        memberHeard.put(id, now);
        boolean backup = record.backup() != null && record.backup().diskId().equals(id);
        if (backup && !f.truth("disk") && f.number("promised") <= record.epoch()) {
            backupHeard = now;
        }
        if (f.number("epoch") < record.epoch()) {
            for (Berth m : record.members()) {
                if (m.diskId().equals(id)) {
                    deck.send(m.address(), new Flag("acc").with("record", record.toFlag()).with("to", id)
                            .with("from", self.address()));
                }
            }
        }
    }

    // ------------------------------------------------------------------ disk

    private void write(Flag f, Consumer<Boolean> done) {
        if (pendingWrites++ == 0) {
            oldestPendingWrite = deck.now();
        }
        deck.journal(f, ok -> {
            pendingWrites--;
            oldestPendingWrite = deck.now();
            done.accept(ok);
        });
    }

    private void diskFailed() {
        if (!diskBad) {
            deck.event("event=disk_refused");
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
     * Tries the disk until it takes everything that memory holds: what failed to be written may have been followed by
     * records that were, so nothing less than the whole makes the journal stand for this node again.
     */
    private void probeDisk() {
        deck.after(500_000, () -> {
            List<Flag> all = journalBase();
            boolean[] good = {true};
            for (int i = 0; i < all.size(); i++) {
                boolean last = i == all.size() - 1;
                write(all.get(i), ok -> {
                    good[0] &= ok;
                    if (last) {
                        probed(good[0]);
                    }
                });
            }
        });
    }

    private void probed(boolean good) {
        if (good) {
            diskBad = false;
            deck.event("event=disk_recovered");
        } else {
            probeDisk();
        }
    }
}
