package org.otterpond.config;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonPrimitive;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Reads and checks a whole configuration, and works out what a change to one gives. */
public final class ConfigurationParser {
  private static final long MAX_MILLIS = 86_400_000L;
  private static final long MAX_WEIGHT = 1_000_000_000L;

  private ConfigurationParser() {}

  public static GatewayConfiguration read(JsonObject whole) throws ConfigException {
    JsonFields f = JsonFields.of(whole, "");
    long revision = f.whole("revision", 1, Long.MAX_VALUE);
    Map<String, Service> services = new HashMap<>();
    JsonArray list = f.array("service_table");
    for (int i = 0; i < list.size(); i++) {
      JsonFields s = JsonFields.of(list.get(i), "service_table[" + i + "]");
      Service service =
          new Service(
              s.text("name"),
              s.text("health_path", "/health"),
              (int) s.whole("max_connections", 1, Integer.MAX_VALUE, 100),
              s.truth("dedup_capable", false),
              s.real("rate_per_s", 0, 0),
              endpoint(s),
              s.truth("partitioned", false),
              (long) (1_000_000 * s.real("warmup_period_s", 0, 0)));
      if (services.put(service.name(), service) != null) {
        throw new ConfigException(s.at("name") + ": given twice");
      }
    }
    List<Route> routes = new ArrayList<>();
    Set<String> places = new HashSet<>();
    Set<String> names = new HashSet<>();
    list = f.array("route_table");
    for (int i = 0; i < list.size(); i++) {
      Route r = route(JsonFields.of(list.get(i), "route_table[" + i + "]"), services);
      if (!places.add(r.host() + " " + r.prefix())) {
        throw new ConfigException(
            "route_table[" + i + "].path_prefix: host and prefix given twice");
      }
      if (!names.add(r.name())) {
        throw new ConfigException("route_table[" + i + "].name: given twice");
      }
      routes.add(r);
    }
    ClientLimits limits = ClientLimits.standard();
    if (f.has("limits")) {
      JsonFields l = f.object("limits");
      limits =
          new ClientLimits(
              (int) l.whole("max_header_bytes", 1, 16 << 20, limits.maxHeaderBytes()),
              l.whole("max_body_bytes", 0, Long.MAX_VALUE, limits.maxBodyBytes()),
              1000 * l.whole("header_timer_ms", 1, MAX_MILLIS, limits.headerMicros() / 1000),
              1000 * l.whole("idle_timer_ms", 1, MAX_MILLIS, limits.idleMicros() / 1000));
    }
    return new GatewayConfiguration(revision, routes, services, limits, tenants(f));
  }

  private static List<Tenant> tenants(JsonFields f) throws ConfigException {
    List<Tenant> out = new ArrayList<>();
    if (!f.has("subscribers")) {
      return out;
    }
    Set<String> names = new HashSet<>();
    Set<String> taken = new HashSet<>();
    JsonArray list = f.array("subscribers");
    for (int i = 0; i < list.size(); i++) {
      JsonFields s = JsonFields.of(list.get(i), "subscribers[" + i + "]");
      String name = s.text("name");
      if (!names.add(name)) {
        throw new ConfigException(s.at("name") + ": given twice");
      }
      if (!name.chars().allMatch(c -> c > ' ' && c < 0x7f)) {
        throw new ConfigException(
            s.at("name") + ": must fit into a header: printable ASCII without spaces");
      }
      List<String> keys = new ArrayList<>();
      if (s.has("access_keys")) {
        JsonArray given = s.array("access_keys");
        for (int k = 0; k < given.size(); k++) {
          String at = s.at("access_keys[" + k + "]");
          if (!(given.get(k) instanceof JsonPrimitive p)
              || !p.isString()
              || p.getAsString().isEmpty()) {
            throw new ConfigException(at + ": a text that is not empty is wanted");
          }
          // The key itself is never named: causes are logged and sent about.
          if (!taken.add(p.getAsString())) {
            throw new ConfigException(at + ": this key is given already");
          }
          keys.add(p.getAsString());
        }
      }
      out.add(
          new Tenant(
              name,
              List.copyOf(keys),
              (int) s.whole("priority", 0, Integer.MAX_VALUE, 0),
              s.real("rate_per_s", 0, 0),
              s.real("burst_size", 0, 0)));
    }
    return out;
  }

