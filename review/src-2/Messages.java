import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A sound client of asynchronous routes, and what it was told. */
final class Messages {
  static final String HOST = "mail.example";
  static final String BOUNDS =
      "{\"seed_lag_s\": 3, \"address_hold_s\": 2, \"contact_ms\": 5000, \"ack_timer_ms\": 6000, "
          + "\"sync_time_s\": 6, \"drain_timer_ms\": 4000, \"grace_s\": 6, \"loss_slack_ms\": 200, "
          + "\"config_apply_ms\": 4000, \"revert_slack_ms\": 250, \"max_stretch_ms\": 15000, "
          + "\"recovery_s\": 15, \"completion_s\": 10, \"status_s\": 120, "
          + "\"early_slack_ms\": 100, \"ceiling_window_s\": 5, \"ceiling_excess\": 1.1}";

  private final Cluster cluster;
  private final AtomicInteger next = new AtomicInteger();

  /** About how long the bodies are. */
  int bodyBytes = 300;

  /** The bodies of the accepted messages, by the name that the system gave. */
  final Map<String, String> accepted = new ConcurrentHashMap<>();

  Messages(Cluster cluster) {
    this.cluster = cluster;
  }

  static String configuration(int revision, String extraRoutes, String services) {
    return "{\"revision\":"
        + revision
        + ",\"route_table\":["
        + route("plain", "/plain/", "inbox", false)
        + ","
        + route("ordered", "/ordered/", "inbox", true)
        + extraRoutes
        + "],\"service_table\":["
        + services
        + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
        + "\"header_timer_ms\":3000,\"idle_timer_ms\":15000}}";
  }

  static String route(String name, String prefix, String service, boolean ordered) {
    return "{\"name\":\""
        + name
        + "\",\"host_name\":\""
        + HOST
        + "\",\"path_prefix\":\""
        + prefix
        + "\",\"route_type\":\"asynchronous\",\"guard_timer_ms\":1500,\"target_latency_ms\":150,"
        + "\"target_start_ms\":1200,\"priority\":1,\"target_service\":\""
        + service
        + "\",\"max_attempts\":3,\"retention_s\":600,\"callback_uri\":false,"
        + "\"ordered_delivery\":"
        + ordered
        + "}";
  }

  static String service(String name) {
    return "{\"name\":\""
        + name
        + "\",\"health_path\":\"/health\",\"max_connections\":100,\"protocol\":\"h1\","
        + "\"tls\":false,\"dedup_capable\":false,\"rate_per_s\":0,\"fixed_endpoint\":null,"
        + "\"pull\":false}";
  }

  /** Sends one message, with further tries after a promise, and notes an acceptance. */
  String send(Cluster.Node edge, String path, String... headers) {
    String body = "message-" + next.incrementAndGet() + "-" + "x".repeat(bodyBytes);
    long until = System.nanoTime() + 2_000_000_000L;
    String last = "none";
    for (int attempt = 0; attempt < 3; attempt++) {
      long left = (until - System.nanoTime()) / 1_000_000;
      if (left < 100) {
        return last;
      }
      String[] all = new String[headers.length + 3];
      System.arraycopy(headers, 0, all, 3, headers.length);
      all[0] = "Host: " + HOST;
      all[1] = "X-Otterpond-Attempt-Id: m" + next.incrementAndGet() + "-" + attempt;
      all[2] = "X-Otterpond-Time-Remaining: " + left;
      try {
        Http.Message answer =
            Http.call(
                edge.front(),
                (int) left,
                Http.request("POST", path, body.getBytes(StandardCharsets.UTF_8), all));
        last = Integer.toString(answer.status());
        if (answer.status() == 202) {
          String name = answer.header("X-Otterpond-Message-Id");
          accepted.put(name, body);
          return "202 " + name;
        }
        if (answer.status() != 503 && answer.status() != 429) {
          return last;
        }
        Thread.sleep(100);
      } catch (IOException e) {
        return e.toString();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return last;
      }
    }
    return last;
  }

  /** Asks for the body or the state of a message at one node. */
  Http.Message ask(Cluster.Node edge, String what, String name) {
    try {
      return Http.call(
          edge.front(),
          2000,
          Http.request(
              "GET",
              "/-/" + what + "/" + name,
              null,
              "Host: " + HOST,
              "X-Otterpond-Attempt-Id: q" + next.incrementAndGet()));
    } catch (IOException e) {
      return null;
    }
  }
}
