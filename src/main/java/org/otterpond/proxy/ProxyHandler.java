package org.otterpond.proxy;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import org.apache.hc.core5.http.Header;
import org.otterpond.config.ClientLimits;
import org.otterpond.config.GatewayConfiguration;
import org.otterpond.config.NodeSettings;
import org.otterpond.config.Route;
import org.otterpond.config.RouteType;
import org.otterpond.config.Tenant;
import org.otterpond.control.agent.ControlPlaneAgent;
import org.otterpond.control.agent.QuotaCache;
import org.otterpond.control.primary.DataPlane;
import org.otterpond.control.state.WorkerInstance;
import org.otterpond.keyrange.KeyLoad;
import org.otterpond.keyrange.KeyRange;
import org.otterpond.keyrange.KeyRangeRuntime;
import org.otterpond.keyrange.KeyRangeState;
import org.otterpond.keyrange.KeyRangeTable;
import org.otterpond.messaging.MessageIngestHandler;
import org.otterpond.net.EventLoop;
import org.otterpond.net.GatewayResponses;
import org.otterpond.net.HttpMessage;
import org.otterpond.net.RequestHandler;
import org.otterpond.net.ResponseListener;
import org.otterpond.net.ServerExchange;
import org.otterpond.protocol.WireRecord;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The data path of one node: routes a request, picks a worker, forwards, answers. */
public final class ProxyHandler implements RequestHandler, DataPlane {
  private static final Logger LOG = LoggerFactory.getLogger(ProxyHandler.class);

  static final String ATTEMPT_ID = "X-Otterpond-Attempt-Id";
  public static final String TIME_LEFT = "X-Otterpond-Time-Remaining";
  public static final String KEY = "X-Otterpond-Operation-Key";
  public static final String SEAL = "X-Otterpond-Server-Seal";
  public static final String EXPECTED = "X-Otterpond-Expected-Instance";
  public static final String TENANT = "X-Otterpond-Tenant-Id";
  static final String PARTITION_KEY = "X-Otterpond-Partition-Key";
  public static final String AUTHORIZATION = "Authorization";
  public static final String NOT_EXECUTED = "X-Otterpond-Not-Executed";

