package org.otterpond.cargo;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
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
    private String ownZone = "";
    private Map<String, Double> shares = Map.of();
    private int nodes = 1;
    private final Map<String, Double> zoneWeights = new TreeMap<>();

    Fairway(String name, Random random, boolean eject) {
        this.name = name;
        this.random = random;
        this.eject = eject;
    }

    /** What share of requests this node sends to each zone's workers, by slots and by where the nodes stand. */
    void zones(String own, Map<String, Double> nodeShares, int nodeCount) {
        ownZone = own;
        nodes = nodeCount;
        shares = Map.copyOf(nodeShares);
        arrange();
    }

    /** To be called when workers have come, gone or changed. */
    void arrange() {
        Map<String, Double> slots = new TreeMap<>();
        double total = 0;
        for (Hull h : hulls.values()) {
            if (h.vessel.state() == VesselState.IN_SERVICE) {
                slots.merge(h.vessel.zone(), (double) Math.max(1, h.vessel.slots()), Double::sum);
                total += Math.max(1, h.vessel.slots());
            }
        }
        zoneWeights.clear();
        double here = shares.getOrDefault(ownZone, 0.0);
        if (total == 0 || here <= 0) {
            return;
        }
        // Own zone first, as far as its part of the slots covers its part of the traffic; the rest goes to the zones
        // with more slots than traffic, by how much more.
        double local = Math.min(1, slots.getOrDefault(ownZone, 0.0) / total / here);
        double spare = 0;
        for (Map.Entry<String, Double> e : slots.entrySet()) {
            spare += Math.max(0, e.getValue() / total - shares.getOrDefault(e.getKey(), 0.0));
        }
        if (spare <= 0 && local < 1) {
            return;
        }
        for (Map.Entry<String, Double> e : slots.entrySet()) {
            double over = Math.max(0, e.getValue() / total - shares.getOrDefault(e.getKey(), 0.0));
            double w = e.getKey().equals(ownZone) ? local : (1 - local) * over / spare;
            if (w > 0) {
                zoneWeights.put(e.getKey(), w);
            }
        }
    }

    private String drawZone() {
        double d = random.nextDouble();
        for (Map.Entry<String, Double> e : zoneWeights.entrySet()) {
            d -= e.getValue();
            if (d < 0) {
                return e.getKey();
            }
        }
        return ownZone;
    }

    /**
     * The worker for a request, null if none may take one now: the least loaded of the zone drawn, ties broken at
     * random; of all zones, where that one has none free of this node's requests but another has.
     */
    Hull pick(long now, Set<String> tried) {
        if (!zoneWeights.isEmpty()) {
            Hull near = pickFrom(now, tried, true, drawZone());
            if (near != null && near.inFlight < fairPart(near)) {
                return near;
            }
            Hull any = pickFrom(now, tried, true, null);
            if (near != null && (any == null || load(near, now) - load(any, now) < 1)) {
                return near;
            }
            if (any != null) {
                return any;
            }
        }
        Hull best = pickFrom(now, tried, true, null);
        return best != null ? best : pickFrom(now, tried, false, null);
    }

    private Hull pickFrom(long now, Set<String> tried, boolean heedShunning, String zone) {
        Hull best = null;
        double bestLoad = Double.MAX_VALUE;
        int ties = 0;
        for (Hull h : hulls.values()) {
            if (h.vessel.state() != VesselState.IN_SERVICE || tried.contains(h.id())
                    || (heedShunning && (h.shunUntil > now || h.suspect(now))) || h.inFlight >= bound(h)
                    || (zone != null && !zone.equals(h.vessel.zone()))) {
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

    /** A worker's slots shared out over the nodes of this zone. */
    private int fairPart(Hull h) {
        return Math.max(1, (int) Math.ceil(h.vessel.slots() / Math.max(1, shares.getOrDefault(ownZone, 0.0) * nodes)));
    }

    private static int bound(Hull h) {
        return Math.max(1, h.vessel.slots()) * 2;
    }

    /** One sample for the detector, and what follows from its verdict. Returns a line for the log, or null. */
    String observe(long now) {
        Map<String, Double> loads = new HashMap<>();
        for (Hull h : hulls.values()) {
            if (h.vessel.state() == VesselState.IN_SERVICE && h.vessel.warmUntil() <= now
                    && (zoneWeights.isEmpty() || h.vessel.zone().equals(ownZone))) {
                // Zones are drawn by fixed weights and least outstanding rules within one, so the statistic is
                // taken over the zone that gets most of this node's requests.
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
