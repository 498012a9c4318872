package org.otterpond.harbour;

import com.google.common.hash.Hashing;
import com.google.gson.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.otterpond.chart.ChartException;
import org.otterpond.chart.ConfigurationReader;
import org.otterpond.chart.Fields;
import org.otterpond.signal.Flag;

/** What the primary does for the nodes: leases and long polls, the worker table, configuration, operation keys. */
final class Helm {
    private static final long LEASE = 2_500_000;
    private static final long POLL_HOLD = 700_000;
    private static final long EARLY_KEPT = 1_500_000;
    private static final long DRAIN_WAIT = 800_000;
    private static final long MEMBER_DEAD = 1_500_000;
    private static final long MEMBER_DROP = 6_000_000;
    private static final int MOST_MEMBERS = 9;

    private final Deck deck;
    private final Watch watch;
    private final Berth self;
    private final Register register;
    private final Map<String, Lease> leases = new HashMap<>();
    private final Map<String, Early> early = new HashMap<>();
    private final Map<String, List<Consumer<Flag>>> claimsInWriting = new HashMap<>();
    private final List<DrainWait> drains = new ArrayList<>();

    private PendingWrite writing;
    private Flag lastChange;
    private boolean newsDue;
    private long nodesVersion;
    private long membersTriedAt;

    private static final class Lease {
        Flag poll;
        boolean waiting;
        long at;
        long heldSince;
        long tableVersion;
        long nodesVersion = -1;
        long firstSeen;
    }

    private record Early(Flag poll, long at) {}

    private static final class DrainWait {
        long version;
        long deadline;
        boolean durable;
        Consumer<Flag> reply;
    }

    private static final class PendingWrite {
        String digest;
        final List<Consumer<Flag>> replies = new ArrayList<>();
    }

    Helm(Deck deck, Watch watch, Berth self, long heartbeatMicros) {
        this.deck = deck;
        this.watch = watch;
        this.self = self;
        this.register = new Register(heartbeatMicros);
    }

    void began() {
        register.reset(deck.now());
        watch.hold().workers().forEach(w -> register.take(Vessel.of(w, deck.now()), deck.now()));
        leases.clear();
        drains.clear();
        lastChange = null;
        nodesVersion++;
        Map<String, Early> polls = new HashMap<>(early);
        early.clear();
        long now = deck.now();
        // An older one may be of a process, or of a disk, that is no more.
        polls.values().removeIf(p -> now - p.at() > EARLY_KEPT);
        deck.after(0, () -> polls.forEach((from, p) -> onPoll(from, p.poll())));
    }

    void steppedDown() {
        claimsInWriting.clear();
        drains.clear();
        writing = null;
        EpochRecord known = watch.known();
        for (Map.Entry<String, Lease> e : leases.entrySet()) {
            if (e.getValue().waiting) {
                deck.send(e.getKey(), new Flag("harbour").with("record", known.toFlag()));
            }
        }
        leases.clear();
    }

    // ----------------------------------------------------------------- polls

    void onPoll(String from, Flag poll) {
        if (!watch.leading()) {
            if (watch.known() != null && !watch.known().primary().diskId().equals(self.diskId())) {
                deck.send(from, new Flag("harbour").with("record", watch.known().toFlag()));
            } else {
                // This node is about to lead, as far as anybody knows: the poll is answered once it does.
                early.put(from, new Early(poll, deck.now()));
            }
            return;
        }
        long now = deck.now();
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
        l.tableVersion = poll.number("epoch") == watch.record().epoch() ? poll.number("table") : 0;
        if (poll.has("tell")) {
            poll.flags("tell").forEach(f -> take(Vessel.of(f, now)));
        }
        checkDrains();
        answer(from, l, false);
    }

