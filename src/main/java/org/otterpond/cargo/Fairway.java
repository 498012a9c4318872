package org.otterpond.cargo;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.otterpond.chart.Settings;
import org.otterpond.harbour.VesselState;
import org.otterpond.keys.KeyRange;
import org.otterpond.keys.RangeState;
import org.otterpond.keys.RangeTable;
import org.otterpond.lookout.Lookout;

/**
 * One service on this node: its workers, the pick among them, those waiting, the purse and the
 * detector.
 */
final class Fairway {
  static final long SAMPLE = 20_000;
  private static final int WINDOW = 400;
  private static final double ALPHA_MAX = 0.7;
  private static final int CONFIRM = 40;
  private static final double EJECTED_WEIGHT = 0.25;
  private static final long EJECT_SPAN = 5_000_000;
  private static final double WARMING_WEIGHT = 0.5;
  private static final int NEAR = 10;

  final String name;
  final Map<String, Hull> hulls = new LinkedHashMap<>();
  final RetryPurse purse;
  final Pace pace = new Pace();
  final PriorityQueue<Passage> waiting =
      new PriorityQueue<>(
          (a, b) ->
              a.priority() != b.priority()
                  ? Integer.compare(a.priority(), b.priority())
                  : Long.compare(a.deadline(), b.deadline()));

  private final Random random;
  private final Lookout lookout = new Lookout(WINDOW, ALPHA_MAX, CONFIRM);
  private final boolean eject;
  private final List<Hull> ejected = new ArrayList<>();
  private long ejectedUntil;
  private List<String> flagged = List.of();
  private Berths berths = Berths.alone("");
  private boolean stale = true;
  private final Map<String, Double> zoneWeights = new TreeMap<>();
  private final Map<String, List<Hull>> nearByZone = new HashMap<>();
  private int fairPart = 1;
  private RangeTable ranges;
  boolean wakeDue;
  private final long drainMost;

  /** How many requests of this node one worker may have at once, as each takes a connection. */
  private int connections = Integer.MAX_VALUE;

  Fairway(String name, Random random, Settings settings) {
    this.name = name;
    this.random = random;
    this.eject = settings.ejectSlow();
    this.drainMost = settings.drainMicros() / 2;
    this.purse = new RetryPurse(settings.retryWindowMicros());
  }

  /** The nodes have come, gone or moved up. */
  void berths(Berths now) {
    berths = now;
    stale = true;
  }

  /** The callers of a service share what connections its workers take. */
  void connections(int each) {
    connections = Math.max(1, each);
  }

  /** To be called when workers have come, gone or changed. */
  void changed() {
    stale = true;
  }

  /**
   * Settles what share of requests this node sends to each zone, and to which of its workers first.
   */
  private void arrange() {
    if (!stale) {
      return;
    }
    stale = false;
    Map<String, List<Hull>> byZone = new TreeMap<>();
    Map<String, Double> slots = new TreeMap<>();
    double total = 0;
    for (Hull h : hulls.values()) {
      if (h.vessel.state() == VesselState.IN_SERVICE) {
        byZone.computeIfAbsent(h.vessel.zone(), z -> new ArrayList<>()).add(h);
        slots.merge(h.vessel.zone(), (double) slots(h), Double::sum);
        total += slots(h);
      }
    }
    nearByZone.clear();
    byZone.forEach((zone, all) -> nearByZone.put(zone, near(all)));
    double ownSlots = slots.getOrDefault(berths.zone(), 0.0);
    // This node's part of its zone's slots, spread over the workers it sends to there.
    int spread = Math.max(1, nearByZone.getOrDefault(berths.zone(), List.of()).size());
    fairPart = Math.max(1, (int) (ownSlots / berths.nodesHere() / spread));
    zoneWeights.clear();
    double here = berths.share(berths.zone());
    if (total == 0 || here <= 0) {
      return;
    }
    // Own zone first, as far as its part of the slots covers its part of the traffic; the rest goes
    // to the zones
    // with more slots than traffic, by how much more.
    double local = Math.min(1, ownSlots / total / here);
    double spare = 0;
    for (Map.Entry<String, Double> e : slots.entrySet()) {
      spare += Math.max(0, e.getValue() / total - berths.share(e.getKey()));
    }
    if (spare <= 0 && local < 1) {
      return;
    }
    for (Map.Entry<String, Double> e : slots.entrySet()) {
      double over = Math.max(0, e.getValue() / total - berths.share(e.getKey()));
      double w = e.getKey().equals(berths.zone()) ? local : (1 - local) * over / spare;
      if (w > 0) {
        zoneWeights.put(e.getKey(), w);
      }
    }
  }

  /**
   * The workers of one zone that this node sends to first. They stand in a ring, and the nodes of a
   * zone begin at even distances, each taking as many: so every worker has about as many nodes, and
   * each node few enough workers that its own count of requests in flight says something about
   * them.
   */
  private List<Hull> near(List<Hull> all) {
    all.sort(Comparator.comparing(Hull::id));
    List<Hull> out = new ArrayList<>();
    int from = (int) ((long) berths.rank() * all.size() / berths.nodesHere());
    for (int i = 0; i < Math.min(NEAR, all.size()); i++) {
      out.add(all.get((from + i) % all.size()));
    }
    return out;
  }

