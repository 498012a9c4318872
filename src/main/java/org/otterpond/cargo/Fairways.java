package org.otterpond.cargo;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import org.otterpond.chart.Settings;
import org.otterpond.harbour.Vessel;
import org.otterpond.harbour.VesselState;
import org.otterpond.quay.Links;
import org.otterpond.quay.Quay;
import org.otterpond.quay.TenderPool;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** All services on this node, with their workers as the news tells them. */
final class Fairways {
  private static final Logger LOG = LoggerFactory.getLogger(Fairways.class);
  private static final long ANSWER_BOUND = 64L << 20;
  private static final long SWEEP = 1_000_000;

  private final Quay quay;
  private final Settings settings;
  private final Random random;
  private final Consumer<Fairway> room;
  private final Map<String, Fairway> all = new HashMap<>();
  private final Map<String, String> serviceOf = new HashMap<>();
  private Berths berths = Berths.alone("-");

  /**
   * @param room told of a service that may have room for more requests
   */
  Fairways(Quay quay, Settings settings, Random random, Consumer<Fairway> room) {
    this.quay = quay;
    this.settings = settings;
    this.random = random;
    this.room = room;
    quay.after(SWEEP, this::sweep);
    quay.after(Fairway.SAMPLE, this::sample);
  }

  Iterable<Fairway> each() {
    return all.values();
  }

  Fairway of(String service) {
    return all.computeIfAbsent(
        service,
        s -> {
          Fairway f = new Fairway(s, random, settings);
          f.berths(berths);
          return f;
        });
  }

  void fleet(Map<String, Integer> nodesInZone, int rank) {
    berths = new Berths(settings.zone(), Map.copyOf(nodesInZone), rank);
    all.values().forEach(f -> f.berths(berths));
  }

  void worker(Vessel v) {
    String service =
        v.service() == null || v.service().isEmpty() ? serviceOf.get(v.id()) : v.service();
    if (service == null) {
      return;
    }
    Fairway f = of(service);
    Hull h = f.hulls.get(v.id());
    if (v.state().compareTo(VesselState.LOST) >= 0) {
      if (h != null) {
        h.vessel = v;
        h.pool.close();
        f.hulls.remove(v.id());
        serviceOf.remove(v.id());
        f.changed();
      }
      return;
    }
    if (h == null) {
      try {
        h =
            new Hull(
                v,
                new TenderPool(quay, Links.address(v.address()), ANSWER_BOUND, Pilotage.ATTEMPT_ID),
                f.pace);
      } catch (RuntimeException e) {
        LOG.warn("event=bad_worker_address instance={} address={}", v.id(), v.address());
        return;
      }
      f.hulls.put(v.id(), h);
      serviceOf.put(v.id(), service);
    } else {
      h.vessel = v;
    }
    if (v.state() == VesselState.DRAINING && h.drainingSince == 0) {
      h.drainingSince = Quay.now();
    }
    f.changed();
    if (v.state() == VesselState.IN_SERVICE) {
      room.accept(f);
    }
  }

  private void sweep() {
    all.values().forEach(f -> f.hulls.values().forEach(h -> h.pool.sweep()));
    quay.after(SWEEP, this::sweep);
  }

  private void sample() {
    long now = Quay.now();
    for (Fairway f : all.values()) {
      String line = f.observe(now);
      if (line != null) {
        LOG.info(line);
      }
    }
    quay.after(Fairway.SAMPLE, this::sample);
  }
}
