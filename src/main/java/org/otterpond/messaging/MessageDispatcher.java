package org.otterpond.messaging;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import org.otterpond.config.GatewayConfiguration;
import org.otterpond.config.NodeSettings;
import org.otterpond.config.Route;
import org.otterpond.config.Service;
import org.otterpond.control.agent.ControlPlaneAgent;
import org.otterpond.control.agent.QuotaCache;
import org.otterpond.control.primary.DataPlane;
import org.otterpond.control.primary.QuotaOwner;
import org.otterpond.control.state.WorkerInstance;
import org.otterpond.control.state.WorkerState;
import org.otterpond.net.EventLoop;
import org.otterpond.net.HttpMessage;
import org.otterpond.net.ResponseListener;
import org.otterpond.net.WorkerConnection;
import org.otterpond.protocol.WireRecord;
import org.otterpond.proxy.GatewayHeaders;
import org.otterpond.proxy.ProxyMetrics;
import org.otterpond.proxy.ServiceDirectory;
import org.otterpond.proxy.ServiceEndpoints;
import org.otterpond.proxy.WorkerEndpoint;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Delivers messages: a lane for each service, so that none holds up another; workers picked as for
 * requests.
 */
public final class MessageDispatcher implements DeliveryListener, DataPlane {
  private static final Logger LOG = LoggerFactory.getLogger(MessageDispatcher.class);
  private static final String FIXED = "fixed:";
  private static final int FIXED_SLOTS = 32;
  private static final long CONNECT = 300_000;
  private static final long GUARD = 5_000_000;
  private static final long TURNED_AWAY = 25_000;
  private static final long FAILED = 60_000;
  private static final long UNKNOWN = 150_000;
  private static final long MOST_PAUSE = 3_000_000;
  private static final long NO_ROOM = 20_000;
  private static final long UNREADABLE = 500_000;
  private static final int WANTS = 6;

  private final EventLoop eventLoop;
  private final Random random = new Random(ThreadLocalRandom.current().nextLong());
  private final ServiceDirectory services;
  private final ProxyMetrics tally;
  private MessageStore store;
  private ControlPlaneAgent node;
  private QuotaCache stores;
  private GatewayConfiguration configuration;
  private int callers = 1;
  private final Map<String, Lane> lanes = new HashMap<>();
  private final List<Delivery> unplaced = new ArrayList<>();
  private final Map<MessagePartition, Integer> underWay = new HashMap<>();
  private final Map<MessagePartition, Runnable> quieting = new HashMap<>();
  private final Map<String, Integer> pauses = new HashMap<>();
  private final Set<String> fixed = new HashSet<>();

  private record Delivery(MessagePartition queue, Message message, int priority, long at) {}

  private static final class Lane {
    final ServiceEndpoints endpoints;
    final PriorityQueue<Delivery> waiting =
        new PriorityQueue<>(
            (a, b) ->
                a.priority() != b.priority()
                    ? Integer.compare(a.priority(), b.priority())
                    : Long.compare(a.at(), b.at()));

    /** The name of its ceiling's tokens, or null. */
    String ceiling;

    int tokens;
    int wants;
    boolean pumpDue;

    Lane(ServiceEndpoints endpoints) {
      this.endpoints = endpoints;
    }
  }

  public MessageDispatcher(EventLoop eventLoop, NodeSettings settings, ProxyMetrics tally) {
    this.eventLoop = eventLoop;
    this.tally = tally;
    this.services =
        new ServiceDirectory(eventLoop, settings, random, f -> pumpSoon(lane(f.name()), 0));
  }

  public void fit(ControlPlaneAgent control, MessageStore messageStore) {
    node = control;
    stores = control.stores();
    store = messageStore;
    store.fit(control);
  }

  private Lane lane(String service) {
    return lanes.computeIfAbsent(
        service,
        s -> {
          Lane l = new Lane(services.service(s));
          settle(l, s);
          return l;
        });
  }

  // ------------------------------------------------------------------ news