  private static final Set<String> HOP =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-connection",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "content-length",
          "expect",
          "proxy-authenticate",
          "proxy-authorization");

  /** Headers of a request that this system speaks for, whatever the client sent. */
  private static final Set<String> OWN =
      Set.of(
          TIME_LEFT.toLowerCase(Locale.ROOT),
          EXPECTED.toLowerCase(Locale.ROOT),
          TENANT.toLowerCase(Locale.ROOT));

  /**
   * Headers that neither side may declare to be of one connection only: whose answer it is follows
   * from them.
   */
  private static final String ANSWERS_ARE_KNOWN_BY = "x-otterpond-";

  private static final long DEFAULT_AIM = 400_000;
  private static final long CONNECT = 250_000;
  private static final long FULL_SHUN = 60_000;
  private static final long WAIT_CHECK = 10_000;
  private static final long CLAIM_LEAST = 50_000;
  private static final long PARK_MOST = 600_000;
  private static final long FETCH = 400_000;
  private static final long LEAST_LEFT = 5_000;
  private static final long REVOKE_MARGIN = 250_000;

  /** In seconds: another node can take it at once. */
  private static final double LEFT_RETRY = 0.01;

  /** A request that may run once goes on a connection that has just been used, or on a new one. */
  private static final long IDLE_ONCE = 150_000;

  /**
   * A request earns this much of the ratio, as it can be spent in its own window or in the next.
   */
  private static final double EARNED = 0.45;

  private static final String BEARER = "Bearer ";
  private static final long OWNER_AGAIN = 25_000;
  private static final long WORK_ASKED_AGAIN = 100_000;
  private static final long UNRUN_ASKED_AGAIN = 10_000;

  private final EventLoop eventLoop;
  private final NodeSettings settings;
  private final ControlPlaneAgent node;
  private final Random random;
  private final ServiceDirectory services;
  private final long life;
  private final ProxyMetrics tally;
  private final IdempotentResponseCache responseCache;
  private final UnexecutedKeys unrun;
  private final QuotaCache stores;
  private final MessageIngestHandler intake;
  private final KeyRangeTable ranges = new KeyRangeTable();
  private final KeyLoad.Meter meter = new KeyLoad.Meter();
  private final WorkerClient workerCalls;

  /** The claims whose runs are not settled yet. */
  private final Set<String> atWork = new HashSet<>();

  private final Set<ServerExchange> parked = new LinkedHashSet<>();
  private final long keysTrusted;

  private GatewayConfiguration configuration;
  private boolean leaving;
  private long tokenNumber;
  private boolean waitCheckDue;
  private final Set<RequestContext> inHand = new LinkedHashSet<>();
  private boolean closing;

  public ProxyHandler(
      EventLoop eventLoop,
      NodeSettings settings,
      java.util.function.Function<DataPlane, ControlPlaneAgent> nodeFor,
      long life,
      ProxyMetrics tally) {
    this.eventLoop = eventLoop;
    this.settings = settings;
    this.life = life;
    this.tally = tally;
    long remembered = settings.keyWindowMicros() + 10_000_000;
    this.responseCache =
        new IdempotentResponseCache(remembered, Runtime.getRuntime().maxMemory() / 4);
    this.unrun = new UnexecutedKeys(remembered);
    this.random = new Random(ThreadLocalRandom.current().nextLong());
    this.services = new ServiceDirectory(eventLoop, settings, random, this::wake);
    this.node = nodeFor.apply(this);
    this.stores = node.stores();
    this.workerCalls = new WorkerClient(eventLoop);
    this.intake = new MessageIngestHandler(eventLoop, node, random, life, tally);
    this.keysTrusted =
        settings.revokeMicros() - Math.max(REVOKE_MARGIN, settings.revokeMicros() / 20);
  }

  public ControlPlaneAgent node() {
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
    return inHand.size() + intake.open();
  }

  /**
   * Near the end of a leaving node: what comes now could not be finished and is sent elsewhere at
   * once.
   */
  public void close() {
    closing = true;
  }

  /** The end: whoever still waits gets an answer in place of a connection that just ends. */
  public void endAll() {
    closing = true;
    List<ServerExchange> calls = new ArrayList<>(parked);
    parked.clear();
    calls.forEach(this::sendElsewhere);
    intake.endAll();
    for (RequestContext p : new ArrayList<>(inHand)) {
      if (p.open.isEmpty()) {
        refuse(p, "the node is leaving");
      } else {
        giveUp(p, GatewayResponses.problem(502, "the node ended before the worker answered"));
      }
    }
  }

  private void sendElsewhere(ServerExchange call) {
    tally.refused.increment();
    call.answer(GatewayResponses.unavailable("the node is leaving", LEFT_RETRY));
  }

  @Override
  public ClientLimits limits() {
    return configuration == null ? ClientLimits.standard() : configuration.limits();
  }

  // ------------------------------------------------------------------ news

  @Override
  public void configured(GatewayConfiguration c) {
    configuration = c;
    c.services()
        .values()
        .forEach(s -> services.of(s.name()).divided(s.partitioned() ? ranges : null));
    List<ServerExchange> calls = new ArrayList<>(parked);
    parked.clear();
    // After the workers that came in the same news.
    eventLoop.after(0, () -> calls.forEach(this::handle));
  }

  @Override
  public void fleet(Map<String, Integer> nodesInZone, int rank) {
    services.fleet(nodesInZone, rank);
  }

  @Override
  public void assigned(WireRecord entry) {
    intake.assigned(entry);
    String service = ranges.take(entry);
    if (service != null) {
      wake(services.of(service));
    }
  }

  @Override
  public List<WireRecord> heat() {
    List<WireRecord> out = new ArrayList<>();
    meter
        .take()
        .forEach(
            (service, counts) -> {
              List<Object> keys = new ArrayList<>();
              counts.forEach(
                  (k, n) -> {
                    keys.add((long) k);
                    keys.add((long) n);
                  });
              out.add(
                  new WireRecord("heat")
                      .with("service", service)
                      .with("work", services.of(service).pace.usual())
                      .with("keys", keys));
            });
    return out;
  }

  @Override
  public void callWorker(
      String address,
      String instance,
      String path,
      String body,
      long timeout,
      java.util.function.Consumer<KeyRangeRuntime.Answer> answer) {
    workerCalls.call(address, instance, path, body, timeout, answer);
  }

  @Override
  public WireRecord outcome(String key, String token) {
    WireRecord kept = responseCache.get(key, token);
    return kept != null
        ? kept
        : atWork.contains(token)
            ? new WireRecord("working")
            : unrun.holds(token) ? new WireRecord("unrun") : null;
  }

  @Override
  public void worker(WorkerInstance v) {
    services.worker(v);
  }

  // ----------------------------------------------------------------- calls

  @Override
  public void handle(ServerExchange call) {
    HttpMessage r = call.request();
    long now = EventLoop.now();
    if (closing) {
      sendElsewhere(call);
      return;
    }
    if (configuration == null) {
      park(call);
      return;
    }
    tally.requests.increment();
    if (MessageIngestHandler.asks(r.path())) {
      question(call);
      return;
    }
    String host = r.first("Host");
    Route route = host == null ? null : configuration.route(host, r.path());
    if (route == null) {
      tally.unrouted.increment();
      call.answer(GatewayResponses.problem(404, "no route"));
      return;
    }
    Tenant tenant = null;
    if (configuration.closed() && !route.open()) {
      if (!keysFresh()) {
        stale(call);
        return;
      }
      tenant = tenantOf(r);
      if (tenant == null) {
        if (node.outOfTouch()) {
          // The key may have come with a version that has not reached this node.
          stale(call);
          return;
        }
        tally.unauthorised.increment();
        call.answer(
            GatewayResponses.problem(401, AUTHORIZATION + ": no tenant holds such a key")
                .header("WWW-Authenticate", "Bearer"));
        return;
      }
    }
    if (r.first(ATTEMPT_ID) == null) {
      call.answer(GatewayResponses.problem(400, ATTEMPT_ID + ": missing"));
      return;
    }
    if (route.type() == RouteType.ASYNCHRONOUS) {
      intake.take(call, route, tenant, configuration);
      return;
    }
    long left;
    try {
      left = Math.min(route.guardMicros(), timeLeft(r, route.guardMicros()));
    } catch (NumberFormatException e) {
      call.answer(
          GatewayResponses.problem(400, TIME_LEFT + ": a number of milliseconds is wanted"));
      return;
    }
    long aim = route.aimMicros() > 0 ? route.aimMicros() : DEFAULT_AIM;
    long refuse = Math.min(aim / 4 - 10_000, left / 2);
    ServiceEndpoints f =
        services.of(route.serviceFor((long) (random.nextDouble() * route.totalWeight())));
    int partition = -1;
    if (f.divided()) {
      partition = partitionKey(r);
      if (partition < 0) {
        call.answer(
            GatewayResponses.problem(
                400, PARTITION_KEY + ": a whole number from 0 to 65535 is wanted"));
        return;
      }
      meter.asked(f.name, partition);
      KeyRange range = f.range(partition);
      if (range != null && range.state() != KeyRangeState.EXPIRING) {
        // What moves has arrived in a moment: it is waited for within the aim.
        refuse = Math.min(aim * 6 / 10, left / 2);
      }
    }
    RequestContext p =
        new RequestContext(
            call,
            route,
            tenant,
            f,
            call.receivedAt() + left,
            call.receivedAt() + Math.max(20_000, refuse));
    p.partitionKey = partition;
    p.tenanted = configuration.closed();
    if (p.keyed()) {
      p.key = r.first(KEY);
      if (p.key == null || p.key.isEmpty()) {
        call.answer(GatewayResponses.problem(400, KEY + ": missing"));
        return;
      }
      p.key = (tenant == null ? "host " + route.host() : "tenant " + tenant.name()) + "\n" + p.key;
      p.token = Long.toHexString(life) + "-" + Long.toHexString(++tokenNumber);
    }
    f.retryBudget.earn(settings.retryRatio() * EARNED, now);
    inHand.add(p);
    p.timer = eventLoop.after(p.deadline() - now, () -> deadline(p));
    if (p.keyed()) {
      claim(p);
    } else if (p.counted()) {
      pay(p, () -> dispatch(p), over -> overQuota(p, over));
    } else {
      dispatch(p);
    }
  }

  /** The state or the bytes of a message are asked for, by its own tenant. */
  private void question(ServerExchange call) {
    Tenant tenant = null;
    if (configuration.closed()) {
      if (!keysFresh()) {
        stale(call);
        return;
      }
      tenant = tenantOf(call.request());
      if (tenant == null) {
        tally.unauthorised.increment();
        call.answer(
            GatewayResponses.problem(401, AUTHORIZATION + ": no tenant holds such a key")
                .header("WWW-Authenticate", "Bearer"));
        return;
      }
    }
    intake.question(call, tenant);
  }

  /** The key by which a divided service is split, or -1 if there is none that is good. */
  private static int partitionKey(HttpMessage r) {
    Header[] given = r.headers().getHeaders(PARTITION_KEY);
    if (given.length != 1 || given[0].getValue() == null) {
      return -1;
    }
    try {
      int key = Integer.parseInt(given[0].getValue().trim());
      return key > KeyRange.LAST_KEY ? -1 : key;
    } catch (NumberFormatException e) {
      return -1;
    }
  }

  /** The tenant that holds the one well-formed key of the request, or null. */
  private Tenant tenantOf(HttpMessage r) {
    Header[] given = r.headers().getHeaders(AUTHORIZATION);
    if (given.length != 1 || given[0].getValue() == null) {
      return null;
    }
    String v = given[0].getValue().trim();
    return v.regionMatches(true, 0, BEARER, 0, BEARER.length())
        ? configuration.tenantOf(v.substring(BEARER.length()).trim())
        : null;
  }

  /**
   * Whether no withdrawal of a key can have been acknowledged so long ago that it must hold here
   * unheard. A request admitted now was sent before now, so this look is the one that counts; time
   * spent frozen makes it older.
   */
  private boolean keysFresh() {
    return !settings.revocationGlobal() || EventLoop.now() - node.freshAt() < keysTrusted;
  }

  private void stale(ServerExchange call) {
    tally.stale.increment();
    call.answer(
        GatewayResponses.unavailable(
            "not sure of the keys in force", 0.2 + 0.2 * random.nextDouble()));
  }

  // ---------------------------------------------------------------- quotas

  /**
   * Takes a token of the tenant's quota, here or from the owner, then goes on; or does the other
   * thing.
   */
  private void pay(RequestContext p, Runnable paid, java.util.function.Consumer<Double> over) {
    long until = EventLoop.now() + patience(p);
    QuotaCache.Taker taker =
        new QuotaCache.Taker() {
          private boolean done;

          @Override
          public boolean waits() {
            return !done && !p.finished;
          }

          @Override
          public void taken() {
            done = true;
            p.paid = true;
            paid.run();
          }

          @Override
          public void over(double retryAfter) {
            done = true;
            over.accept(retryAfter);
          }
        };
    stores.want(p.tenant.name(), taker);
    if (taker.waits()) {
      eventLoop.after(
          until - EventLoop.now(),
          () -> {
            if (taker.waits()) {
              taker.over(-1);
            }
          });
    }
  }

  /** How long the core is waited for: it changes hands within about a second. */
  private long patience(RequestContext p) {
    return node.outOfTouch()
        ? CLAIM_LEAST
        : Math.max(LEAST_LEFT, (p.deadline() - EventLoop.now()) * 2 / 5);
  }

  /** Below 0: nobody could say in time whether the tenant has tokens left. */
  private void overQuota(RequestContext p, double retryAfter) {
    if (retryAfter < 0) {
      refuse(p, "the quota's owner did not answer in time");
      return;
    }
    tally.overQuota.increment();
    finishNotRun(p, GatewayResponses.overQuota("the tenant's quota is used up", retryAfter));
  }

  /**
   * A node that has just started has its configuration in a moment; what comes before waits a part
   * of its time.
   */
  private void park(ServerExchange call) {
    parked.add(call);
    long left = 0;
    try {
      left = timeLeft(call.request(), DEFAULT_AIM);
    } catch (NumberFormatException e) {
      // Refused at once: nothing says how long it may be kept.
    }
    eventLoop.after(
        Math.min(PARK_MOST, left * 3 / 10),
        () -> {
          if (parked.remove(call)) {
            call.answer(GatewayResponses.unavailable("no configuration yet", 0.3));
          }
        });
  }

  /** How long the client says that it will wait, in microseconds. */
  public static long timeLeft(HttpMessage r, long otherwise) {
    String told = r.first(TIME_LEFT);
    return told == null ? otherwise : (long) (1000 * Double.parseDouble(told.trim()));
  }

  private void finish(RequestContext p, HttpMessage answer) {
    if (p.finished) {
      return;
    }
    p.finished = true;
    inHand.remove(p);
    if (p.open.isEmpty()) {
      p.timer.cancel();
    }
    if (p.keyed() && !p.settled) {
      unrun.add(p.token, EventLoop.now());
    }
    if (p.hedge != null) {
      p.hedge.cancel();
    }
    p.endpoints.waiting.remove(p);
    if (p.paid) {
      // Never used: what was taken for a run is given back where none was begun.
      stores.giveBack(p.tenant.name());
    }
    p.call.answer(answer);
  }

  private void deadline(RequestContext p) {
    if (p.finished) {
      // Another attempt was answered; this one's worker has had its time.
      abandonOpen(p);
      return;
    }
    tally.timeouts.increment();
    giveUp(p, GatewayResponses.problem(504, "no answer in time"));
  }

  private void abandonOpen(RequestContext p) {
    for (Attempt a : List.copyOf(p.open)) {
      release(p, a);
      p.mayHaveRun |= a.abandon();
    }
  }

  /** Ends it with attempts open, if any: they may run or have run, and that is never known. */
  private void giveUp(RequestContext p, HttpMessage answer) {
    abandonOpen(p);
    if (p.keyed()) {
      settleUnknown(p);
    }
    finish(p, answer);
  }

  // ------------------------------------------------------------------ keys

  private void claim(RequestContext p) {
    WireRecord ask =
        new WireRecord("ask")
            .with("op", "claim")
            .with("key", p.key)
            .with("token", p.token)
            .with("holder", settings.internalAddress());
    if (p.counted() && !p.paid) {
      if (stores.take(p.tenant.name())) {
        p.paid = true;
      } else {
        stores.sign(ask).with("tenant", stores.part(p.tenant.name(), 1));
      }
    }
    long asked = EventLoop.now();
    atWork.add(p.token);
    node.ask(ask, patience(p), 200_000, r -> claimed(p, r, asked));
  }

  private void claimed(RequestContext p, WireRecord r, long asked) {
    boolean granted = r != null && r.truth("granted");
    WireRecord lent = r == null ? null : r.nested("lent");
    if (lent != null) {
      stores.lent(r.number("term"), lent, asked, false);
    }
    if (p.finished || r == null) {
      if (granted || r == null) {
        free(p);
      } else {
        atWork.remove(p.token);
      }
      if (!p.finished) {
        tally.refused.increment();
        // A node that is cut off sends the client to another at once; else the core is about to be
        // back.
        double later =
            node.outOfTouch()
                ? CLAIM_LEAST / 1e6
                : Math.max(0.05, (p.deadline() - EventLoop.now()) / 3.5e6);
        finishNotRun(
            p, GatewayResponses.unavailable("the key could not be claimed in time", later));
      }
      return;
    }
    if (granted) {
      p.claimed = true;
      if (!p.counted() || p.paid || stores.take(p.tenant.name())) {
        p.paid = p.counted();
        dispatch(p);
      } else {
        pay(p, () -> dispatch(p), over -> overQuota(p, over));
      }
      return;
    }
    atWork.remove(p.token);
    if (lent != null) {
      unlent(p, lent);
    } else {
      replayFrom(p, r.text("holder"), r.text("run"));
    }
  }

  /** The key is free, but the owner lent no token for its run. */
  private void unlent(RequestContext p, WireRecord lent) {
    long half = (p.deadline() - p.call.receivedAt()) / 2;
    if (lent.truth("over")) {
      overQuota(p, QuotaCache.retryAfter(lent));
    } else if (p.deadline() - EventLoop.now() > half) {
      eventLoop.after(QuotaCache.pause(lent), () -> again(p));
    } else {
      overQuota(p, -1);
    }
  }

  private void again(RequestContext p) {
    if (!p.finished) {
      claim(p);
    }
  }

  /** Another try of the operation claimed the key: the node that did so knows how it went. */
  private void replayFrom(RequestContext p, String holder, String run) {
    if (holder == null || holder.isEmpty() || holder.equals(settings.internalAddress())) {
      replayed(p, run, outcome(p.key, run));
      return;
    }
    node.fetch(
        holder,
        p.key,
        run,
        Math.min(FETCH, Math.max(LEAST_LEFT, p.deadline() - EventLoop.now() - LEAST_LEFT)),
        a -> replayed(p, run, a));
  }

  private void replayed(RequestContext p, String run, WireRecord a) {
    if (p.finished) {
      return;
    }
    if (a != null && a.kind().equals("unrun")) {
      // The ledger holds a claim that its own node has given up. Freed first, on the connection
      // that claims go on.
      free(p.key, run, r -> {});
      eventLoop.after(UNRUN_ASKED_AGAIN, () -> again(p));
    } else if (a == null || a.kind().equals("unknown")) {
      finish(
          p,
          GatewayResponses.problem(502, "an earlier try of this operation has no known outcome"));
    } else if (a.kind().equals("answer")) {
      tally.replays.increment();
      finish(p, replay(a, p));
    } else if (p.deadline() - EventLoop.now() > (p.deadline() - p.call.receivedAt()) / 2) {
      // Claimed again, for the run may turn out not to have been one.
      eventLoop.after(WORK_ASKED_AGAIN, () -> again(p));
    } else {
      finish(
          p,
          GatewayResponses.problem(409, "the operation is in work").header("Retry-After", "0.1"));
    }
  }

  private void free(RequestContext p) {
    p.freed = true;
    free(p.key, p.token, r -> atWork.remove(p.token));
  }

  /** Takes a claim out of the ledger that nothing ran under; a claim of another token stays. */
  private void free(String key, String token, java.util.function.Consumer<WireRecord> told) {
    node.ask(
        new WireRecord("ask").with("op", "free").with("key", key).with("token", token),
        3_000_000,
        400_000,
        told);
  }

  private void settleUnknown(RequestContext p) {
    if (p.mayHaveRun) {
      settle(p, new WireRecord("unknown"));
    } else {
      free(p);
    }
  }

  private void settleDone(RequestContext p, HttpMessage m) {
    settle(
        p,
        new WireRecord("answer")
            .with("status", m.status())
            .with("body", m.body())
            .with("seal", m.first(SEAL))
            .with("type", m.first("Content-Type")));
  }

  /** Keeps the outcome for repeats: the ledger names this node as the one that knows it. */
  private void settle(RequestContext p, WireRecord outcome) {
    p.settled = true;
    responseCache.put(p.key, p.token, outcome, EventLoop.now());
    atWork.remove(p.token);
  }

  private static HttpMessage replay(WireRecord a, RequestContext p) {
    return HttpMessage.response((int) a.number("status"))
        .header(ATTEMPT_ID, p.call.request().first(ATTEMPT_ID))
        .header(SEAL, a.text("seal"))
        .header("Content-Type", a.text("type"))
        .body(a.bytes("body"));
  }

  // --------------------------------------------------------------- forward

  private void dispatch(RequestContext p) {
    long now = EventLoop.now();
    if (p.finished) {
      return;
    }
    if (p.tenant != null && !keysFresh()) {
      tally.stale.increment();
      refuse(p, "not sure of the keys in force");
      return;
    }
    WorkerEndpoint h = p.endpoints.pick(now, p.tried, p.partitionKey);
    if (h == null) {
      if (p.attempts > 0 || now >= p.refuseAt()) {
        refuse(p, "no worker can take the request");
        return;
      }
      p.endpoints.waiting.add(p);
      checkWaiting();
      return;
    }
    long left = p.deadline() - now;
    if (left < LEAST_LEFT) {
      refuse(p, "no time left");
      return;
    }
    p.attempts++;
    p.paid = false;
    p.tried.add(h.id());
    Attempt attempt = new Attempt(h, now);
    p.open.add(attempt);
    h.took(now);
    tally.forwarded.increment();
    attempt.connection =
        h.pool.send(
            toWorker(p, h, left),
            Math.min(CONNECT, left),
            p.repeatable() ? Long.MAX_VALUE : IDLE_ONCE,
            new ResponseListener() {
              @Override
              public void answered(HttpMessage response) {
                if (release(p, attempt) && !p.finished) {
                  onAnswer(p, attempt, response);
                }
              }

              @Override
              public void failed(boolean written, String why) {
                if (release(p, attempt) && !p.finished) {
                  onFailure(p, h, written, why);
                }
              }
            });
    if (p.repeatable() && p.partitionKey < 0 && p.attempts < p.route.maxAttempts()) {
      p.hedge = eventLoop.after(hedgeAfter(p.route), () -> hedge(p));
    }
  }

  private static long hedgeAfter(Route r) {
    return (r.aimMicros() > 0 ? r.aimMicros() : DEFAULT_AIM) * 9 / 10;
  }

  /**
   * A repeatable request that has waited for most of its aim, at a worker that answers nothing, is
   * tried beside itself, if the budget allows. A worker that answers others is only busy, and more
   * load would not help.
   */
  private void hedge(RequestContext p) {
    long now = EventLoop.now();
    if (p.finished
        || p.open.size() != 1
        || !p.open.get(0).silent()
        || p.attempts >= p.route.maxAttempts()
        || p.deadline() - now < hedgeAfter(p.route) / 2
        || p.endpoints.pick(now, p.tried) == null
        || p.counted() && !p.paid && !stores.take(p.tenant.name())) {
      return;
    }
    p.paid = p.counted();
    if (p.endpoints.retryBudget.spend(now)) {
      tally.hedges.increment();
      dispatch(p);
    }
  }

  private static HttpMessage toWorker(RequestContext p, WorkerEndpoint h, long left) {
    HttpMessage r = p.call.request();
    HttpMessage m = HttpMessage.request(r.method(), r.target());
    copyHeaders(r, m, true);
    if (p.tenanted) {
      m.headers().removeHeaders(AUTHORIZATION);
    }
    m.header(TIME_LEFT, Long.toString(Math.max(1, left / 1000)));
    m.header(EXPECTED, h.id());
    if (p.tenant != null) {
      m.header(TENANT, p.tenant.name());
    }
    m.body(r.body());
    return m;
  }

  public static void copyHeaders(HttpMessage from, HttpMessage to, boolean request) {
    Set<String> named = new HashSet<>();
    for (Header h : from.headers().getHeaders("Connection")) {
      for (String n : h.getValue().split(",")) {
        named.add(n.trim().toLowerCase(Locale.ROOT));
      }
    }
    for (Header h : from.headers().getHeaders()) {
      String n = h.getName().toLowerCase(Locale.ROOT);
      if (HOP.contains(n)
          || named.contains(n) && !n.startsWith(ANSWERS_ARE_KNOWN_BY) && !n.equals("host")) {
        continue;
      }
      if (request && OWN.contains(n)) {
        continue;
      }
      to.headers().addHeader(h);
    }
  }

  /** Takes the attempt off the books; false if it was off them already. */
  private boolean release(RequestContext p, Attempt a) {
    if (!p.open.remove(a)) {
      return false;
    }
    a.endpoint.released(EventLoop.now());
    wake(p.endpoints);
    return true;
  }

  private void onAnswer(RequestContext p, Attempt a, HttpMessage m) {
    WorkerEndpoint h = a.endpoint;
    boolean notRun = m.first(NOT_EXECUTED) != null || m.status() == 421;
    boolean success = m.status() / 100 == 2;
    if (!notRun) {
      p.mayHaveRun = true;
      h.worked(EventLoop.now());
      p.endpoints.pace.answered(EventLoop.now() - a.sentAt());
    }
    if (!success && !p.open.isEmpty()) {
      // Another attempt is still at work, and may do better.
      return;
    }
    if (success && m.first(SEAL) == null) {
      h.failed(EventLoop.now());
      if (!p.open.isEmpty()) {
        return;
      }
      broken(p, "the worker's answer is not one to this request");
      return;
    }
    if (notRun) {
      tally.turnedAway.increment();
      p.paid = p.counted() && p.open.isEmpty();
      if (m.status() == 421 && p.endpoints.divided()) {
        LOG.debug(
            "event=not_owner service={} key={} instance={}",
            p.endpoints.name,
            p.partitionKey,
            h.id());
      } else if (m.status() == 421) {
        h.failed(EventLoop.now());
      } else {
        h.shunUntil = EventLoop.now() + FULL_SHUN;
      }
      if (m.status() == 400) {
        finishNotRun(p, forward(m));
      } else {
        anotherOr(
            p,
            true,
            () ->
                finishNotRun(
                    p,
                    GatewayResponses.unavailable(
                        "the worker turned the request away", comeBack())));
      }
      return;
    }
    boolean promises = m.status() == 503 || m.status() == 429 || m.status() == 408;
    if (p.keyed()) {
      if (promises) {
        // Nor may a repeat be told so.
        settle(p, new WireRecord("unknown"));
      } else {
        settleDone(p, m);
      }
    }
    if (p.repeatable() && m.status() >= 500 && m.status() != 504) {
      anotherOr(p, true, () -> finish(p, forward(m)));
      return;
    }
    if (promises) {
      // It has run, or may have: these words would promise that it has not.
      if (p.repeatable()) {
        finish(p, forward(m));
      } else {
        finish(p, GatewayResponses.problem(502, "the worker failed"));
      }
      return;
    }
    tally.answered.increment();
    finish(p, forward(m));
  }

  private static HttpMessage forward(HttpMessage m) {
    HttpMessage out = HttpMessage.response(m.status()).body(m.body());
    copyHeaders(m, out, false);
    if (m.body().length == 0
        && m.first("Content-Length") != null
        && m.status() != 204
        && m.status() != 304) {
      out.header("Content-Length", m.first("Content-Length"));
    }
    return out;
  }

  private void onFailure(RequestContext p, WorkerEndpoint h, boolean written, String why) {
    h.failed(EventLoop.now());
    tally.failures.increment();
    if (!p.open.isEmpty()) {
      return;
    }
    LOG.debug(
        "event=attempt_failed service={} instance={} written={} why={}",
        p.endpoints.name,
        h.id(),
        written,
        why);
    if (!written) {
      p.paid = p.counted();
      // No byte went out, so no worker has it: another may be tried, and it costs the budget
      // nothing.
      anotherOr(
          p,
          false,
          () ->
              finishNotRun(
                  p, GatewayResponses.unavailable("no worker could be reached", comeBack())));
      return;
    }
    broken(p, "the worker broke off");
  }

  private void broken(RequestContext p, String cause) {
    p.mayHaveRun = true;
    if (p.repeatable()) {
      anotherOr(p, true, () -> finish(p, GatewayResponses.problem(502, cause)));
      return;
    }
    if (p.keyed()) {
      settleUnknown(p);
    }
    finish(p, GatewayResponses.problem(502, cause));
  }

  /** Sends it to another worker if route, time and budget allow; else does the other thing. */
  private void anotherOr(RequestContext p, boolean arrived, Runnable otherwise) {
    long now = EventLoop.now();
    boolean allowed =
        p.attempts < Math.max(arrived ? p.route.maxAttempts() : p.route.maxAttempts() + 1, 1)
            && p.deadline() - now > 4 * LEAST_LEFT;
    if (allowed && p.endpoints.divided()) {
      toOwnerAgain(p, arrived, otherwise);
      return;
    }
    if (!allowed
        || p.endpoints.pick(now, p.tried) == null
        || (arrived && !p.endpoints.retryBudget.spend(now))) {
      otherwise.run();
      return;
    }
    retry(p, otherwise);
  }

  /** Sends it once more, on another token of the quota if the one before was used. */
  private void retry(RequestContext p, Runnable otherwise) {
    tally.retries.increment();
    if (p.counted() && !p.paid) {
      pay(p, () -> dispatch(p), over -> otherwise.run());
    } else {
      dispatch(p);
    }
  }

  /**
   * Only the owner of the key can serve it: it is tried once more a moment later, if word of
   * another has come by then.
   */
  private void toOwnerAgain(RequestContext p, boolean arrived, Runnable otherwise) {
    eventLoop.after(
        OWNER_AGAIN,
        () -> {
          long now = EventLoop.now();
          if (p.finished) {
            return;
          }
          if (p.endpoints.pick(now, Set.of(), p.partitionKey) == null
              && now + OWNER_AGAIN < p.refuseAt()) {
            toOwnerAgain(p, arrived, otherwise);
            return;
          }
          if (p.endpoints.pick(now, Set.of(), p.partitionKey) == null
              || arrived && !p.endpoints.retryBudget.spend(now)) {
            otherwise.run();
            return;
          }
          retry(p, otherwise);
        });
  }

  private void finishNotRun(RequestContext p, HttpMessage answer) {
    if (p.mayHaveRun && !p.repeatable()) {
      if (p.keyed()) {
        settleUnknown(p);
      }
      finish(p, GatewayResponses.problem(502, "the outcome is not known"));
      return;
    }
    if (p.claimed && !p.freed) {
      free(p);
    }
    finish(p, answer);
  }

  /** Answers that the request has not run and never will. */
  private void refuse(RequestContext p, String cause) {
    tally.refused.increment();
    finishNotRun(p, GatewayResponses.unavailable(cause, comeBack()));
  }

  private double comeBack() {
    return 0.15 + 0.25 * random.nextDouble();
  }

  // ----------------------------------------------------------------- queue

  private void wake(ServiceEndpoints f) {
    if (f.waiting.isEmpty()) {
      return;
    }
    if (f.divided()) {
      wakeOwned(f);
      return;
    }
    eventLoop.after(
        0,
        () -> {
          while (!f.waiting.isEmpty() && f.pick(EventLoop.now(), Set.of()) != null) {
            dispatch(f.waiting.poll());
          }
        });
  }

  /**
   * Of those that wait for the owners of their keys, sends the ones whose owner can take them now.
   */
  private void wakeOwned(ServiceEndpoints f) {
    if (f.wakeDue) {
      return;
    }
    f.wakeDue = true;
    eventLoop.after(
        0,
        () -> {
          f.wakeDue = false;
          List<RequestContext> waiting = new ArrayList<>(f.waiting);
          waiting.sort(f.waiting.comparator());
          for (RequestContext p : waiting) {
            if (f.pick(EventLoop.now(), Set.of(), p.partitionKey) != null && f.waiting.remove(p)) {
              dispatch(p);
            }
          }
        });
  }

  private void checkWaiting() {
    if (waitCheckDue) {
      return;
    }
    waitCheckDue = true;
    eventLoop.after(
        WAIT_CHECK,
        () -> {
          waitCheckDue = false;
          long now = EventLoop.now();
          boolean more = false;
          for (ServiceEndpoints f : services.each()) {
            List<RequestContext> late = f.takeExpired(now);
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