  private static int slots(Hull h) {
    return Math.max(1, h.vessel.slots());
  }

  private String drawZone() {
    double d = random.nextDouble();
    for (Map.Entry<String, Double> e : zoneWeights.entrySet()) {
      d -= e.getValue();
      if (d < 0) {
        return e.getKey();
      }
    }
    return berths.zone();
  }

  /** The ranges of a service that is divided by keys; null where it is not. */
  void divided(RangeTable by) {
    ranges = by;
  }

  boolean divided() {
    return ranges != null;
  }

  /** The range of a key, or null. */
  KeyRange range(int key) {
    return ranges == null ? null : ranges.at(name, key);
  }

  /** The worker for a request with such a key: the owner, and nobody else. */
  Hull pick(long now, Set<String> tried, int key) {
    if (ranges == null) {
      return pick(now, tried);
    }
    KeyRange r = ranges.at(name, key);
    if (r == null || r.state() != RangeState.HELD) {
      return null;
    }
    Hull h = hulls.get(r.owner());
    if (h == null || h.shunUntil > now || h.inFlight >= bound(h)) {
      return null;
    }
    // It keeps its keys until they are taken from it, but nothing may reach it later than its drain
    // time.
    boolean leaving =
        h.vessel.state() != VesselState.IN_SERVICE && now - h.drainingSince > drainMost;
    return leaving ? null : h;
  }

  /**
   * The worker for a request, null if none may take one now: the least loaded of the zone drawn,
   * ties broken at random; of all zones, where that one has none free of this node's requests but
   * another has.
   */
  Hull pick(long now, Set<String> tried) {
    arrange();
    if (!zoneWeights.isEmpty()) {
      Hull near = pickFrom(now, tried, true, nearByZone.getOrDefault(drawZone(), List.of()));
      if (near != null && near.inFlight < fairPart) {
        return near;
      }
      Hull any = pickFrom(now, tried, true, hulls.values());
      if (near != null && (any == null || load(near, now) - load(any, now) < 1)) {
        return near;
      }
      if (any != null) {
        return any;
      }
    }
    Hull best = pickFrom(now, tried, true, hulls.values());
    return best != null ? best : pickFrom(now, tried, false, hulls.values());
  }

  private Hull pickFrom(long now, Set<String> tried, boolean heedShunning, Collection<Hull> from) {
    Hull best = null;
    double bestLoad = Double.MAX_VALUE;
    int ties = 0;
    for (Hull h : from) {
      if (h.vessel.state() != VesselState.IN_SERVICE
          || tried.contains(h.id())
          || (heedShunning && (h.shunUntil > now || h.suspect(now)))
          || h.inFlight >= Math.min(connections, bound(h))) {
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

  /**
   * Requests in flight over the weight, where a worker at rest that is warm and unflagged counts 0.
   */
  private static double load(Hull h, long now) {
    double w = weight(h, now);
    return h.inFlight / w + (1 / w - 1);
  }

  private static double weight(Hull h, long now) {
    return h.weight * (h.vessel.warmUntil() > now ? WARMING_WEIGHT : 1.0);
  }

  private static int bound(Hull h) {
    return slots(h) * 2;
  }

  /**
   * One sample for the detector, and what follows from its verdict. Returns a line for the log, or
   * null.
   */
  String observe(long now) {
    arrange();
    Map<String, Double> loads = new HashMap<>();
    for (Hull h : nearByZone.getOrDefault(berths.zone(), List.of())) {
      if (h.vessel.state() == VesselState.IN_SERVICE && h.vessel.warmUntil() <= now) {
        // Zones are drawn by fixed weights and least outstanding rules only among the near workers
        // of one, so
        // the statistic is taken over those that get most of this node's requests.
        loads.put(h.id(), h.inFlight / h.weight);
      }
    }
    // What was seen within about one answer time of another sample says the same again.
    lookout.sample(loads, Math.max(1, pace.usual() / SAMPLE));
    if (now > ejectedUntil) {
      ejected.forEach(h -> h.weight = 1.0);
      ejected.clear();
    }
    List<String> slow = lookout.verdict().slow();
    String line = null;
    if (!slow.isEmpty() && !slow.equals(flagged)) {
      line =
          "event=slow_worker service="
              + name
              + " instance="
              + String.join(",", slow)
              + " share="
              + Math.round(1000 * lookout.share(slow.get(0))) / 1000.0
              + " workers="
              + loads.size();
    }
    flagged = slow;
    if (eject && ejected.isEmpty()) {
      for (String id : slow) {
        Hull h = hulls.get(id);
        h.weight = EJECTED_WEIGHT;
        ejected.add(h);
        ejectedUntil = now + EJECT_SPAN;
      }
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