  @Override
  public void configured(GatewayConfiguration c) {
    configuration = c;
    Set<String> now = new HashSet<>();
    for (Service s : c.services().values()) {
      if (s.fixedEndpoint() != null) {
        String id = FIXED + s.name() + "@" + s.fixedEndpoint();
        now.add(id);
        if (fixed.add(id)) {
          services.updateWorker(endpoint(id, s, WorkerState.IN_SERVICE));
        }
      }
    }
    fixed.removeIf(
        id -> {
          if (now.contains(id)) {
            return false;
          }
          String service = id.substring(FIXED.length(), id.lastIndexOf('@'));
          services.updateWorker(
              new WorkerInstance(
                  id,
                  service,
                  id.substring(id.lastIndexOf('@') + 1),
                  "-",
                  "-",
                  1,
                  WorkerState.GONE,
                  0,
                  0));
          return true;
        });
    lanes.forEach((name, l) -> settle(l, name));
    List<Delivery> again = new ArrayList<>(unplaced);
    unplaced.clear();
    // Routes may have moved: what waits is placed anew.
    lanes
        .values()
        .forEach(
            l -> {
              again.addAll(l.waiting);
              l.waiting.clear();
            });
    eventLoop.after(0, () -> again.forEach(this::place));
  }

  private WorkerInstance endpoint(String id, Service s, WorkerState state) {
    return new WorkerInstance(id, s.name(), s.fixedEndpoint(), "-", "-", FIXED_SLOTS, state, 0, 0);
  }

  private void settle(Lane l, String service) {
    Service s = configuration == null ? null : configuration.services().get(service);
    l.ceiling = s == null || s.ratePerSecond() <= 0 ? null : QuotaOwner.ceilingOf(service);
    l.endpoints.setConnectionLimit(s == null ? Integer.MAX_VALUE : s.maxConnections() / callers);
  }

  @Override
  public void worker(WorkerInstance v) {
    services.updateWorker(v);
  }

  @Override
  public void fleet(Map<String, Integer> nodesInZone, int rank) {
    callers = Math.max(1, nodesInZone.values().stream().mapToInt(Integer::intValue).sum());
    services.updateNodes(nodesInZone, rank);
    lanes.forEach((name, l) -> settle(l, name));
  }

  @Override
  public void assigned(WireRecord entry) {
    store.assigned(entry);
  }

  @Override
  public void message(String from, WireRecord f, Consumer<WireRecord> reply) {
    store.message(from, f, reply);
  }

  @Override
  public WireRecord figures() {
    WireRecord f = new WireRecord("figures").with("in_flight", open());
    store.figures().forEach(f::with);
    return f;
  }

  @Override
  public void peerLost(String address) {
    store.peerLost(address);
  }

  @Override
  public WireRecord outcome(String key, String token) {
    return null;
  }

  // ---------------------------------------------------------------- placing

  @Override
  public void ready(MessagePartition queue, Message m) {
    place(new Delivery(queue, m, 0, EventLoop.now()));
  }

  private Route route(Message m) {
    return configuration.route(m.host(), m.path());
  }

  private void place(Delivery d) {
    Message m = d.message();
    if (!d.queue().serving() || m.state() != Message.State.QUEUED) {
      return;
    }
    if (configuration == null || configuration.revision() < m.revision()) {
      unplaced.add(d);
      return;
    }
    Route r = route(m);
    if (r == null) {
      // A version newer than the one that it was accepted under has dropped its route.
      LOG.info("event=message_dropped id={} cause=no_route", m.id());
      store.ended(d.queue(), m, Message.State.DEAD_LETTER, null);
      return;
    }
    Lane l = lane(r.serviceFor((long) (random.nextDouble() * r.totalWeight())));
    l.waiting.add(new Delivery(d.queue(), m, r.priority(), d.at()));
    pumpSoon(l, 0);
  }

  private void pumpSoon(Lane l, long delay) {
    if (!l.pumpDue) {
      l.pumpDue = true;
      eventLoop.after(
          delay,
          () -> {
            l.pumpDue = false;
            pump(l);
          });
    }
  }

