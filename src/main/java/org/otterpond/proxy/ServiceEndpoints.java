package org.otterpond.proxy;

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
import org.otterpond.config.NodeSettings;
import org.otterpond.control.state.WorkerState;
import org.otterpond.keyrange.KeyRange;
import org.otterpond.keyrange.KeyRangeState;
import org.otterpond.keyrange.KeyRangeTable;
import org.otterpond.outlier.SlowWorkerDetector;

/**
 * One service on this node: its workers, the pick among them, those waiting, the purse and the
 * detector.
 */
public final class ServiceEndpoints {
  static final long SAMPLE = 20_000;
  private static final int WINDOW = 400;
  private static final double ALPHA_MAX = 0.7;
  private static final int CONFIRM = 40;
  private static final double EJECTED_WEIGHT = 0.25;
  private static final long EJECT_SPAN = 5_000_000;
  private static final double WARMING_WEIGHT = 0.5;
  private static final int NEAR = 10;

  public final String name;
  final Map<String, WorkerEndpoint> endpoints = new LinkedHashMap<>();
  final RetryBudget retryBudget;
  public final LatencyAverage pace = new LatencyAverage();
  final PriorityQueue<RequestContext> waiting =
      new PriorityQueue<>(
          (a, b) ->
              a.priority() != b.priority()
                  ? Integer.compare(a.priority(), b.priority())
                  : Long.compare(a.deadline(), b.deadline()));

  private final Random random;
  private final SlowWorkerDetector detector = new SlowWorkerDetector(WINDOW, ALPHA_MAX, CONFIRM);
  private final boolean eject;
  private final List<WorkerEndpoint> ejected = new ArrayList<>();
  private long ejectedUntil;
  private List<String> flagged = List.of();
  private ZoneShares zoneShares = ZoneShares.alone("");
  private boolean stale = true;
  private final Map<String, Double> zoneWeights = new TreeMap<>();
  private final Map<String, List<WorkerEndpoint>> nearByZone = new HashMap<>();
  private int fairPart = 1;
  private KeyRangeTable ranges;
  boolean wakeDue;
  private final long drainMost;

  /** How many requests of this node one worker may have at once, as each takes a connection. */
  private int connections = Integer.MAX_VALUE;

  ServiceEndpoints(String name, Random random, NodeSettings settings) {
    this.name = name;
    this.random = random;
    this.eject = settings.ejectSlow();
    this.drainMost = settings.drainMicros() / 2;
    this.retryBudget = new RetryBudget(settings.retryWindowMicros());
  }

  /** The nodes have come, gone or moved up. */
  void zoneShares(ZoneShares now) {
    zoneShares = now;
    stale = true;
  }

