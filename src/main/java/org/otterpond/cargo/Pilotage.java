package org.otterpond.cargo;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import org.apache.hc.core5.http.Header;
import org.otterpond.chart.Configuration;
import org.otterpond.chart.Limits;
import org.otterpond.chart.Route;
import org.otterpond.chart.RouteType;
import org.otterpond.chart.Settings;
import org.otterpond.harbour.HarbourNode;
import org.otterpond.harbour.Shore;
import org.otterpond.harbour.Vessel;
import org.otterpond.harbour.VesselState;
import org.otterpond.quay.Call;
import org.otterpond.quay.CallHandler;
import org.otterpond.quay.Links;
import org.otterpond.quay.Missive;
import org.otterpond.quay.Quay;
import org.otterpond.quay.Reception;
import org.otterpond.quay.Replies;
import org.otterpond.quay.TenderPool;
import org.otterpond.signal.Flag;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The data path of one node: routes a request, picks a worker, forwards, answers. */
public final class Pilotage implements CallHandler, Shore {
    private static final Logger LOG = LoggerFactory.getLogger(Pilotage.class);

    static final String ATTEMPT_ID = "X-Otterpond-Attempt-Id";
    static final String TIME_LEFT = "X-Otterpond-Time-Remaining";
    static final String KEY = "X-Otterpond-Operation-Key";
    static final String SEAL = "X-Otterpond-Server-Seal";
    static final String EXPECTED = "X-Otterpond-Expected-Instance";
    static final String NOT_EXECUTED = "X-Otterpond-Not-Executed";

    private static final Set<String> HOP = Set.of("connection", "keep-alive", "proxy-connection", "te", "trailer",
            "transfer-encoding", "upgrade", "content-length", "expect", "proxy-authenticate", "proxy-authorization");

    private static final long ANSWER_BOUND = 64L << 20;
    private static final long DEFAULT_AIM = 400_000;
    private static final long CONNECT = 250_000;
    private static final long FULL_SHUN = 60_000;
    private static final long SWEEP = 1_000_000;
    private static final long SAMPLE = 20_000;
    private static final long WAIT_CHECK = 10_000;
    private static final long BUSY_AGAIN = 50_000;
    private static final long CLAIM_LEAST = 50_000;
    private static final long PARK_MOST = 600_000;
    private static final long FETCH = 400_000;
    private static final long LEAST_LEFT = 5_000;
    private static final int SMALL_FLEET = 8;

    private final Quay quay;
    private final Settings settings;
    private final HarbourNode node;
    private final Random random;
    private final Map<String, Fairway> fairways = new HashMap<>();
    private final Map<String, String> serviceOf = new HashMap<>();
    private final long life;
    private final Tally tally;
    private final Locker locker;
    private final Set<Call> parked = new LinkedHashSet<>();
    private final Map<String, Double> nodeShares = new HashMap<>();

    private Configuration configuration;
    private int nodes = 1;
    private boolean leaving;
    private long tokenNumber;
    private boolean waitCheckDue;
    private int open;

    public Pilotage(Quay quay, Settings settings, java.util.function.Function<Shore, HarbourNode> nodeFor, long life,
            Tally tally) {
        this.quay = quay;
        this.settings = settings;
        this.life = life;
        this.tally = tally;
        this.locker = new Locker(settings.keyWindowMicros() + 10_000_000, Runtime.getRuntime().maxMemory() / 4);
        this.random = new Random(ThreadLocalRandom.current().nextLong());
        this.node = nodeFor.apply(this);
        quay.after(SWEEP, this::sweep);
        quay.after(SAMPLE, this::sample);
    }

    public HarbourNode node() {
        return node;
    }

    public void leave() {
        leaving = true;
    }

    @Override
    public boolean leaving() {
        return leaving;
    }

    public boolean ready() {
        return configuration != null && !leaving;
    }

    /** Requests in hand. */
    public int open() {
        return open;
    }

    @Override
    public Limits limits() {
        return configuration == null ? Limits.standard() : configuration.limits();
    }

    // ------------------------------------------------------------------ news

    @Override
    public void configured(Configuration c) {
        configuration = c;
        List<Call> calls = new ArrayList<>(parked);
        parked.clear();
        // After the workers that came in the same news.
        quay.after(0, () -> calls.forEach(this::handle));
    }

    @Override
    public void nodes(List<String> zones) {
        nodes = zones.size();
        nodeShares.clear();
        zones.forEach(z -> nodeShares.merge(z, 1.0 / zones.size(), Double::sum));
        fairways.values().forEach(f -> f.zones(settings.zone(), nodeShares, nodes));
    }

