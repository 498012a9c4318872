package org.otterpond.server;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.otterpond.config.ClientLimits;
import org.otterpond.config.ConfigException;
import org.otterpond.config.JsonFields;
import org.otterpond.control.agent.ControlPlaneAgent;
import org.otterpond.control.state.EpochRecord;
import org.otterpond.control.state.WorkerInstance;
import org.otterpond.control.state.WorkerState;
import org.otterpond.net.EventLoop;
import org.otterpond.net.GatewayResponses;
import org.otterpond.net.HttpMessage;
import org.otterpond.net.RequestHandler;
import org.otterpond.net.ServerExchange;
import org.otterpond.protocol.CompressedPayload;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/** The control point: workers' beats, the operator's calls, status and metrics. */
final class ControlApiHandler implements RequestHandler {
  private static final String BEAT = "/-/Instances.Heartbeat/";
  private static final String LEAVE = "/-/Instances.Deregister/";
  private static final String RETIRE = "/-/Retire.Begin/";
  private static final String RETIRED = "/-/Retire.Read/";
  private static final long ASK = 850_000;
  private static final long BIG_ASK = 2_500_000;
  private static final int BIG_TEXT = 64 * 1024;
  private static final long RESEND = 250_000;
  private static final long BIG_RESEND = 1_200_000;
  private static final ClientLimits LIMITS =
      new ClientLimits(32 * 1024, 16L << 20, 5_000_000, 20_000_000);

  private final ControlPlaneAgent node;
  private final MetricsPage metrics;

  /** All nodes of a deployment listen at the same ports. */
  private final String controlPort;

  ControlApiHandler(ControlPlaneAgent node, MetricsPage metrics, String controlPoint) {
    this.node = node;
    this.controlPort = controlPoint.substring(controlPoint.lastIndexOf(':'));
    this.metrics = metrics;
  }

  @Override
  public ClientLimits limits() {
    return LIMITS;
  }

  @Override
  public void handle(ServerExchange call) {
    HttpMessage r = call.request();
    String path = r.path();
    String asked = r.method() + " " + path;
    try {
      if (r.method().equals("POST") && path.startsWith(BEAT)) {
        beat(call, path.substring(BEAT.length()));
      } else if (r.method().equals("POST") && path.startsWith(LEAVE)) {
        leave(call, path.substring(LEAVE.length()));
      } else if (asked.equals("POST /-/Configuration.Replace")) {
        write(call, "replace");
      } else if (asked.equals("POST /-/Configuration.Modify")) {
        write(call, "modify");
      } else if (asked.equals("GET /-/Configuration.Read")) {
        read(call);
      } else if (r.method().equals("POST") && path.startsWith(RETIRE)) {
        retire(call, path.substring(RETIRE.length()));
      } else if (r.method().equals("GET") && path.startsWith(RETIRED)) {
        retired(call, path.substring(RETIRED.length()));
      } else if (asked.equals("GET /-/status")) {
        status(call);
      } else if (asked.equals("GET /-/metrics")) {
        call.answer(metrics.page());
      } else {
        call.answer(GatewayResponses.problem(404, "no such call"));
      }
    } catch (ConfigException e) {
      call.answer(GatewayResponses.problem(400, e.getMessage()));
    }
  }

  private static String bodyOf(ServerExchange call) {
    return new String(call.request().body(), StandardCharsets.UTF_8);
  }

  // --------------------------------------------------------------- workers

  private void beat(ServerExchange call, String id) throws ConfigException {
    JsonFields f = JsonFields.of(JsonFields.parse(bodyOf(call)), "");
    WorkerState state =
        switch (f.text("state")) {
          case "in_service" -> WorkerState.IN_SERVICE;
          case "draining" -> WorkerState.DRAINING;
          default -> throw new ConfigException("state: in_service or draining is wanted");
        };
    WorkerInstance v =
        new WorkerInstance(
            id,
            f.text("target_service"),
            f.text("address"),
            f.text("zone", "-"),
            f.text("revision", "-"),
            (int) f.whole("capacity_slots", 1, 1 << 20, 1),
            state,
            f.whole("call_sequence", 0, Long.MAX_VALUE, 0),
            EventLoop.now() + 1000 * f.whole("warmup_left_ms", 0, 86_400_000, 0));
    acknowledge(call, v);
  }