  /** The callers of a service share what connections its workers take. */
  public void connections(int each) {
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
    Map<String, List<WorkerEndpoint>> byZone = new TreeMap<>();
    Map<String, Double> slots = new TreeMap<>();
    double total = 0;
    for (WorkerEndpoint h : endpoints.values()) {
      if (h.worker.state() == WorkerState.IN_SERVICE) {
        byZone.computeIfAbsent(h.worker.zone(), z -> new ArrayList<>()).add(h);
        slots.merge(h.worker.zone(), (double) slots(h), Double::sum);
        total += slots(h);
      }
    }
    nearByZone.clear();
    byZone.forEach((zone, all) -> nearByZone.put(zone, near(all)));
    double ownSlots = slots.getOrDefault(zoneShares.zone(), 0.0);
    // This node's part of its zone's slots, spread over the workers it sends to there.
    int spread = Math.max(1, nearByZone.getOrDefault(zoneShares.zone(), List.of()).size());
    fairPart = Math.max(1, (int) (ownSlots / zoneShares.nodesHere() / spread));
    zoneWeights.clear();
    double here = zoneShares.share(zoneShares.zone());
    if (total == 0 || here <= 0) {
      return;
    }
    // Own zone first, as far as its part of the slots covers its part of the traffic; the rest goes
    // to the zones
    // with more slots than traffic, by how much more.
    double local = Math.min(1, ownSlots / total / here);
    double spare = 0;
    for (Map.Entry<String, Double> e : slots.entrySet()) {
      spare += Math.max(0, e.getValue() / total - zoneShares.share(e.getKey()));
    }
    if (spare <= 0 && local < 1) {
      return;
    }
    for (Map.Entry<String, Double> e : slots.entrySet()) {
      double over = Math.max(0, e.getValue() / total - zoneShares.share(e.getKey()));
      double w = e.getKey().equals(zoneShares.zone()) ? local : (1 - local) * over / spare;
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
  private List<WorkerEndpoint> near(List<WorkerEndpoint> all) {
    all.sort(Comparator.comparing(WorkerEndpoint::id));
    List<WorkerEndpoint> out = new ArrayList<>();
    int from = (int) ((long) zoneShares.rank() * all.size() / zoneShares.nodesHere());
    for (int i = 0; i < Math.min(NEAR, all.size()); i++) {
      out.add(all.get((from + i) % all.size()));
    }
    return out;
  }

  private static int slots(WorkerEndpoint h) {
    return Math.max(1, h.worker.slots());
  }

  private String drawZone() {
    double d = random.nextDouble();
    for (Map.Entry<String, Double> e : zoneWeights.entrySet()) {
      d -= e.getValue();
      if (d < 0) {
        return e.getKey();
      }
    }
    return zoneShares.zone();
  }

  /** The ranges of a service that is divided by keys; null where it is not. */
  void divided(KeyRangeTable by) {
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
  public WorkerEndpoint pick(long now, Set<String> tried, int key) {
    if (ranges == null) {
      return pick(now, tried);
    }
    KeyRange r = ranges.at(name, key);
    if (r == null || r.state() != KeyRangeState.HELD) {
      return null;
    }
    WorkerEndpoint h = endpoints.get(r.owner());
    if (h == null || h.shunUntil > now || h.inFlight >= bound(h)) {
      return null;
    }
    // It keeps its keys until they are taken from it, but nothing may reach it later than its drain
    // time.
    boolean leaving =
        h.worker.state() != WorkerState.IN_SERVICE && now - h.drainingSince > drainMost;
    return leaving ? null : h;
  }

  /**
   * The worker for a request, null if none may take one now: the least loaded of the zone drawn,
   * ties broken at random; of all zones, where that one has none free of this node's requests but
   * another has.
   */
  public WorkerEndpoint pick(long now, Set<String> tried) {
    arrange();
    if (!zoneWeights.isEmpty()) {
      WorkerEndpoint near =
          pickFrom(now, tried, true, nearByZone.getOrDefault(drawZone(), List.of()));
      if (near != null && near.inFlight < fairPart) {
        return near;
      }
      WorkerEndpoint any = pickFrom(now, tried, true, endpoints.values());
      if (near != null && (any == null || load(near, now) - load(any, now) < 1)) {
        return near;
      }
      if (any != null) {
        return any;
      }
    }
    WorkerEndpoint best = pickFrom(now, tried, true, endpoints.values());
    return best != null ? best : pickFrom(now, tried, false, endpoints.values());
  }

  private WorkerEndpoint pickFrom(
      long now, Set<String> tried, boolean heedShunning, Collection<WorkerEndpoint> from) {
    WorkerEndpoint best = null;
    double bestLoad = Double.MAX_VALUE;
    int ties = 0;
    for (WorkerEndpoint h : from) {
      if (h.worker.state() != WorkerState.IN_SERVICE
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
  private static double load(WorkerEndpoint h, long now) {
    double w = weight(h, now);
    return h.inFlight / w + (1 / w - 1);
  }

  private static double weight(WorkerEndpoint h, long now) {
    return h.weight * (h.worker.warmUntil() > now ? WARMING_WEIGHT : 1.0);
  }

  private static int bound(WorkerEndpoint h) {
    return slots(h) * 2;
  }

  /**
   * One sample for the detector, and what follows from its verdict. Returns a line for the log, or
   * null.
   */
  String observe(long now) {
    arrange();
    Map<String, Double> loads = new HashMap<>();
    for (WorkerEndpoint h : nearByZone.getOrDefault(zoneShares.zone(), List.of())) {
      if (h.worker.state() == WorkerState.IN_SERVICE && h.worker.warmUntil() <= now) {
        // Zones are drawn by fixed weights and least outstanding rules only among the near workers
        // of one, so
        // the statistic is taken over those that get most of this node's requests.
        loads.put(h.id(), h.inFlight / h.weight);
      }
    }
    // What was seen within about one answer time of another sample says the same again.
    detector.sample(loads, Math.max(1, pace.usual() / SAMPLE));
    if (now > ejectedUntil) {
      ejected.forEach(h -> h.weight = 1.0);
      ejected.clear();
    }
    List<String> slow = detector.verdict().slow();
    String line = null;
    if (!slow.isEmpty() && !slow.equals(flagged)) {
      line =
          "event=slow_worker service="
              + name
              + " instance="
              + String.join(",", slow)
              + " share="
              + Math.round(1000 * detector.share(slow.get(0))) / 1000.0
              + " workers="
              + loads.size();
    }
    flagged = slow;
    if (eject && ejected.isEmpty()) {
      for (String id : slow) {
        WorkerEndpoint h = endpoints.get(id);
        h.weight = EJECTED_WEIGHT;
        ejected.add(h);
        ejectedUntil = now + EJECT_SPAN;
      }
    }
    return line;
  }

  List<RequestContext> takeExpired(long now) {
    List<RequestContext> out = new ArrayList<>();
    for (RequestContext p : new ArrayList<>(waiting)) {
      if (now >= p.refuseAt()) {
        waiting.remove(p);
        out.add(p);
      }
    }
    return out;
  }
}
