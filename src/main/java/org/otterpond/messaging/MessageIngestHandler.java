package org.otterpond.messaging;

import com.google.common.hash.Hashing;
import com.google.gson.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import org.apache.hc.core5.http.Header;
import org.otterpond.config.GatewayConfiguration;
import org.otterpond.config.Route;
import org.otterpond.config.Tenant;
import org.otterpond.control.agent.ControlPlaneAgent;
import org.otterpond.control.agent.QuotaCache;
import org.otterpond.net.EventLoop;
import org.otterpond.net.GatewayResponses;
import org.otterpond.net.HttpMessage;
import org.otterpond.net.ServerExchange;
import org.otterpond.protocol.WireRecord;
import org.otterpond.proxy.GatewayHeaders;
import org.otterpond.proxy.HeaderFilter;
import org.otterpond.proxy.InvalidRequestException;
import org.otterpond.proxy.MessageRequestHandler;
import org.otterpond.proxy.ProxyMetrics;
import org.otterpond.proxy.TimeRemaining;
import org.otterpond.replication.GroupConfiguration;

/**
 * Takes messages in: finds the partition, hands the message to its primary, answers 202 once all
 * replicas have it.
 */
public final class MessageIngestHandler implements MessageRequestHandler {
  static final String MESSAGE_ID = "X-Otterpond-Message-Id";
  private static final String ORDER = "X-Otterpond-Ordering-Key";
  private static final String NOT_BEFORE = "X-Otterpond-Not-Before";
  private static final String PARTITION = "partition:";
  private static final String STATE = "/-/message/";
  private static final String BODY = "/-/message-body/";
  private static final long DEFAULT_LEFT = 2_000_000;
  private static final long KEEP = 3_600_000_000L;
  private static final long AGAIN = 40_000;
  private static final long ASK = 600_000;
  private static final long ANSWER_MARGIN = 15_000;
  private static final long QUESTION = 1_800_000;
  private static final long QUESTION_ASK = 500_000;
  private static final long MOST_DELAY = 30L * 86_400 * 1_000_000;
  private static final double REFUSE_AT = 0.45;

  private final EventLoop eventLoop;
  private final ControlPlaneAgent node;
  private final QuotaCache stores;
  private final Random random;
  private final String life;
  private final ProxyMetrics tally;
  private final Map<Integer, GroupConfiguration> partitions = new HashMap<>();
  private int count;
  private long number;
  private final Set<Handover> inHand = new LinkedHashSet<>();

  /** One message on its way to its partition's primary. */
  private static final class Handover {
    ServerExchange call;
    int group;
    WireRecord message;
    String tenant;
    boolean paid;
    long refuseAt;
    long deadline;

    /** A primary may have it although it never said so. */
    boolean doubtful;

    boolean asked;
    boolean done;
  }

  public MessageIngestHandler(
      EventLoop eventLoop, ControlPlaneAgent node, long life, ProxyMetrics tally) {
    this.eventLoop = eventLoop;
    this.node = node;
    this.stores = node.stores();
    this.random = new Random(ThreadLocalRandom.current().nextLong());
    this.life = Long.toHexString(life);
    this.tally = tally;
  }

  @Override
  public int inFlight() {
    return inHand.size();
  }

  @Override
  public void assigned(WireRecord entry) {
    if (entry.text("key").startsWith(PARTITION)) {
      GroupConfiguration v = GroupConfiguration.of(entry);
      partitions.put(v.group(), v);
      count = (int) entry.number("of");
    }
  }

  @Override
  public boolean isMessageQuery(String path) {
    return path.startsWith(STATE) || path.startsWith(BODY);
  }

  // ---------------------------------------------------------------- accept