    @Override
    public Flag keptAnswer(String key, String token) {
        return locker.get(key, token);
    }

    @Override
    public void worker(Vessel v) {
        String service = v.service() == null || v.service().isEmpty() ? serviceOf.get(v.id()) : v.service();
        if (service == null) {
            return;
        }
        Fairway f = fairway(service);
        Hull h = f.hulls.get(v.id());
        if (v.state().compareTo(VesselState.LOST) >= 0) {
            if (h != null) {
                h.vessel = v;
                h.pool.close();
                f.hulls.remove(v.id());
                serviceOf.remove(v.id());
                f.arrange();
            }
            return;
        }
        if (h == null) {
            try {
                h = new Hull(v, new TenderPool(quay, Links.address(v.address()), ANSWER_BOUND));
            } catch (RuntimeException e) {
                LOG.warn("event=bad_worker_address instance={} address={}", v.id(), v.address());
                return;
            }
            f.hulls.put(v.id(), h);
            serviceOf.put(v.id(), service);
        } else {
            h.vessel = v;
        }
        f.arrange();
        if (v.state() == VesselState.IN_SERVICE) {
            wake(f);
        }
    }

    private Fairway fairway(String service) {
        return fairways.computeIfAbsent(service, s -> {
            Fairway f = new Fairway(s, random, settings.ejectSlow());
            f.zones(settings.zone(), nodeShares, nodes);
            return f;
        });
    }

    private void sweep() {
        fairways.values().forEach(f -> f.hulls.values().forEach(h -> h.pool.sweep()));
        quay.after(SWEEP, this::sweep);
    }

    private void sample() {
        long now = Quay.now();
        for (Fairway f : fairways.values()) {
            String line = f.observe(now);
            if (line != null) {
                LOG.info(line);
            }
        }
        quay.after(SAMPLE, this::sample);
    }

    // ----------------------------------------------------------------- calls

    @Override
    public void handle(Call call) {
        Missive r = call.request();
        long now = Quay.now();
        if (configuration == null) {
            park(call);
            return;
        }
        tally.requests.increment();
        String host = r.first("Host");
        Route route = host == null ? null : configuration.route(host, r.path());
        if (route == null) {
            tally.unrouted.increment();
            call.answer(Replies.problem(404, "no route"));
            return;
        }
        if (r.first(ATTEMPT_ID) == null) {
            call.answer(Replies.problem(400, ATTEMPT_ID + ": missing"));
            return;
        }
        long left;
        try {
            left = Math.min(route.guardMicros(), timeLeft(r, route.guardMicros()));
        } catch (NumberFormatException e) {
            call.answer(Replies.problem(400, TIME_LEFT + ": a number of milliseconds is wanted"));
            return;
        }
        long aim = route.aimMicros() > 0 ? route.aimMicros() : DEFAULT_AIM;
        long refuse = Math.min(aim / 4 - 10_000, left / 2);
        Fairway f = fairway(route.serviceFor((long) (random.nextDouble() * route.totalWeight())));
        Passage p = new Passage(call, route, f, call.receivedAt() + left, call.receivedAt() + Math.max(20_000, refuse));
        if (p.keyed()) {
            p.key = r.first(KEY);
            if (p.key == null || p.key.isEmpty()) {
                call.answer(Replies.problem(400, KEY + ": missing"));
                return;
            }
            p.key = route.host() + "\n" + p.key;
            p.token = Long.toHexString(life) + "-" + Long.toHexString(++tokenNumber);
        }
        f.purse.earn(settings.retryRatio() * 0.9, purseCap());
        open++;
        p.timer = quay.after(p.deadline() - now, () -> deadline(p));
        if (p.keyed()) {
            claim(p);
        } else {
            dispatch(p);
        }
    }

    /** A node that has just started has its configuration in a moment; what comes before waits a part of its time. */
    private void park(Call call) {
        parked.add(call);
        long left = 0;
        try {
            left = timeLeft(call.request(), DEFAULT_AIM);
        } catch (NumberFormatException e) {
            // Refused at once: nothing says how long it may be kept.
        }
        quay.after(Math.min(PARK_MOST, left * 3 / 10), () -> {
            if (parked.remove(call)) {
                call.answer(Replies.unavailable("no configuration yet", 0.3));
            }
        });
    }

    /** How long the client says that it will wait, in microseconds. */
    private static long timeLeft(Missive r, long otherwise) {
        String told = r.first(TIME_LEFT);
        return told == null ? otherwise : (long) (1000 * Double.parseDouble(told.trim()));
    }