  private void leave(ServerExchange call, String id) {
    WorkerInstance old = node.worker(id);
    WorkerInstance v =
        old != null
            ? old.in(WorkerState.GONE)
            : new WorkerInstance(id, "", "", "-", "-", 1, WorkerState.GONE, 0, 0);
    acknowledge(call, v);
  }

  private void acknowledge(ServerExchange call, WorkerInstance v) {
    node.beat(
        v,
        ok ->
            call.answer(
                ok
                    ? GatewayResponses.json(200, acknowledgement(v))
                    : GatewayResponses.unavailable("the primary did not confirm it", 0.1)));
  }

  private String controlPointOf(String internalAddress) {
    return internalAddress.substring(0, internalAddress.lastIndexOf(':')) + controlPort;
  }

  private String acknowledgement(WorkerInstance v) {
    String beacon = v.state() == WorkerState.IN_SERVICE ? node.beacon(v.zone(), v.id()) : null;
    if (beacon == null) {
      return "{}";
    }
    JsonObject o = new JsonObject();
    o.addProperty("heartbeat_target", controlPointOf(beacon));
    return o.toString();
  }

  // -------------------------------------------------------------- operator

  private void ask(
      ServerExchange call, WireRecord f, long time, long resend, Consumer<WireRecord> use) {
    node.ask(
        f,
        time,
        resend,
        r -> {
          if (r == null) {
            call.answer(GatewayResponses.problem(504, "no clear answer from the primary"));
          } else {
            use.accept(r);
          }
        });
  }

  private void write(ServerExchange call, String kind) throws ConfigException {
    String text = bodyOf(call);
    String base = call.request().firstHeader("X-Otterpond-Base-Revision");
    long number;
    try {
      number = base == null ? 0 : Long.parseLong(base.trim());
    } catch (NumberFormatException e) {
      throw new ConfigException("X-Otterpond-Base-Revision: a whole number is wanted");
    }
    // Packed, and if large sent again seldom: the links of nodes without a disk are narrow.
    boolean big = text.length() > BIG_TEXT;
    WireRecord f =
        new WireRecord("ask")
            .with("op", "write")
            .with("kind", kind)
            .with("base", number)
            .with("text", CompressedPayload.pack(text));
    ask(
        call,
        f,
        big ? BIG_ASK : ASK,
        big ? BIG_RESEND : RESEND,
        r -> {
          int status = (int) r.number("status");
          call.answer(
              status == 200
                  ? GatewayResponses.json(200, "{}")
                  : GatewayResponses.problem(status, r.text("cause")));
        });
  }

  private void read(ServerExchange call) {
    String beacon = node.configurationSize() > BIG_TEXT ? node.beacon("", "") : null;
    if (beacon != null) {
      // A node with a disk has the wider link, too.
      call.answer(
          GatewayResponses.problem(307, "a large configuration is had from a core node")
              .header("Location", "http://" + controlPointOf(beacon) + "/-/Configuration.Read"));
      return;
    }
    ask(
        call,
        new WireRecord("ask").with("op", "read"),
        ASK,
        RESEND,
        r -> {
          if (!r.has("text")) {
            call.answer(GatewayResponses.problem(404, "no configuration yet"));
          } else {
            call.answer(GatewayResponses.json(200, unpacked(r)));
          }
        });
  }