  @Override
  public void submit(ServerExchange call, Route route, Tenant tenant, GatewayConfiguration c) {
    HttpMessage r = call.request();
    String order = r.first(ORDER);
    if (route.ordered() && (order == null || order.isEmpty())) {
      call.answer(
          GatewayResponses.problem(400, ORDER + ": missing on a route that keeps the order"));
      return;
    }
    long left;
    long delay;
    try {
      left = TimeRemaining.micros(r, DEFAULT_LEFT);
      delay = delay(r);
    } catch (InvalidRequestException e) {
      call.answer(GatewayResponses.problem(400, e.getMessage()));
      return;
    }
    String operation = r.first(GatewayHeaders.OPERATION_KEY);
    String tenantName = tenant == null ? null : tenant.name();
    Handover h = new Handover();
    h.call = call;
    h.tenant = tenantName;
    h.deadline = call.receivedAt() + left - ANSWER_MARGIN;
    h.refuseAt = call.receivedAt() + (long) (left * REFUSE_AT);
    String own = life + "." + Long.toHexString(++number);
    // Messages of one order, and tries of one operation, meet in one partition.
    String by =
        route.ordered()
            ? "order " + order
            : operation != null ? "operation " + operation : "id " + own;
    if (count == 0) {
      tally.rejected.increment();
      call.answer(GatewayResponses.unavailable("no partitions yet", 0.3));
      return;
    }
    h.group =
        Math.floorMod(
            Hashing.murmur3_32_fixed()
                .hashString(
                    (tenantName == null ? "" : tenantName) + "\n" + by, StandardCharsets.UTF_8)
                .asInt(),
            count);
    h.message =
        new WireRecord("put")
            .with("id", h.group + "." + own)
            .with("tenant", tenantName)
            .with("order", route.ordered() ? order : null)
            .with("op", operation)
            .with("host", r.first("Host").toLowerCase(Locale.ROOT))
            .with("method", r.method())
            .with("target", r.target())
            .with("headers", headers(r, c.closed()))
            .with("body", r.body())
            .with("delay", delay > 0 ? delay : null)
            .with("keep", route.keepMicros() > 0 ? route.keepMicros() : KEEP)
            .with("cfg", c.revision());
    inHand.add(h);
    if (tenant != null && tenant.limited()) {
      pay(h, tenant);
    } else {
      hand(h);
    }
  }

  private static long delay(HttpMessage r) throws InvalidRequestException {
    String told = r.first(NOT_BEFORE);
    if (told == null) {
      return 0;
    }
    double ms;
    try {
      ms = Double.parseDouble(told.trim());
    } catch (NumberFormatException e) {
      throw new InvalidRequestException(NOT_BEFORE + ": must be a number of milliseconds", e);
    }
    if (!(ms >= 0) || 1000 * ms > MOST_DELAY) {
      throw new InvalidRequestException(NOT_BEFORE + ": outside 0 to 30 days");
    }
    return (long) Math.ceil(1000 * ms);
  }

  /** What goes along to the worker, as name, value, name, value. */
  private static List<Object> headers(HttpMessage r, boolean tenanted) {
    HttpMessage m = HttpMessage.request(r.method(), r.target());
    HeaderFilter.copyRequestHeaders(r, m);
    if (tenanted) {
      m.headers().removeHeaders(GatewayHeaders.AUTHORIZATION);
    }
    List<Object> out = new ArrayList<>();
    for (Header h : m.headers().getHeaders()) {
      out.add(h.getName());
      out.add(h.getValue());
    }
    return out;
  }

  private void pay(Handover h, Tenant tenant) {
    QuotaCache.Taker taker =
        new QuotaCache.Taker() {
          private boolean over;

          @Override
          public boolean waits() {
            return !over && !h.paid && !h.done;
          }

          @Override
          public void taken() {
            h.paid = true;
            hand(h);
          }

          @Override
          public void over(double retryAfter) {
            over = true;
            tally.overQuota.increment();
            finish(h, GatewayResponses.overQuota("the tenant's quota is used up", retryAfter));
          }
        };
    stores.want(tenant.name(), taker);
    eventLoop.after(
        h.refuseAt - EventLoop.now(),
        () -> {
          if (taker.waits()) {
            refuse(h, "the quota's owner did not answer in time");
          }
        });
  }

  private void hand(Handover h) {
    long now = EventLoop.now();
    if (h.done) {
      return;
    }
    if (now >= h.deadline) {
      giveUp(h);
      return;
    }
    if (!h.doubtful && now >= h.refuseAt) {
      refuse(h, "the partition has no primary now");
      return;
    }
    GroupConfiguration v = partitions.get(h.group);
    if (v == null) {
      eventLoop.after(AGAIN, () -> hand(h));
      return;
    }
    h.asked = true;
    String primary = GroupConfiguration.addressOf(v.primary());
    node.askNode(
        primary,
        new WireRecord("m.put").with("group", h.group).with("message", h.message),
        Math.min(ASK, h.deadline - now),
        r -> answered(h, r));
  }