  private static Route route(JsonFields r, Map<String, Service> services) throws ConfigException {
    List<RouteTarget> targets = new ArrayList<>();
    if (r.has("weighted_targets")) {
      JsonArray split = r.array("weighted_targets");
      for (int i = 0; i < split.size(); i++) {
        JsonFields t = JsonFields.of(split.get(i), r.at("weighted_targets[" + i + "]"));
        targets.add(new RouteTarget(t.text("target_service"), t.whole("weight", 0, MAX_WEIGHT)));
      }
      if (targets.stream().mapToLong(RouteTarget::weight).sum() <= 0) {
        throw new ConfigException(r.at("weighted_targets") + ": the weights add up to 0");
      }
    } else {
      targets.add(new RouteTarget(r.text("target_service"), 1));
    }
    for (RouteTarget t : targets) {
      if (!services.containsKey(t.service())) {
        throw new ConfigException(r.at("target_service") + ": unknown service " + t.service());
      }
    }
    String prefix = r.text("path_prefix");
    if (!prefix.startsWith("/") || !prefix.endsWith("/")) {
      throw new ConfigException(r.at("path_prefix") + ": begins and ends with a slash");
    }
    return new Route(
        r.text("name"),
        r.text("host_name").toLowerCase(Locale.ROOT),
        prefix,
        RouteType.of(r.text("route_type"), r.at("route_type")),
        1000 * r.whole("guard_timer_ms", 1, MAX_MILLIS),
        1000 * r.whole("target_latency_ms", 0, MAX_MILLIS, 0),
        (int) r.whole("priority", 0, Integer.MAX_VALUE, 0),
        List.copyOf(targets),
        (int) r.whole("max_attempts", 1, 1000, 1),
        r.truth("public_access", false),
        r.truth("ordered_delivery", false),
        (long) (1_000_000 * r.real("retention_s", 0, 86_400)));
  }

  /** The address of a service that is one endpoint, or null. */
  private static String endpoint(JsonFields s) throws ConfigException {
    if (!s.has("fixed_endpoint")) {
      return null;
    }
    String at = s.text("fixed_endpoint");
    int colon = at.lastIndexOf(':');
    try {
      int port = Integer.parseInt(at.substring(colon + 1));
      if (colon > 0 && port > 0 && port < 65_536) {
        return at;
      }
    } catch (NumberFormatException e) {
      // Said below.
    }
    throw new ConfigException(s.at("fixed_endpoint") + ": address:port is wanted");
  }

  /** The whole configuration that a change makes of the current one. */
  public static JsonObject modify(JsonObject current, JsonObject change) throws ConfigException {
    JsonFields f = JsonFields.of(change, "");
    JsonObject out = current.deepCopy();
    out.addProperty("revision", f.whole("revision", 1, Long.MAX_VALUE));
    if (f.has("remove_items")) {
      JsonFields tables = f.object("remove_items");
      for (String table : tables.raw().keySet()) {
        Map<String, JsonElement> items = items(out, table, tables.at(table));
        for (JsonElement name : tables.array(table)) {
          if (!name.isJsonPrimitive() || !name.getAsJsonPrimitive().isString()) {
            throw new ConfigException(tables.at(table) + ": a list of names is wanted");
          }
          items.remove(name.getAsString());
        }
        put(out, table, items);
      }
    }
    if (f.has("upsert_items")) {
      JsonFields tables = f.object("upsert_items");
      for (String table : tables.raw().keySet()) {
        if (tables.raw().get(table).isJsonObject() && !out.has(table)
            || out.has(table) && out.get(table).isJsonObject()) {
          out.add(table, JsonFields.of(tables.raw().get(table), tables.at(table)).raw());
          continue;
        }
        Map<String, JsonElement> items = items(out, table, tables.at(table));
        JsonArray list = tables.array(table);
        for (int i = 0; i < list.size(); i++) {
          String at = tables.at(table) + "[" + i + "]";
          items.put(JsonFields.of(list.get(i), at).text("name"), list.get(i));
        }
        put(out, table, items);
      }
    }
    if (f.has("limits")) {
      out.add("limits", f.object("limits").raw());
    }
    return out;
  }

  private static Map<String, JsonElement> items(JsonObject whole, String table, String at)
      throws ConfigException {
    Map<String, JsonElement> out = new LinkedHashMap<>();
    if (!whole.has(table)) {
      return out;
    }
    if (!whole.get(table).isJsonArray()) {
      throw new ConfigException(at + ": not a table of named items");
    }
    for (JsonElement e : whole.getAsJsonArray(table)) {
      out.put(e.getAsJsonObject().get("name").getAsString(), e);
    }
    return out;
  }

  private static void put(JsonObject whole, String table, Map<String, JsonElement> items) {
    JsonArray list = new JsonArray();
    items.values().forEach(list::add);
    whole.add(table, list);
  }
}