    private double purseCap() {
        return settings.retrySlack() / (2.0 * Math.max(nodes, SMALL_FLEET));
    }

    private void finish(Passage p, Missive answer) {
        if (p.finished) {
            return;
        }
        p.finished = true;
        open--;
        p.timer.cancel();
        if (p.hedge != null) {
            p.hedge.cancel();
        }
        p.fairway.waiting.remove(p);
        p.call.answer(answer);
    }

    private void deadline(Passage p) {
        if (p.finished) {
            return;
        }
        for (Attempt a : List.copyOf(p.open)) {
            p.mayHaveRun = true;
            release(p, a);
            if (a.tender != null) {
                a.tender.abandon();
            }
        }
        if (p.keyed()) {
            settleUnknown(p);
        }
        tally.timeouts.increment();
        finish(p, Replies.problem(504, "no answer in time"));
    }

    // ------------------------------------------------------------------ keys

    private void claim(Passage p) {
        // Longer than a worker is waited for: while the core changes hands, the answer comes within about a second.
        long wait = node.outOfTouch() ? CLAIM_LEAST : Math.max(LEAST_LEFT, (p.deadline() - Quay.now()) * 2 / 5);
        Flag ask = new Flag("ask").with("op", "claim").with("key", p.key).with("token", p.token);
        node.ask(ask, wait, 200_000, r -> claimed(p, r));
    }

    private void claimed(Passage p, Flag r) {
        if (p.finished) {
            if (r != null && r.truth("granted")) {
                free(p);
            }
            return;
        }
        if (r == null) {
            free(p);
            tally.refused.increment();
            // A node that is cut off sends the client to another at once; else the core is about to be back.
            double later = node.outOfTouch() ? CLAIM_LEAST / 1e6 : Math.max(0.05, (p.deadline() - Quay.now()) / 3.5e6);
            finishNotRun(p, Replies.unavailable("the key could not be claimed in time", later));
        } else if (r.truth("granted")) {
            dispatch(p);
        } else if (r.has("holder")) {
            replayFrom(p, r.text("holder"), r.text("run"));
        } else if (r.truth("unknown")) {
            finish(p, Replies.problem(502, "an earlier try of this operation has no known outcome"));
        } else if (p.deadline() - Quay.now() > (p.deadline() - p.call.receivedAt()) / 2) {
            quay.after(BUSY_AGAIN, () -> {
                if (!p.finished) {
                    awaitOther(p);
                }
            });
        } else {
            finish(p, Replies.problem(409, "the operation is in work").header("Retry-After", "0.1"));
        }
    }

    /** Another try of the same operation is at work: ask again for its outcome. */
    private void awaitOther(Passage p) {
        Flag ask = new Flag("ask").with("op", "claim").with("key", p.key).with("token", p.token);
        node.ask(ask, Math.max(20_000, (p.deadline() - Quay.now()) / 2), 200_000, r -> claimed(p, r));
    }

    private void replayFrom(Passage p, String holder, String run) {
        Flag here = locker.get(p.key, run);
        if (here != null) {
            replayed(p, here);
            return;
        }
        node.fetch(holder, p.key, run, Math.min(FETCH, Math.max(LEAST_LEFT, p.deadline() - Quay.now() - LEAST_LEFT)),
                a -> replayed(p, a));
    }

    private void replayed(Passage p, Flag a) {
        if (a == null) {
            finish(p, Replies.problem(502, "the operation has run; its answer is no longer at hand"));
            return;
        }
        tally.replays.increment();
        finish(p, replay(a, p));
    }

    private void free(Passage p) {
        p.freed = true;
        node.ask(new Flag("ask").with("op", "free").with("key", p.key).with("token", p.token), 3_000_000, 400_000,
                r -> { });
    }

    private void settleUnknown(Passage p) {
        if (p.mayHaveRun) {
            node.ask(new Flag("ask").with("op", "unknown").with("key", p.key).with("token", p.token), 3_000_000,
                    400_000, r -> { });
        } else {
            free(p);
        }
    }

    private void settleDone(Passage p, Missive m) {
        Flag answer = new Flag("answer").with("status", m.status()).with("body", m.body())
                .with("seal", m.first(SEAL)).with("type", m.first("Content-Type"));
        locker.put(p.key, p.token, answer, Quay.now());
        node.ask(new Flag("ask").with("op", "done").with("key", p.key).with("token", p.token)
                .with("holder", settings.internalAddress()), 3_000_000, 400_000, r -> { });
    }