  private void pump(Lane l) {
    while (!l.waiting.isEmpty()) {
      Delivery d = l.waiting.peek();
      if (!d.queue().serving() || d.message().state() != Message.State.QUEUED) {
        l.waiting.poll();
        continue;
      }
      long now = EventLoop.now();
      WorkerEndpoint h = l.endpoints.select(now, Set.of());
      if (h == null) {
        pumpSoon(l, NO_ROOM);
        return;
      }
      if (l.ceiling != null && !stores.take(l.ceiling)) {
        want(l);
        return;
      }
      l.waiting.poll();
      Route r = route(d.message());
      deliver(l, d, h, r);
    }
  }

  /** Asks for a token of the service's ceiling; with one the lane goes on. */
  private void want(Lane l) {
    if (l.wants >= Math.min(WANTS, l.waiting.size())) {
      return;
    }
    l.wants++;
    stores.want(
        l.ceiling,
        new QuotaCache.Taker() {
          private boolean done;

          @Override
          public boolean waits() {
            return !done;
          }

          @Override
          public void taken() {
            done = true;
            l.wants--;
            withToken(l);
          }

          @Override
          public void over(double retryAfter) {
            done = true;
            l.wants--;
            eventLoop.after(
                (long) (1e6 * Math.max(0.01, Math.min(0.3, retryAfter))), () -> pump(l));
          }
        });
  }

  private void withToken(Lane l) {
    while (!l.waiting.isEmpty()) {
      Delivery d = l.waiting.poll();
      if (!d.queue().serving() || d.message().state() != Message.State.QUEUED) {
        continue;
      }
      WorkerEndpoint h = l.endpoints.select(EventLoop.now(), Set.of());
      if (h == null) {
        l.waiting.add(d);
        break;
      }
      deliver(l, d, h, route(d.message()));
      pumpSoon(l, 0);
      return;
    }
    if (l.ceiling != null) {
      stores.giveBack(l.ceiling);
    }
    pumpSoon(l, NO_ROOM);
  }

  // --------------------------------------------------------------- delivery

  private void deliver(Lane l, Delivery d, WorkerEndpoint h, Route r) {
    Message m = d.message();
    long guard = r == null ? GUARD : r.guardMicros();
    int attempts = r == null ? 1 : r.maxAttempts();
    h.attemptStarted(EventLoop.now());
    underWay.merge(d.queue(), 1, Integer::sum);
    d.queue()
        .whole(
            m,
            whole -> {
              if (whole == null || !d.queue().serving() || !h.inService()) {
                over(l, d, h);
                d.queue().later(m, whole == null ? UNREADABLE : 0);
                return;
              }
              send(l, d, h, whole, guard, attempts);
            });
  }

  private void over(Lane l, Delivery d, WorkerEndpoint h) {
    h.attemptEnded(EventLoop.now());
    MessagePartition q = d.queue();
    if (underWay.merge(q, -1, Integer::sum) <= 0) {
      underWay.remove(q);
      Runnable quiet = quieting.remove(q);
      if (quiet != null) {
        // After what this delivery has to tell.
        eventLoop.after(0, quiet);
      }
    }
    pumpSoon(l, 0);
  }

