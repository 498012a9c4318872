package org.otterpond.soak;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.List;

/** The gateway configuration of a soak: a route of each kind and two tenants, one with a quota. */
final class SoakConfiguration {
  static final String HOST = "soak.example";
  static final String SERVICE = "soaked";

  /** The access keys of the tenants; the second one has a quota. */
  static final List<String> ACCESS_KEYS = List.of("soak-free", "soak-limited");

  /** Longest time of a request. */
  static final int TIMEOUT_MILLIS = 5_000;

  /** What a worker bears in slow start. */
  static final int SLOW_START_REQUESTS_PER_SECOND = 4;

  private static final int LATENCY_TARGET_MILLIS = 1_200;
  private static final int MAX_ATTEMPTS = 2;
  private static final int QUOTA_PER_SECOND = 40;
  private static final int QUOTA_BURST = 20;

  private SoakConfiguration() {}

  /** Returns the whole configuration of a revision. */
  static String text(long revision) {
    JsonArray routes = new JsonArray();
    for (RequestKind kind : RequestKind.values()) {
      routes.add(route(kind));
    }
    JsonObject service = new JsonObject();
    service.addProperty("name", SERVICE);
    service.addProperty("warmup_s", 3);
    service.addProperty("warmup_per_s", SLOW_START_REQUESTS_PER_SECOND);
    JsonArray services = new JsonArray();
    services.add(service);
    JsonArray tenants = new JsonArray();
    tenants.add(tenant("free", ACCESS_KEYS.get(0)));
    JsonObject limited = tenant("limited", ACCESS_KEYS.get(1));
    limited.addProperty("rate_per_s", QUOTA_PER_SECOND);
    limited.addProperty("burst_size", QUOTA_BURST);
    tenants.add(limited);
    JsonObject configuration = new JsonObject();
    configuration.addProperty("revision", revision);
    configuration.add("route_table", routes);
    configuration.add("service_table", services);
    configuration.add("subscribers", tenants);
    return configuration.toString();
  }

  private static JsonObject route(RequestKind kind) {
    JsonObject route = new JsonObject();
    route.addProperty("name", kind.routeType());
    route.addProperty("host_name", HOST);
    route.addProperty("path_prefix", kind.prefix());
    route.addProperty("route_type", kind.routeType());
    route.addProperty("guard_timer_ms", TIMEOUT_MILLIS);
    route.addProperty("target_latency_ms", LATENCY_TARGET_MILLIS);
    route.addProperty("target_service", SERVICE);
    route.addProperty("max_attempts", MAX_ATTEMPTS);
    return route;
  }

  private static JsonObject tenant(String name, String accessKey) {
    JsonArray keys = new JsonArray();
    keys.add(accessKey);
    JsonObject tenant = new JsonObject();
    tenant.addProperty("name", name);
    tenant.add("access_keys", keys);
    return tenant;
  }
}