  private void answered(Handover h, WireRecord r) {
    h.asked = false;
    if (h.done) {
      return;
    }
    if (r != null && r.has("taken")) {
      h.paid = false;
      tally.responses.increment();
      finish(
          h,
          HttpMessage.response(202)
              .header(MESSAGE_ID, r.text("taken"))
              .header("Content-Type", "application/json")
              .body("{}".getBytes(StandardCharsets.UTF_8)));
      return;
    }
    // Silence proves nothing; "no" says that this ask has left nothing behind.
    h.doubtful |= r == null;
    if (r != null && "full".equals(r.text("no")) && !h.doubtful) {
      refuse(h, "the partition takes no more now");
      return;
    }
    if (EventLoop.now() + AGAIN >= h.deadline) {
      giveUp(h);
    } else {
      eventLoop.after(AGAIN, () -> hand(h));
    }
  }

  private void giveUp(Handover h) {
    if (h.doubtful) {
      tally.timeouts.increment();
      finish(h, GatewayResponses.problem(502, "whether the message was taken is not known"));
    } else {
      refuse(h, "the message could not be stored in time");
    }
  }

  /** Promises that the message was not taken and never will be. */
  private void refuse(Handover h, String cause) {
    tally.rejected.increment();
    finish(h, GatewayResponses.unavailable(cause, 0.1 + 0.2 * random.nextDouble()));
  }

  private void finish(Handover h, HttpMessage answer) {
    if (h.done) {
      return;
    }
    h.done = true;
    inHand.remove(h);
    if (h.paid) {
      stores.giveBack(h.tenant);
    }
    h.call.answer(answer);
  }

  @Override
  public void endAll() {
    for (Handover h : new ArrayList<>(inHand)) {
      h.doubtful |= h.asked;
      giveUp(h);
    }
  }

  // ------------------------------------------------------------- questions

  @Override
  public void query(ServerExchange call, Tenant tenant) {
    HttpMessage r = call.request();
    boolean body = r.path().startsWith(BODY);
    String id = r.path().substring((body ? BODY : STATE).length());
    if (!r.method().equals("GET")) {
      call.answer(GatewayResponses.problem(405, "GET is wanted").header("Allow", "GET"));
      return;
    }
    int dot = id.indexOf('.');
    int group;
    try {
      group = Integer.parseInt(id.substring(0, Math.max(0, dot)));
    } catch (NumberFormatException e) {
      group = -1;
    }
    if (id.length() > 64 || !partitions.containsKey(group)) {
      call.answer(GatewayResponses.problem(404, "no such message"));
      return;
    }
    WireRecord ask =
        new WireRecord(body ? "m.body" : "m.state")
            .with("group", group)
            .with("id", id)
            .with("tenant", tenant == null ? null : tenant.name());
    question(call, group, ask, call.receivedAt() + QUESTION);
  }

  private void question(ServerExchange call, int group, WireRecord ask, long until) {
    long now = EventLoop.now();
    if (now > until - AGAIN) {
      call.answer(GatewayResponses.unavailable("the partition has no primary now", 0.2));
      return;
    }
    node.askNode(
        GroupConfiguration.addressOf(partitions.get(group).primary()),
        ask,
        Math.min(QUESTION_ASK, until - now),
        a -> {
          if (a == null || a.has("no")) {
            eventLoop.after(AGAIN, () -> question(call, group, ask, until));
          } else if (a.truth("unknown")) {
            call.answer(GatewayResponses.problem(404, "no such message"));
          } else if (a.has("body")) {
            call.answer(
                HttpMessage.response(200)
                    .header("Content-Type", "application/octet-stream")
                    .body(a.bytes("body")));
          } else {
            JsonObject o = new JsonObject();
            o.addProperty("state", a.text("state").toLowerCase(Locale.ROOT));
            if (a.has("seal")) {
              o.addProperty("timestamp", a.text("seal"));
            }
            call.answer(GatewayResponses.json(200, o.toString()));
          }
        });
  }
}