  private void send(
      Lane l, Delivery d, WorkerEndpoint h, WireRecord whole, long guard, int attempts) {
    Message m = d.message();
    HttpMessage request = HttpMessage.request(whole.text("method"), m.target());
    List<String> headers = Message.headers(whole);
    for (int i = 0; i + 1 < headers.size(); i += 2) {
      request.header(headers.get(i), headers.get(i + 1));
    }
    request.header(GatewayHeaders.TIME_REMAINING, Long.toString(Math.max(1, guard / 1000)));
    if (!h.id().startsWith(FIXED)) {
      request.header(GatewayHeaders.EXPECTED_INSTANCE, h.id());
    }
    request.header(GatewayHeaders.TENANT_ID, m.tenant());
    byte[] body = whole.bytes("body");
    request.body(body == null ? HttpMessage.EMPTY : body);
    long sent = EventLoop.now();
    tally.attempts.increment();
    boolean[] done = {false};
    WorkerConnection[] connection = {null};
    EventLoop.Timer timer =
        eventLoop.after(
            guard,
            () -> {
              if (!done[0]) {
                done[0] = true;
                if (connection[0] != null) {
                  connection[0].abandon();
                }
                over(l, d, h);
                tally.timeouts.increment();
                again(d, UNKNOWN);
              }
            });
    connection[0] =
        h.connectionPool()
            .send(
                request,
                Math.min(CONNECT, guard),
                Long.MAX_VALUE,
                new ResponseListener() {
                  @Override
                  public void answered(HttpMessage answer) {
                    if (!done[0]) {
                      done[0] = true;
                      timer.cancel();
                      onAnswer(l, d, h, answer, sent, attempts);
                      over(l, d, h);
                    }
                  }

                  @Override
                  public void failed(boolean written, String why) {
                    if (!done[0]) {
                      done[0] = true;
                      timer.cancel();
                      h.attemptFailed(EventLoop.now());
                      tally.failedAttempts.increment();
                      again(d, written ? UNKNOWN : TURNED_AWAY);
                      over(l, d, h);
                    }
                  }
                });
  }

  private void onAnswer(
      Lane l, Delivery d, WorkerEndpoint h, HttpMessage answer, long sent, int attempts) {
    Message m = d.message();
    long now = EventLoop.now();
    int status = answer.status();
    if (answer.first(GatewayHeaders.NOT_EXECUTED) != null || status == 421) {
      tally.rejectedByWorker.increment();
      if (status == 421) {
        h.attemptFailed(now);
      } else if (status == 503) {
        h.requestRejected(now);
      }
      again(d, TURNED_AWAY);
      return;
    }
    h.requestExecuted(now);
    l.endpoints.latency().add(now - sent);
    if (status / 100 == 2 && answer.first(GatewayHeaders.SERVER_SEAL) != null) {
      tally.responses.increment();
      pauses.remove(m.id());
      store.ended(d.queue(), m, Message.State.COMPLETED, answer.first(GatewayHeaders.SERVER_SEAL));
    } else if (status == 422) {
      pauses.remove(m.id());
      store.ended(d.queue(), m, Message.State.DEAD_LETTER, null);
    } else if (status == 500) {
      store.tried(d.queue(), m);
      if (m.attempts() >= attempts) {
        pauses.remove(m.id());
        LOG.info("event=message_dead id={} attempts={}", m.id(), m.attempts());
        store.ended(d.queue(), m, Message.State.DEAD_LETTER, null);
      } else {
        again(d, FAILED);
      }
    } else {
      again(d, UNKNOWN);
    }
  }

  /** After a pause that grows with each time and is spread. */
  private void again(Delivery d, long pause) {
    Message m = d.message();
    if (!d.queue().serving() || m.state() != Message.State.QUEUED) {
      pauses.remove(m.id());
      d.queue().later(m, pause);
      return;
    }
    tally.retries.increment();
    int n = Math.min(6, pauses.merge(m.id(), 1, Integer::sum) - 1);
    long most = Math.min(MOST_PAUSE, pause << n);
    d.queue().later(m, most / 2 + (long) (most * random.nextDouble() / 2));
  }

  @Override
  public void stop(MessagePartition queue, Runnable quiet) {
    for (Lane l : lanes.values()) {
      drop(l.waiting.iterator(), queue);
    }
    drop(unplaced.iterator(), queue);
    if (underWay.containsKey(queue)) {
      quieting.put(queue, quiet);
    } else {
      quiet.run();
    }
  }

  private static void drop(Iterator<Delivery> it, MessagePartition queue) {
    while (it.hasNext()) {
      Delivery d = it.next();
      if (d.queue() == queue) {
        it.remove();
        queue.later(d.message(), 0);
      }
    }
  }

  /** Deliveries under way. */
  public int open() {
    int n = 0;
    for (int i : underWay.values()) {
      n += i;
    }
    return n;
  }
}
