package org.otterpond.config;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Parses and validates the settings file of a process. Defaults are those of the operators' pages.
 */
final class NodeSettingsParser {
  private static final Set<String> DEPLOYMENTS = Set.of("gateway", "queue");
  private static final String STORAGE_ROLE = "storage";
  private static final String NO_ZONE = "-";
  private static final long MAX_TIMER_MILLIS = 3_600_000;
  private static final double MIN_WINDOW_SECONDS = 0.1;
  private static final int MAX_TOLERATED_LOSSES = 100;
  private static final int MAX_MEGABYTES = 1 << 24;
  private static final int MAX_FILE_DESCRIPTORS = 1 << 24;

  private final JsonFields settings;
  private final JsonFields bounds;

  private NodeSettingsParser(JsonObject object) throws ConfigException {
    settings = JsonFields.of(object, "");
    bounds = settings.optionalObject("bounds");
  }

  static NodeSettings parse(JsonObject object) throws ConfigException {
    return new NodeSettingsParser(object).parse();
  }

  private NodeSettings parse() throws ConfigException {
    checkDeployment();
    return new NodeSettings(
        node(),
        process(),
        timers(),
        retries(),
        quota(),
        revocation(),
        slowStart(),
        faultTolerance());
  }

  private void checkDeployment() throws ConfigException {
    String deployment = settings.text("deployment", "gateway");
    if (!DEPLOYMENTS.contains(deployment)) {
      throw new ConfigException(
          settings.at("deployment") + ": must be gateway or queue, not " + deployment);
    }
  }

  private NodeSettings.Node node() throws ConfigException {
    int internalPort = internalPort();
    return new NodeSettings.Node(
        settings.text("node_name"),
        settings.text("ip"),
        settings.text("zone", NO_ZONE),
        listenPoints(settings.object("listen_points")),
        internalPort,
        seedAddresses(internalPort));
  }

  private int internalPort() throws ConfigException {
    JsonArray range = settings.array("internal_port_range");
    int port;
    try {
      port = range.get(0).getAsInt();
    } catch (IndexOutOfBoundsException
        | NumberFormatException
        | IllegalStateException
        | UnsupportedOperationException e) {
      throw new ConfigException("internal_port_range: must be two port numbers", e);
    }
    if (!Endpoints.isPort(port)) {
      throw new ConfigException("internal_port_range: must be from 1 to 65535");
    }
    return port;
  }

  private List<String> seedAddresses(int internalPort) throws ConfigException {
    List<String> addresses = new ArrayList<>();
    for (JsonElement peer : settings.array("seed_peers")) {
      String endpoint = peer.isJsonPrimitive() ? peer.getAsString() : "";
      int colon = endpoint.lastIndexOf(':');
      if (colon < 1) {
        throw new ConfigException("seed_peers: must be a list of address:port");
      }
      addresses.add(endpoint.substring(0, colon) + ":" + internalPort);
    }
    return List.copyOf(addresses);
  }

  private static NodeSettings.ListenPoints listenPoints(JsonFields points) throws ConfigException {
    return new NodeSettings.ListenPoints(
        listenPoint(points, "front_plain"),
        listenPoint(points, "readiness_point"),
        listenPoint(points, "control_point"));
  }

  private static String listenPoint(JsonFields points, String name) throws ConfigException {
    return points.has(name) ? Endpoints.checked(points.text(name), points.at(name)) : null;
  }

  private NodeSettings.ProcessSettings process() throws ConfigException {
    return new NodeSettings.ProcessSettings(
        settings.truth("initial_start", false),
        settings.text("data_dir", null),
        serves(STORAGE_ROLE),
        resourceLimits(settings.optionalObject("limits")),
        settings.text("log_level", "info"),
        settings.truth("eject_slow_workers", true));
  }