    private static Missive replay(Flag a, Passage p) {
        return Missive.response((int) a.number("status")).header(ATTEMPT_ID, p.call.request().first(ATTEMPT_ID))
                .header(SEAL, a.text("seal")).header("Content-Type", a.text("type")).body(a.bytes("body"));
    }

    // --------------------------------------------------------------- forward

    private void dispatch(Passage p) {
        long now = Quay.now();
        if (p.finished) {
            return;
        }
        Hull h = p.fairway.pick(now, p.tried);
        if (h == null) {
            if (p.attempts > 0 || now >= p.refuseAt()) {
                refuse(p, "no worker can take the request");
                return;
            }
            p.fairway.waiting.add(p);
            checkWaiting();
            return;
        }
        long left = p.deadline() - now;
        if (left < LEAST_LEFT) {
            refuse(p, "no time left");
            return;
        }
        p.attempts++;
        p.tried.add(h.id());
        Attempt attempt = new Attempt(h, now);
        p.open.add(attempt);
        h.took(now);
        tally.forwarded.increment();
        attempt.tender = h.pool.send(toWorker(p, h, left), Math.min(CONNECT, left), new Reception() {
            @Override
            public void answered(Missive response) {
                if (release(p, attempt) && !p.finished) {
                    onAnswer(p, h, response);
                }
            }

            @Override
            public void failed(boolean written, String why) {
                if (release(p, attempt) && !p.finished) {
                    onFailure(p, h, written, why);
                }
            }
        });
        if (p.repeatable() && p.attempts < p.route.maxAttempts()) {
            p.hedge = quay.after(hedgeAfter(p.route), () -> hedge(p));
        }
    }

    private static long hedgeAfter(Route r) {
        return (r.aimMicros() > 0 ? r.aimMicros() : DEFAULT_AIM) * 9 / 10;
    }

    /**
     * A repeatable request that has waited for most of its aim, at a worker that answers nothing, is tried beside
     * itself, if the budget allows. A worker that answers others is only busy, and more load would not help.
     */
    private void hedge(Passage p) {
        long now = Quay.now();
        if (p.finished || p.open.size() != 1 || !p.open.get(0).silent() || p.attempts >= p.route.maxAttempts()
                || p.deadline() - now < hedgeAfter(p.route) / 2 || p.fairway.pick(now, p.tried) == null
                || !p.fairway.purse.spend()) {
            return;
        }
        tally.hedges.increment();
        dispatch(p);
    }

    private static Missive toWorker(Passage p, Hull h, long left) {
        Missive r = p.call.request();
        Missive m = Missive.request(r.method(), r.target());
        copyHeaders(r, m, true);
        m.header(TIME_LEFT, Long.toString(Math.max(1, left / 1000)));
        m.header(EXPECTED, h.id());
        m.body(r.body());
        return m;
    }

    private static void copyHeaders(Missive from, Missive to, boolean request) {
        Set<String> named = new HashSet<>();
        for (Header h : from.headers().getHeaders("Connection")) {
            for (String n : h.getValue().split(",")) {
                named.add(n.trim().toLowerCase(Locale.ROOT));
            }
        }
        for (Header h : from.headers().getHeaders()) {
            String n = h.getName().toLowerCase(Locale.ROOT);
            if (HOP.contains(n) || named.contains(n)) {
                continue;
            }
            if (request && (n.equalsIgnoreCase(TIME_LEFT) || n.equalsIgnoreCase(EXPECTED))) {
                continue;
            }
            to.headers().addHeader(h);
        }
    }

    /** Takes the attempt off the books; false if it was off them already. */
    private boolean release(Passage p, Attempt a) {
        if (!p.open.remove(a)) {
            return false;
        }
        a.hull.inFlight--;
        wake(p.fairway);
        return true;
    }

