package org.otterpond.config;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Parses and validates a complete configuration, and applies changes to one. Stateless. */
public final class ConfigurationParser {
  private static final long MAX_TIMER_MILLIS = 86_400_000L;
  private static final int MAX_HEADER_BYTES_LIMIT = 16 << 20;
  private static final int DEFAULT_MAX_CONNECTIONS = 100;
  private static final long MICROS_PER_MILLISECOND = 1000;
  private static final long MICROS_PER_SECOND = 1_000_000;
  private static final double MAX_SLOW_START_SECONDS = 86_400;
  private static final double MAX_SLOW_START_REQUESTS_PER_SECOND = 1e9;

  private ConfigurationParser() {}

  /**
   * Parses a complete configuration. Unknown fields are allowed.
   *
   * @throws ConfigException if it is not valid
   */
  public static GatewayConfiguration read(JsonObject configuration) throws ConfigException {
    JsonFields fields = JsonFields.of(configuration, "");
    final long revision = fields.whole("revision", 1, Long.MAX_VALUE);
    Map<String, Service> services = services(fields);
    List<Route> routes = new RouteParser(services).parse(fields);
    ClientLimits limits = limits(fields.optionalObject("limits"));
    List<Tenant> tenants = new TenantParser().parse(fields);
    return new GatewayConfiguration(revision, routes, services, limits, tenants);
  }

  /**
   * Returns the complete configuration after a change; both given objects stay as they are.
   *
   * @throws ConfigException if the change does not fit the current configuration
   */
  public static JsonObject modify(JsonObject current, JsonObject change) throws ConfigException {
    return ConfigurationChange.apply(current, change);
  }

  private static Map<String, Service> services(JsonFields configuration) throws ConfigException {
    Map<String, Service> services = new HashMap<>();
    JsonArray table = configuration.array("service_table");
    for (int i = 0; i < table.size(); i++) {
      JsonFields fields = JsonFields.of(table.get(i), "service_table[" + i + "]");
      Service service = service(fields);
      if (services.put(service.name(), service) != null) {
        throw new ConfigException(fields.at("name") + ": given twice");
      }
    }
    return services;
  }

  private static Service service(JsonFields fields) throws ConfigException {
    return new Service(
        fields.text("name"),
        fields.text("health_path", "/health"),
        (int) fields.whole("max_connections", 1, Integer.MAX_VALUE, DEFAULT_MAX_CONNECTIONS),
        fields.truth("dedup_capable", false),
        fields.real("rate_per_s", 0, 0),
        fixedEndpoint(fields),
        fields.truth("partitioned", false),
        Durations.seconds(fields, "warmup_period_s", 0, 0),
        slowStart(fields));
  }

  private static SlowStart slowStart(JsonFields fields) throws ConfigException {
    double seconds = fields.real("warmup_s", 0, MAX_SLOW_START_SECONDS, 0);
    return new SlowStart(
        (long) (seconds * MICROS_PER_SECOND),
        fields.real("warmup_per_s", 0, MAX_SLOW_START_REQUESTS_PER_SECOND, 0));
  }

  private static String fixedEndpoint(JsonFields fields) throws ConfigException {
    return fields.has("fixed_endpoint")
        ? Endpoints.checked(fields.text("fixed_endpoint"), fields.at("fixed_endpoint"))
        : null;
  }

  private static ClientLimits limits(JsonFields fields) throws ConfigException {
    ClientLimits standard = ClientLimits.standard();
    return new ClientLimits(
        (int)
            fields.whole("max_header_bytes", 1, MAX_HEADER_BYTES_LIMIT, standard.maxHeaderBytes()),
        fields.whole("max_body_bytes", 0, Long.MAX_VALUE, standard.maxBodyBytes()),
        clientTimer(fields, "header_timer_ms", standard.headerMicros()),
        clientTimer(fields, "idle_timer_ms", standard.idleMicros()));
  }

  private static long clientTimer(JsonFields fields, String name, long standardMicros)
      throws ConfigException {
    long standardMillis = standardMicros / MICROS_PER_MILLISECOND;
    return Durations.millis(fields, name, 1, MAX_TIMER_MILLIS, standardMillis);
  }
}
