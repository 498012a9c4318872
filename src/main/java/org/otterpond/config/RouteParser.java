package org.otterpond.config;

import com.google.gson.JsonArray;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Parses and validates the routes of one configuration. */
final class RouteParser {
  private static final long MAX_WEIGHT = 1_000_000_000L;
  private static final long MAX_TIMER_MILLIS = 86_400_000L;
  private static final double DEFAULT_RETENTION_SECONDS = 86_400;
  private static final int MAX_ATTEMPTS_LIMIT = 1000;

  private final Map<String, Service> services;
  private final Set<String> hostsAndPrefixes = new HashSet<>();
  private final Set<String> names = new HashSet<>();

  RouteParser(Map<String, Service> services) {
    this.services = services;
  }

  List<Route> parse(JsonFields configuration) throws ConfigException {
    List<Route> routes = new ArrayList<>();
    JsonArray table = configuration.array("route_table");
    for (int i = 0; i < table.size(); i++) {
      JsonFields fields = JsonFields.of(table.get(i), "route_table[" + i + "]");
      Route route = route(fields);
      checkUnique(route, fields);
      routes.add(route);
    }
    return routes;
  }

  private void checkUnique(Route route, JsonFields fields) throws ConfigException {
    if (!hostsAndPrefixes.add(route.host() + " " + route.prefix())) {
      throw new ConfigException(fields.at("path_prefix") + ": host and prefix given twice");
    }
    if (!names.add(route.name())) {
      throw new ConfigException(fields.at("name") + ": given twice");
    }
  }

  private Route route(JsonFields fields) throws ConfigException {
    List<RouteTarget> targets = targets(fields);
    checkServices(targets, fields);
    return new Route(
        fields.text("name"),
        fields.text("host_name").toLowerCase(Locale.ROOT),
        prefix(fields),
        RouteType.of(fields.text("route_type"), fields.at("route_type")),
        Durations.millis(fields, "guard_timer_ms", 1, MAX_TIMER_MILLIS),
        Durations.millis(fields, "target_latency_ms", 0, MAX_TIMER_MILLIS, 0),
        (int) fields.whole("priority", 0, Integer.MAX_VALUE, 0),
        targets,
        (int) fields.whole("max_attempts", 1, MAX_ATTEMPTS_LIMIT, 1),
        fields.truth("public_access", false),
        fields.truth("ordered_delivery", false),
        Durations.seconds(fields, "retention_s", 0, DEFAULT_RETENTION_SECONDS));
  }

  private static String prefix(JsonFields fields) throws ConfigException {
    String prefix = fields.text("path_prefix");
    if (!prefix.startsWith("/") || !prefix.endsWith("/")) {
      throw new ConfigException(fields.at("path_prefix") + ": must start and end with a slash");
    }
    return prefix;
  }

  private static List<RouteTarget> targets(JsonFields fields) throws ConfigException {
    if (!fields.has("weighted_targets")) {
      return List.of(new RouteTarget(fields.text("target_service"), 1));
    }
    List<RouteTarget> targets = new ArrayList<>();
    JsonArray list = fields.array("weighted_targets");
    for (int i = 0; i < list.size(); i++) {
      JsonFields target = JsonFields.of(list.get(i), fields.at("weighted_targets[" + i + "]"));
      targets.add(
          new RouteTarget(target.text("target_service"), target.whole("weight", 0, MAX_WEIGHT)));
    }
    if (targets.stream().mapToLong(RouteTarget::weight).sum() <= 0) {
      throw new ConfigException(fields.at("weighted_targets") + ": the weights add up to 0");
    }
    return List.copyOf(targets);
  }

  private void checkServices(List<RouteTarget> targets, JsonFields fields) throws ConfigException {
    for (RouteTarget target : targets) {
      if (!services.containsKey(target.service())) {
        throw new ConfigException(
            fields.at("target_service") + ": unknown service " + target.service());
      }
    }
  }
}
