package org.otterpond.cargo;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.otterpond.harbour.VesselState;
import org.otterpond.lookout.Lookout;
import org.otterpond.lookout.Verdict;

/** One service on this node: its workers, the pick among them, those waiting, the purse and the detector. */
final class Fairway {
    private static final int WINDOW = 400;
    private static final double ALPHA_MAX = 0.7;
    private static final int CONFIRM = 40;
    private static final double EJECTED_WEIGHT = 0.25;
    private static final long EJECT_SPAN = 5_000_000;
    private static final double WARMING_WEIGHT = 0.5;

    final String name;
    final Map<String, Hull> hulls = new LinkedHashMap<>();
    final RetryPurse purse = new RetryPurse();
    final PriorityQueue<Passage> waiting = new PriorityQueue<>(
            (a, b) -> a.priority() != b.priority() ? Integer.compare(a.priority(), b.priority())
                    : Long.compare(a.deadline(), b.deadline()));

    private final Random random;
    private final Lookout lookout = new Lookout(WINDOW, ALPHA_MAX, CONFIRM);
    private final boolean eject;
    private Hull ejected;
    private long ejectedUntil;
    private String flagged;

    Fairway(String name, Random random, boolean eject) {
        this.name = name;
        this.random = random;
        this.eject = eject;
    }

    /** The least loaded worker that may take a request now, ties broken at random; null if none may. */
    Hull pick(long now, Set<String> tried) {
        Hull best = pickFrom(now, tried, true);
        return best != null ? best : pickFrom(now, tried, false);
    }

    private Hull pickFrom(long now, Set<String> tried, boolean heedShunning) {
        Hull best = null;
        double bestLoad = Double.MAX_VALUE;
        int ties = 0;
        for (Hull h : hulls.values()) {
            if (h.vessel.state() != VesselState.IN_SERVICE || tried.contains(h.id())
                    || (heedShunning && h.shunUntil > now) || h.inFlight >= bound(h)) {
                continue;
            }
            double load = load(h, now);
            if (load < bestLoad) {
                bestLoad = load;
                best = h;
                ties = 1;
            } else if (load == bestLoad && random.nextInt(++ties) == 0) {
                best = h;
            }
        }
        return best;
    }

    /** Requests in flight over the weight, where a worker at rest that is warm and unflagged counts 0. */
    private static double load(Hull h, long now) {
        double w = weight(h, now);
        return h.inFlight / w + (1 / w - 1);
    }

    private static double weight(Hull h, long now) {
        return h.weight * (h.vessel.warmUntil() > now ? WARMING_WEIGHT : 1.0);
    }

    private static int bound(Hull h) {
        return Math.max(1, h.vessel.slots()) * 2;
    }

    boolean empty() {
        return hulls.values().stream().noneMatch(h -> h.vessel.state() == VesselState.IN_SERVICE);
    }

    /** One sample for the detector, and what follows from its verdict. Returns a line for the log, or null. */
    String observe(long now) {
        Map<String, Double> loads = new HashMap<>();
        for (Hull h : hulls.values()) {
            if (h.vessel.state() == VesselState.IN_SERVICE && h.vessel.warmUntil() <= now) {
                loads.put(h.id(), h.inFlight / h.weight);
            }
        }
        lookout.sample(loads);
        if (ejected != null && (now > ejectedUntil || !hulls.containsKey(ejected.id()))) {
            ejected.weight = 1.0;
            ejected = null;
        }
        Verdict v = lookout.verdict();
        String line = null;
        if (v.slow() != null && !v.slow().equals(flagged)) {
            line = "event=slow_worker service=" + name + " instance=" + v.slow() + " share="
                    + Math.round(1000 * lookout.share(v.slow())) / 1000.0 + " workers=" + loads.size();
        }
        flagged = v.slow();
        if (eject && v.slow() != null && ejected == null && loads.size() >= 3) {
            ejected = hulls.get(v.slow());
            ejected.weight = EJECTED_WEIGHT;
            ejectedUntil = now + EJECT_SPAN;
        }
        return line;
    }

    String flagged() {
        return flagged;
    }

    List<Passage> takeExpired(long now) {
        List<Passage> out = new ArrayList<>();
        for (Passage p : new ArrayList<>(waiting)) {
            if (now >= p.refuseAt()) {
                waiting.remove(p);
                out.add(p);
            }
        }
        return out;
    }
}