    private void onAnswer(Passage p, Hull h, Missive m) {
        boolean notRun = m.first(NOT_EXECUTED) != null || m.status() == 421;
        String id = m.first(ATTEMPT_ID);
        boolean foreign = id != null && !id.equals(p.call.request().first(ATTEMPT_ID));
        boolean success = m.status() / 100 == 2;
        if (!foreign && !notRun) {
            h.worked(Quay.now());
        }
        if (!success && !p.open.isEmpty()) {
            // Another attempt is still at work, and may do better.
            return;
        }
        if (foreign || (success && m.first(SEAL) == null)) {
            h.failed(Quay.now());
            if (!p.open.isEmpty()) {
                return;
            }
            broken(p, "the worker's answer is not one to this request");
            return;
        }
        if (notRun) {
            tally.turnedAway.increment();
            if (m.status() == 421) {
                h.failed(Quay.now());
            } else {
                h.shunUntil = Quay.now() + FULL_SHUN;
            }
            if (m.status() == 400) {
                finishNotRun(p, forward(m));
            } else {
                anotherOr(p, true, () -> finishNotRun(p,
                        Replies.unavailable("the worker turned the request away", comeBack())));
            }
            return;
        }
        if (p.keyed()) {
            settleDone(p, m);
        }
        if (p.repeatable() && m.status() >= 500 && m.status() != 504) {
            anotherOr(p, true, () -> finish(p, forward(m)));
            return;
        }
        if (m.status() == 503 || m.status() == 429 || m.status() == 408) {
            // It has run, or may have: these words would promise that it has not.
            if (p.repeatable()) {
                finish(p, forward(m));
            } else {
                finish(p, Replies.problem(502, "the worker failed"));
            }
            return;
        }
        tally.answered.increment();
        finish(p, forward(m));
    }

    private static Missive forward(Missive m) {
        Missive out = Missive.response(m.status()).body(m.body());
        copyHeaders(m, out, false);
        if (m.body().length == 0 && m.first("Content-Length") != null) {
            out.header("Content-Length", m.first("Content-Length"));
        }
        return out;
    }

    private void onFailure(Passage p, Hull h, boolean written, String why) {
        h.failed(Quay.now());
        tally.failures.increment();
        if (!p.open.isEmpty()) {
            return;
        }
        LOG.debug("event=attempt_failed service={} instance={} written={} why={}", p.fairway.name, h.id(), written,
                why);
        if (!written) {
            // No byte went out, so no worker has it: another may be tried, and it costs the budget nothing.
            anotherOr(p, false, () -> finishNotRun(p, Replies.unavailable("no worker could be reached", comeBack())));
            return;
        }
        broken(p, "the worker broke off");
    }

    private void broken(Passage p, String cause) {
        p.mayHaveRun = true;
        if (p.repeatable()) {
            anotherOr(p, true, () -> finish(p, Replies.problem(502, cause)));
            return;
        }
        if (p.keyed()) {
            settleUnknown(p);
        }
        finish(p, Replies.problem(502, cause));
    }

    /** Sends it to another worker if route, time and budget allow; else does the other thing. */
    private void anotherOr(Passage p, boolean arrived, Runnable otherwise) {
        long now = Quay.now();
        boolean allowed = p.attempts < Math.max(arrived ? p.route.maxAttempts() : p.route.maxAttempts() + 1, 1)
                && p.deadline() - now > 4 * LEAST_LEFT;
        if (!allowed || p.fairway.pick(now, p.tried) == null || (arrived && !p.fairway.purse.spend())) {
            otherwise.run();
            return;
        }
        tally.retries.increment();
        dispatch(p);
    }

    private void finishNotRun(Passage p, Missive answer) {
        if (p.mayHaveRun && !p.repeatable()) {
            if (p.keyed()) {
                settleUnknown(p);
            }
            finish(p, Replies.problem(502, "the outcome is not known"));
            return;
        }
        if (p.keyed() && !p.freed) {
            free(p);
        }
        finish(p, answer);
    }

    /** Answers that the request has not run and never will. */
    private void refuse(Passage p, String cause) {
        tally.refused.increment();
        finishNotRun(p, Replies.unavailable(cause, comeBack()));
    }

    private double comeBack() {
        return 0.15 + 0.25 * random.nextDouble();
    }

    // ----------------------------------------------------------------- queue

    private void wake(Fairway f) {
        if (f.waiting.isEmpty()) {
            return;
        }
        quay.after(0, () -> {
            while (!f.waiting.isEmpty() && f.pick(Quay.now(), Set.of()) != null) {
                dispatch(f.waiting.poll());
            }
        });
    }

    private void checkWaiting() {
        if (waitCheckDue) {
            return;
        }
        waitCheckDue = true;
        quay.after(WAIT_CHECK, () -> {
            waitCheckDue = false;
            long now = Quay.now();
            boolean more = false;
            for (Fairway f : fairways.values()) {
                List<Passage> late = f.takeExpired(now);
                late.forEach(p -> refuse(p, "no worker had room in time"));
                wake(f);
                more |= !f.waiting.isEmpty();
            }
            if (more) {
                checkWaiting();
            }
        });
    }
}
