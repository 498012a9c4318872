package org.otterpond.config;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** What one process is told by its settings file, checked. */
public record NodeSettings(
    String nodeName,
    String ip,
    String zone,
    String frontPoint,
    String readinessPoint,
    String controlPoint,
    int internalPort,
    List<String> seedAddresses,
    boolean initialStart,
    String dataDir,
    int memoryMb,
    int fileDescriptors,
    long heartbeatMicros,
    long contactMicros,
    long drainMicros,
    long graceMicros,
    double retryRatio,
    double retrySlack,
    long retryWindowMicros,
    long keyWindowMicros,
    String logLevel,
    boolean ejectSlow,
    int faults,
    boolean revocationGlobal,
    long revokeMicros,
    long quotaWindowMicros,
    double quotaExcess,
    double quotaSlack,
    String deployment,
    boolean storage,
    long statusMicros,
    long ceilingWindowMicros,
    double ceilingExcess,
    int diskMb,
    long holdMicros,
    long thawMicros,
    int zoneFaults,
    int regionFaults,
    Map<String, String> regionOf) {
  private static final Set<String> DEPLOYMENTS = Set.of("gateway", "queue");

  public static NodeSettings load(Path file) throws ConfigException {
    String text;
    try {
      text = Files.readString(file, StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new ConfigException("settings file: not readable: " + file);
    }
    return read(JsonFields.parse(text));
  }

  static NodeSettings read(JsonObject o) throws ConfigException {
    JsonFields f = JsonFields.of(o, "");
    JsonFields points = f.object("listen_points");
    JsonElement range = f.array("internal_port_range");
    int port;
    try {
      port = range.getAsJsonArray().get(0).getAsInt();
    } catch (RuntimeException e) {
      throw new ConfigException("internal_port_range: two port numbers are wanted");
    }
    if (port < 1 || port > 65_535) {
      throw new ConfigException("internal_port_range: outside 1 to 65535");
    }
    List<String> seeds = new ArrayList<>();
    for (JsonElement e : f.array("seed_peers")) {
      String s = e.isJsonPrimitive() ? e.getAsString() : "";
      int colon = s.lastIndexOf(':');
      if (colon < 1) {
        throw new ConfigException("seed_peers: address:port is wanted");
      }
      seeds.add(s.substring(0, colon) + ":" + port);
    }
    JsonFields b = f.has("bounds") ? f.object("bounds") : JsonFields.of(new JsonObject(), "bounds");
    JsonFields l = f.has("limits") ? f.object("limits") : JsonFields.of(new JsonObject(), "limits");
    JsonFields t =
        f.has("fault_tolerance")
            ? f.object("fault_tolerance")
            : JsonFields.of(new JsonObject(), "fault_tolerance");
    String ip = f.text("ip");
    return new NodeSettings(
        f.text("node_name"),
        ip,
        f.text("zone", "-"),
        point(points, "front_plain"),
        point(points, "readiness_point"),
        point(points, "control_point"),
        port,
        List.copyOf(seeds),
        f.truth("initial_start", false),
        f.text("data_dir", null),
        (int) l.whole("memory_mb", 1, 1 << 24, 256),
        (int) l.whole("file_descriptors", 64, 1 << 24, 1024),
        1000 * f.whole("heartbeat_ms", 1, 3_600_000, 1500),
        1000 * b.whole("contact_ms", 1, 3_600_000, 4000),
        1000 * b.whole("drain_timer_ms", 1, 3_600_000, 2000),
        (long) (1_000_000 * b.real("grace_s", 0.1, 6)),
        b.real("retry_ratio", 0, 0.2),
        b.real("retry_slack", 0, 0),
        (long) (1_000_000 * b.real("retry_window_s", 0.1, 10)),
        (long) (1_000_000 * b.real("key_window_s", 0, 60)),
        f.text("log_level", "info"),
        f.truth("eject_slow_workers", true),
        (int) t.whole("machines", 0, 100, 1),
        b.truth("revocation_global", false),
        1000 * b.whole("revoke_timer_ms", 1, 3_600_000, 5000),
        (long) (1_000_000 * b.real("quota_window_s", 0.1, 5)),
        b.real("quota_excess", 0, 0.1),
        b.real("quota_slack", 0, 0),
        deployment(f),
        serves(f, "storage"),
        (long) (1_000_000 * b.real("status_s", 0, 60)),
        (long) (1_000_000 * b.real("ceiling_window_s", 0.1, 5)),
        b.real("ceiling_excess", 1, 1.1),
        (int) l.whole("disk_mb", 0, 1 << 24, 256),
        1000 * b.whole("max_hold_ms", 100, 3_600_000, 10_000),
        1000 * b.whole("thaw_slack_ms", 0, 3_600_000, 300),
        (int) t.whole("zones", 0, 100, 0),
        (int) t.whole("regions", 0, 100, 0),
        regions(f, o));
  }

  /** The region of each zone that the file names, the own one at least. */
  private static Map<String, String> regions(JsonFields f, JsonObject o) throws ConfigException {
    Map<String, String> out = new TreeMap<>();
    if (f.has("region")) {
      out.put(f.text("zone", "-"), f.text("region"));
    }
    if (f.has("zones")) {
      JsonFields zones = f.object("zones");
      for (String zone : o.getAsJsonObject("zones").keySet()) {
        out.put(zone, zones.text(zone));
      }
    }
    return Map.copyOf(out);
  }

  private static String deployment(JsonFields f) throws ConfigException {
    String d = f.text("deployment", "gateway");
    if (!DEPLOYMENTS.contains(d)) {
      throw new ConfigException(
          f.at("deployment") + ": " + d + " is not known; gateway or queue is wanted");
    }
    return d;
  }

  private static boolean serves(JsonFields f, String what) throws ConfigException {
    if (!f.has("serves")) {
      return false;
    }
    for (JsonElement e : f.array("serves")) {
      if (e.isJsonPrimitive() && e.getAsString().equals(what)) {
        return true;
      }
    }
    return false;
  }

  private static String point(JsonFields points, String name) throws ConfigException {
    if (!points.has(name)) {
      return null;
    }
    String s = points.text(name);
    int colon = s.lastIndexOf(':');
    try {
      int port = Integer.parseInt(s.substring(colon + 1));
      if (colon < 1 || port < 1 || port > 65_535) {
        throw new ConfigException(points.at(name) + ": address:port is wanted");
      }
    } catch (NumberFormatException e) {
      throw new ConfigException(points.at(name) + ": address:port is wanted");
    }
    return s;
  }

  public String internalAddress() {
    return ip + ":" + internalPort;
  }
}