  /** A storage machine is to be emptied; how long that may take is the operator's to watch. */
  private void retire(ServerExchange call, String name) throws ConfigException {
    if (call.request().body().length > 0) {
      JsonFields.of(JsonFields.parse(bodyOf(call)), "").real("deadline_s", 0, 0);
    }
    ask(
        call,
        new WireRecord("ask").with("op", "retire").with("node", name),
        ASK,
        RESEND,
        r -> {
          switch ((int) r.number("status")) {
            case 200 -> call.answer(GatewayResponses.json(200, "{}"));
            case 404 -> call.answer(GatewayResponses.problem(404, "no such storage machine"));
            default ->
                call.answer(
                    GatewayResponses.problem(409, "too few storage machines would be left"));
          }
        });
  }

  private void retired(ServerExchange call, String name) {
    ask(
        call,
        new WireRecord("ask").with("op", "retired").with("node", name),
        ASK,
        RESEND,
        r -> {
          if (r.number("status") != 200) {
            call.answer(GatewayResponses.problem(404, "no such retirement"));
          } else {
            call.answer(
                GatewayResponses.json(
                    200,
                    r.truth("done") ? "{\"state\":\"completed\"}" : "{\"state\":\"in_progress\"}"));
          }
        });
  }

  private static String unpacked(WireRecord reply) {
    try {
      return CompressedPayload.decompressText(reply.bytes("text"));
    } catch (ProtocolException e) {
      throw new IllegalStateException("what the primary packed is unreadable here", e);
    }
  }

  private void status(ServerExchange call) {
    ask(
        call,
        new WireRecord("ask").with("op", "status"),
        ASK,
        RESEND,
        r -> {
          JsonObject o = new JsonObject();
          EpochRecord e = EpochRecord.of(r.nested("record"));
          o.addProperty("confirmed", r.truth("confirmed"));
          o.addProperty("epoch", e.epoch());
          o.addProperty("primary", e.primary().name());
          JsonArray backups = new JsonArray();
          e.backups().forEach(b -> backups.add(b.name()));
          o.add("backups", backups);
          JsonArray members = new JsonArray();
          e.members().forEach(m -> members.add(m.name()));
          o.add("core", members);
          JsonArray silent = new JsonArray();
          r.list("silent").forEach(m -> silent.add((String) m));
          o.add("core_silent", silent);
          o.addProperty("revision", r.number("rev"));
          o.addProperty("claims", r.number("claims"));
          o.add("nodes", rows(r, "nodes", "name", "addr", "zone", "cfg", "silent_ms"));
          o.add(
              "quotas",
              rows(r, "quotas", "name", "rate", "burst", "tokens", "out", "granted", "denied"));
          o.add("workers", rows(r, "workers", "id", "service", "addr", "zone", "state", "slots"));
          o.add(
              "stores",
              rows(
                  r,
                  "stores",
                  "name",
                  "addr",
                  "zone",
                  "led",
                  "held",
                  "queued",
                  "dead",
                  "oldest_ms",
                  "in_flight",
                  "silent_ms"));
          o.add(
              "keys",
              rows(
                  r,
                  "keys",
                  "service",
                  "ranges",
                  "owners",
                  "held",
                  "granting",
                  "releasing",
                  "expiring",
                  "fence"));
          WireRecord partitions = r.nested("partitions");
          o.addProperty("partitions", partitions == null ? 0 : partitions.number("count"));
          o.addProperty(
              "partitions_lacking", partitions == null ? 0 : partitions.number("lacking"));
          call.answer(GatewayResponses.json(200, o.toString()));
        });
  }

  private static JsonElement rows(WireRecord r, String list, String... names) {
    JsonArray out = new JsonArray();
    for (WireRecord f : r.records(list)) {
      JsonObject o = new JsonObject();
      for (String n : names) {
        Object v = f.fields().get(n);
        if (v instanceof Number x) {
          o.addProperty(n, x);
        } else {
          o.addProperty(n, String.valueOf(v));
        }
      }
      out.add(o);
    }
    return out;
  }
}