  private boolean serves(String role) throws ConfigException {
    for (JsonElement served : settings.optionalArray("serves")) {
      if (served.isJsonPrimitive() && served.getAsString().equals(role)) {
        return true;
      }
    }
    return false;
  }

  private static NodeSettings.ResourceLimits resourceLimits(JsonFields limits)
      throws ConfigException {
    return new NodeSettings.ResourceLimits(
        (int) limits.whole("memory_mb", 1, MAX_MEGABYTES, 256),
        (int) limits.whole("file_descriptors", 64, MAX_FILE_DESCRIPTORS, 1024),
        (int) limits.whole("disk_mb", 0, MAX_MEGABYTES, 256));
  }

  private NodeSettings.Timers timers() throws ConfigException {
    return new NodeSettings.Timers(
        workerTimers(),
        Durations.seconds(bounds, "key_window_s", 0, 60),
        Durations.seconds(bounds, "status_s", 0, 60),
        Durations.millis(bounds, "max_hold_ms", 100, MAX_TIMER_MILLIS, 10_000),
        Durations.millis(bounds, "thaw_slack_ms", 0, MAX_TIMER_MILLIS, 300));
  }

  private NodeSettings.WorkerTimers workerTimers() throws ConfigException {
    return new NodeSettings.WorkerTimers(
        Durations.millis(settings, "heartbeat_ms", 1, MAX_TIMER_MILLIS, 1500),
        Durations.millis(bounds, "contact_ms", 1, MAX_TIMER_MILLIS, 4000),
        Durations.millis(bounds, "drain_timer_ms", 1, MAX_TIMER_MILLIS, 2000),
        Durations.seconds(bounds, "grace_s", MIN_WINDOW_SECONDS, 6));
  }

  private NodeSettings.Retries retries() throws ConfigException {
    return new NodeSettings.Retries(
        bounds.real("retry_ratio", 0, 0.2),
        bounds.real("retry_slack", 0, 0),
        Durations.seconds(bounds, "retry_window_s", MIN_WINDOW_SECONDS, 10));
  }

  private NodeSettings.Quota quota() throws ConfigException {
    return new NodeSettings.Quota(
        Durations.seconds(bounds, "quota_window_s", MIN_WINDOW_SECONDS, 5),
        bounds.real("quota_excess", 0, 0.1),
        bounds.real("quota_slack", 0, 0),
        Durations.seconds(bounds, "ceiling_window_s", MIN_WINDOW_SECONDS, 5),
        bounds.real("ceiling_excess", 1, 1.1));
  }

  private NodeSettings.Revocation revocation() throws ConfigException {
    return new NodeSettings.Revocation(
        bounds.truth("revocation_global", false),
        Durations.millis(bounds, "revoke_timer_ms", 1, MAX_TIMER_MILLIS, 5000));
  }

  private NodeSettings.SlowStartBounds slowStart() throws ConfigException {
    return new NodeSettings.SlowStartBounds(
        bounds.real("warmup_excess", 0, 1.5), bounds.real("warmup_slack", 0, 8));
  }

  private NodeSettings.Faults faultTolerance() throws ConfigException {
    JsonFields losses = settings.optionalObject("fault_tolerance");
    return new NodeSettings.Faults(
        (int) losses.whole("machines", 0, MAX_TOLERATED_LOSSES, 1),
        (int) losses.whole("zones", 0, MAX_TOLERATED_LOSSES, 0),
        (int) losses.whole("regions", 0, MAX_TOLERATED_LOSSES, 0),
        regionOf());
  }

  private Map<String, String> regionOf() throws ConfigException {
    Map<String, String> regions = new TreeMap<>();
    if (settings.has("region")) {
      regions.put(settings.text("zone", NO_ZONE), settings.text("region"));
    }
    JsonFields zones = settings.optionalObject("zones");
    for (String zone : zones.raw().keySet()) {
      regions.put(zone, zones.text(zone));
    }
    return Map.copyOf(regions);
  }
}
