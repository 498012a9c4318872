package org.otterpond.proxy;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import org.otterpond.config.NodeSettings;
import org.otterpond.control.state.WorkerInstance;
import org.otterpond.control.state.WorkerState;
import org.otterpond.net.EventLoop;
import org.otterpond.net.PeerTransport;
import org.otterpond.net.WorkerConnectionPool;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** All services on this node, with their workers as the news tells them. */
public final class ServiceDirectory {
  private static final Logger LOG = LoggerFactory.getLogger(ServiceDirectory.class);
  private static final long ANSWER_BOUND = 64L << 20;
  private static final long SWEEP = 1_000_000;

  private final EventLoop eventLoop;
  private final NodeSettings settings;
  private final Random random;
  private final Consumer<ServiceEndpoints> room;
  private final Map<String, ServiceEndpoints> all = new HashMap<>();
  private final Map<String, String> serviceOf = new HashMap<>();
  private ZoneShares zoneShares = ZoneShares.alone("-");

  /**
   * @param room told of a service that may have room for more requests
   */
  public ServiceDirectory(
      EventLoop eventLoop, NodeSettings settings, Random random, Consumer<ServiceEndpoints> room) {
    this.eventLoop = eventLoop;
    this.settings = settings;
    this.random = random;
    this.room = room;
    eventLoop.after(SWEEP, this::sweep);
    eventLoop.after(ServiceEndpoints.SAMPLE, this::sample);
  }

  Iterable<ServiceEndpoints> each() {
    return all.values();
  }

  public ServiceEndpoints of(String service) {
    return all.computeIfAbsent(
        service,
        s -> {
          ServiceEndpoints f = new ServiceEndpoints(s, random, settings);
          f.zoneShares(zoneShares);
          return f;
        });
  }

  public void fleet(Map<String, Integer> nodesInZone, int rank) {
    zoneShares = new ZoneShares(settings.zone(), Map.copyOf(nodesInZone), rank);
    all.values().forEach(f -> f.zoneShares(zoneShares));
  }

  public void worker(WorkerInstance v) {
    String service =
        v.service() == null || v.service().isEmpty() ? serviceOf.get(v.id()) : v.service();
    if (service == null) {
      return;
    }
    ServiceEndpoints f = of(service);
    WorkerEndpoint h = f.endpoints.get(v.id());
    if (v.state().compareTo(WorkerState.LOST) >= 0) {
      if (h != null) {
        h.worker = v;
        h.pool.close();
        f.endpoints.remove(v.id());
        serviceOf.remove(v.id());
        f.changed();
      }
      return;
    }
    if (h == null) {
      try {
        h =
            new WorkerEndpoint(
                v,
                new WorkerConnectionPool(
                    eventLoop,
                    PeerTransport.address(v.address()),
                    ANSWER_BOUND,
                    ProxyHandler.ATTEMPT_ID),
                f.pace);
      } catch (RuntimeException e) {
        LOG.warn("event=bad_worker_address instance={} address={}", v.id(), v.address());
        return;
      }
      f.endpoints.put(v.id(), h);
      serviceOf.put(v.id(), service);
    } else {
      h.worker = v;
    }
    if (v.state() == WorkerState.DRAINING && h.drainingSince == 0) {
      h.drainingSince = EventLoop.now();
    }
    f.changed();
    if (v.state() == WorkerState.IN_SERVICE) {
      room.accept(f);
    }
  }

  private void sweep() {
    all.values().forEach(f -> f.endpoints.values().forEach(h -> h.pool.sweep()));
    eventLoop.after(SWEEP, this::sweep);
  }

  private void sample() {
    long now = EventLoop.now();
    for (ServiceEndpoints f : all.values()) {
      String line = f.observe(now);
      if (line != null) {
        LOG.info(line);
      }
    }
    eventLoop.after(ServiceEndpoints.SAMPLE, this::sample);
  }
}