    private void newsDue() {
        if (!newsDue) {
            newsDue = true;
            deck.after(5_000, () -> {
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
        boolean nodes = l.nodesVersion != nodesVersion;
        boolean fresh = l.poll.number("epoch") != epoch;
        if (!config && !table && !nodes && !fresh && !now) {
            return;
        }
        Flag news = new Flag("news").with("epoch", epoch).with("ver", register.version())
                .with("pn", l.poll.number("pn"));
        if (fresh || nodes) {
            news.with("record", watch.record().toFlag());
            List<Flag> nodesNow = new ArrayList<>();
            leases.forEach((a, n) -> nodesNow.add(new Flag("n").with("addr", a).with("zone", n.poll.text("zone"))));
            news.withFlags("nodes", nodesNow);
            l.nodesVersion = nodesVersion;
        }
        if (config) {
            boolean patch = lastChange != null && lastChange.number("base") == l.poll.number("cfg")
                    && lastChange.number("rev") == watch.committedRevision();
            news.with("cfg", watch.committedRevision());
            if (patch) {
                news.with("base", lastChange.number("base")).with("change", lastChange.text("change"));
            } else {
                news.with("text", watch.committedText());
            }
        }
        if (table) {
            List<Flag> vessels = new ArrayList<>();
            register.newerThan(l.tableVersion).forEach(v -> vessels.add(v.toFlag(deck.now())));
            news.withFlags("table", vessels);
        }
        l.waiting = false;
        deck.send(to, news);
    }

    // ------------------------------------------------------------------ time

    void tick() {
        if (!watch.leading()) {
            return;
        }
        long now = deck.now();
        Iterator<Map.Entry<String, Lease>> it = leases.entrySet().iterator();
        while (it.hasNext()) {
            Map.Entry<String, Lease> e = it.next();
            Lease l = e.getValue();
            if (l.waiting && now - l.heldSince > POLL_HOLD) {
                answer(e.getKey(), l, true);
            }
            if (now - l.at > LEASE) {
                deck.event("event=lease_lapsed node=" + l.poll.text("name"));
                it.remove();
                nodesVersion++;
            }
        }
        List<Vessel> lost = register.expire(now);
        lost.forEach(v -> {
            deck.event("event=worker_lost instance=" + v.id() + " service=" + v.service());
            keep(v, () -> { });
        });
        if (!lost.isEmpty()) {
            newsDue();
        }
        checkDrains();
        membership(now);
    }

    /** Takes in new disks and puts out dead members, one at a time. */
    private void membership(long now) {
        if (now - membersTriedAt < 500_000) {
            return;
        }
        EpochRecord r = watch.record();
        Berth dead = null;
        Berth newcomer = null;
        for (Lease l : leases.values()) {
            String id = l.poll.text("disk");
            if (id == null || r.hasMember(id) || now - l.at > LEASE / 2) {
                continue;
            }
            Berth b = new Berth(id, l.poll.text("addr"), l.poll.text("name"), l.poll.text("zone"));
            for (Berth m : r.members()) {
                if (m.address().equals(b.address())) {
                    dead = m;
                    newcomer = b;
                }
            }
            if (newcomer == null && now - l.firstSeen > 500_000) {
                newcomer = b;
            }
        }
        boolean shrink = false;
        if (dead == null) {
            for (Berth m : r.members()) {
                if (m.diskId().equals(self.diskId())) {
                    continue;
                }
                if (newcomer != null && watch.silent(m, MEMBER_DEAD)) {
                    dead = m;
                } else if (newcomer == null && r.members().size() > r.target() && watch.silent(m, MEMBER_DROP)) {
                    dead = m;
                    shrink = true;
                }
            }
        }
        if (newcomer == null && !shrink) {
            return;
        }
        List<Berth> members = new ArrayList<>(r.members());
        if (dead != null) {
            members.remove(dead);
        }
        if (newcomer != null) {
            if (members.size() >= MOST_MEMBERS) {
                return;
            }
            members.add(newcomer);
        }
        membersTriedAt = now;
        deck.event("event=core_change in=" + (newcomer == null ? "none" : newcomer.name()) + " out="
                + (dead == null ? "none" : dead.name()));
        watch.changeMembers(List.copyOf(members));
    }

    // ------------------------------------------------------------------- ops

    /** Serves one asked operation; the reply may come later, or never if the duty is lost. */
    void serve(Flag ask, Consumer<Flag> reply) {
        if (!watch.leading()) {
            // Mid-change the asker asks again by itself; elsewhere it learns whom to ask.
            if (watch.known() != null && !watch.known().primary().diskId().equals(self.diskId())) {
                reply.accept(new Flag("reply").with("moved", true).with("record", watch.known().toFlag()));
            }
            return;
        }
        switch (ask.text("op")) {
            case "claim" -> claim(ask, reply);
            case "free" -> {
                Claim c = watch.hold().claim(ask.text("key"));
                if (c != null && c.token.equals(ask.text("token")) && c.holder == null) {
                    watch.propose(new Flag("free").with("key", ask.text("key")).with("token", ask.text("token")),
                            () -> { });
                }
                reply.accept(new Flag("reply"));
            }
            case "done" -> {
                watch.hold().noteHolder(ask.text("key"), ask.text("token"), ask.text("holder"));
                watch.tellBackup(new Flag("told").with("key", ask.text("key")).with("token", ask.text("token"))
                        .with("holder", ask.text("holder")));
                reply.accept(new Flag("reply"));
            }
            case "unknown" -> {
                watch.hold().markUnknown(ask.text("key"), ask.text("token"));
                watch.tellBackup(new Flag("toldunknown").with("key", ask.text("key"))
                        .with("token", ask.text("token")));
                reply.accept(new Flag("reply"));
            }
            case "beat" -> beat(ask, reply);
            case "beats" -> {
                ask.flags("beats").forEach(f -> take(Vessel.of(f, deck.now())));
                reply.accept(new Flag("reply"));
            }
            case "write" -> write(ask, reply);
            case "read" -> watch.confirm(ok -> {
                if (ok) {
                    reply.accept(new Flag("reply").with("rev", watch.committedRevision())
                            .with("text", watch.committedText()));
                }
            });
            case "status" -> watch.confirm(ok -> reply.accept(status(ok)));
            default -> reply.accept(new Flag("reply").with("error", "unknown operation"));
        }
    }

    private void claim(Flag ask, Consumer<Flag> reply) {
        String key = ask.text("key");
        String token = ask.text("token");
        Claim c = watch.hold().claim(key);
        if (c != null && c.token.equals(token)) {
            List<Consumer<Flag>> pending = claimsInWriting.get(token);
            if (pending != null) {
                pending.add(reply);
            } else {
                reply.accept(new Flag("reply").with("granted", true));
            }
            return;
        }
        if (c != null) {
            reply.accept(new Flag("reply").with("holder", c.holder).with("run", c.token)
                    .with("unknown", c.unknown ? true : null)
                    .with("busy", c.holder == null && !c.unknown ? true : null));
            return;
        }
        List<Consumer<Flag>> pending = claimsInWriting.get(token);
        if (pending != null) {
            pending.add(reply);
            return;
        }
        claimsInWriting.put(token, new ArrayList<>(List.of(reply)));
        boolean taken = watch.propose(new Flag("claim").with("key", key).with("token", token), () -> {
            List<Consumer<Flag>> replies = claimsInWriting.remove(token);
            Claim now = watch.hold().claim(key);
            // While an epoch was changing, two claims of one key may both have waited: the last written holds it.
            boolean mine = now != null && now.token.equals(token);
            if (replies != null) {
                replies.forEach(r -> r.accept(new Flag("reply").with(mine ? "granted" : "busy", true)));
            }
        });
        if (!taken) {
            claimsInWriting.remove(token);
        }
    }

    private void beat(Flag ask, Consumer<Flag> reply) {
        Vessel v = Vessel.of(ask.flag("vessel"), deck.now());
        take(v);
        if (v.state() == VesselState.IN_SERVICE) {
            reply.accept(new Flag("reply"));
            return;
        }
        DrainWait d = new DrainWait();
        d.deadline = deck.now() + DRAIN_WAIT;
        d.reply = reply;
        d.version = register.version();
        drains.add(d);
        // Written again though it may be known: the acknowledgement waits for a commit of its own.
        keep(register.get(v.id()), () -> {
            d.durable = true;
            checkDrains();
        });
    }

    /** Takes what is told of a worker; a change is delivered, and written so that it outlives every process. */
    private void take(Vessel v) {
        if (register.take(v, deck.now())) {
            newsDue();
            keep(register.get(v.id()), () -> { });
        }
    }

    private void keep(Vessel v, Runnable written) {
        watch.propose(v.toFlag("worker", deck.now()), written);
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
            if (d.durable && (d.version <= confirmed || deck.now() > d.deadline)) {
                it.remove();
                ready.add(d);
            }
        }
        ready.forEach(d -> d.reply.accept(new Flag("reply")));
    }

    // --------------------------------------------------------- configuration

    private static Flag verdict(int status, String cause) {
        return new Flag("reply").with("status", status).with("cause", cause);
    }

    private void write(Flag ask, Consumer<Flag> reply) {
        String text = ask.text("text");
        long base = ask.number("base");
        String kind = ask.text("kind");
        String digest = Hashing.sha256().hashString(kind + "\n" + base + "\n" + text, StandardCharsets.UTF_8)
                .toString();
        if (writing != null) {
            if (writing.digest.equals(digest)) {
                writing.replies.add(reply);
            }
            // Another change is being written: say nothing, the asker asks again within its time.
            return;
        }
        JsonObject whole;
        long revision;
        try {
            JsonObject given = Fields.parse(text);
            revision = Fields.of(given, "").whole("revision", 1, Long.MAX_VALUE);
            if (digest.equals(watch.hold().digestOf(revision))) {
                reply.accept(verdict(200, null));
                return;
            }
            long current = watch.committedRevision();
            if (base != current) {
                reply.accept(verdict(412, "X-Otterpond-Base-Revision: the current revision is " + current));
                return;
            }
            if (revision <= current) {
                reply.accept(verdict(400, "revision: not above the current " + current));
                return;
            }
            if (kind.equals("modify")) {
                JsonObject now = watch.committedText() == null ? new JsonObject()
                        : Fields.parse(watch.committedText());
                whole = ConfigurationReader.modify(now, given);
            } else {
                whole = given;
            }
            ConfigurationReader.read(whole);
        } catch (ChartException e) {
            reply.accept(verdict(400, e.getMessage()));
            return;
        }
        PendingWrite w = new PendingWrite();
        w.digest = digest;
        w.replies.add(reply);
        writing = w;
        String full = whole.toString();
        boolean taken = watch.propose(new Flag("config").with("rev", revision).with("text", full)
                .with("digest", digest), () -> {
                    writing = null;
                    lastChange = kind.equals("modify")
                            ? new Flag("change").with("base", base).with("rev", revision).with("change", text) : null;
                    deck.event("event=configuration_taken revision=" + revision + " base=" + base);
                    w.replies.forEach(r -> r.accept(verdict(200, null)));
                    newsDue();
                });
        if (!taken) {
            writing = null;
        }
    }

    private Flag status(boolean confirmed) {
        EpochRecord r = watch.record();
        List<Flag> nodes = new ArrayList<>();
        leases.forEach((a, l) -> nodes.add(new Flag("node").with("name", l.poll.text("name")).with("addr", a)
                .with("cfg", l.poll.number("cfg"))));
        List<Flag> vessels = new ArrayList<>();
        register.newerThan(0).forEach(v -> vessels.add(v.toFlag(deck.now())));
        return new Flag("reply").with("confirmed", confirmed).with("record", r.toFlag())
                .with("rev", watch.committedRevision()).with("claims", watch.hold().claimCount())
                .withFlags("nodes", nodes).withFlags("workers", vessels);
    }
}
