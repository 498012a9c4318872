package org.otterpond.cli;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

/** What `status` prints: totals by zone, then what is not as it should be, or everything. */
final class StatusReport {
  /**
   * A node polls again at once and is answered within 0.7 s: one silent for longer may be out of
   * touch.
   */
  private static final long SILENT_MS = 1_500;

  private static final String WORKER = "%-20s %-20s %-24s %-18s %-12s %s";
  private static final String NODE = "%-28s %-24s %-18s %-10s %s";

  private final JsonObject status;
  private final List<String> lines = new ArrayList<>();

  private StatusReport(JsonObject status) {
    this.status = status;
  }

  static List<String> of(JsonObject status, boolean all) {
    StatusReport p = new StatusReport(status);
    p.core();
    p.zones();
    p.nodes(all);
    p.quotas();
    p.stores();
    p.keys();
    p.workers(all);
    return p.lines;
  }

  private void core() {
    line(
        "epoch %s%s, revision %s, %s operation keys",
        text(status, "epoch"),
        status.get("confirmed").getAsBoolean() ? "" : " (unconfirmed)",
        text(status, "revision"),
        text(status, "claims"));
    line(
        "primary %s, backups %s, core %s",
        text(status, "primary"), status.get("backups"), status.get("core"));
    if (!array("core_silent").isEmpty()) {
      line("core members not heard: %s", status.get("core_silent"));
    }
  }

  private void zones() {
    Map<String, int[]> zones = new TreeMap<>();
    for (JsonObject n : rows("nodes")) {
      int[] z = zones.computeIfAbsent(text(n, "zone"), x -> new int[5]);
      z[0]++;
      z[1] += lags(n) ? 1 : 0;
    }
    for (JsonObject w : rows("workers")) {
      int[] z = zones.computeIfAbsent(text(w, "zone"), x -> new int[5]);
      if (inService(w)) {
        z[2]++;
        z[3] += (int) number(w, "slots");
      } else if (text(w, "state").equals("DRAINING")) {
        z[4]++;
      }
    }
    line("%-24s %8s %8s %8s %8s %9s", "ZONE", "NODES", "LAGGING", "WORKERS", "SLOTS", "DRAINING");
    zones.forEach(
        (name, z) -> line("%-24s %8d %8d %8d %8d %9d", name, z[0], z[1], z[2], z[3], z[4]));
  }

  private void nodes(boolean all) {
    List<JsonObject> shown = matching("nodes", n -> all || lags(n));
    if (!shown.isEmpty()) {
      line(NODE, all ? "NODE" : "LAGGING NODE", "ADDRESS", "ZONE", "REVISION", "SILENT MS");
    }
    shown.forEach(
        n ->
            line(
                NODE,
                text(n, "name"),
                text(n, "addr"),
                text(n, "zone"),
                text(n, "cfg"),
                text(n, "silent_ms")));
  }

  private void quotas() {
    String row = "%-28s %10s %10s %10s %8s %12s %12s";
    List<JsonObject> quotas = rows("quotas");
    if (!quotas.isEmpty()) {
      line(row, "TENANT", "RATE", "BURST", "TOKENS", "LENT", "GRANTED", "DENIED");
    }
    quotas.forEach(
        q ->
            line(
                row,
                text(q, "name"),
                text(q, "rate"),
                text(q, "burst"),
                text(q, "tokens"),
                text(q, "out"),
                text(q, "granted"),
                text(q, "denied")));
  }

  private void stores() {
    String row = "%-28s %-20s %6s %6s %8s %8s %10s %10s";
    List<JsonObject> stores = rows("stores");
    if (stores.isEmpty()) {
      return;
    }
    line(
        "%s partitions, %s of them lack copies",
        text(status, "partitions"), text(status, "partitions_lacking"));
    line(row, "STORAGE", "ZONE", "LED", "HELD", "QUEUED", "DEAD", "OLDEST MS", "IN FLIGHT");
    stores.forEach(
        s ->
            line(
                row,
                text(s, "name"),
                text(s, "zone"),
                text(s, "led"),
                text(s, "held"),
                text(s, "queued"),
                text(s, "dead"),
                text(s, "oldest_ms"),
                text(s, "in_flight")));
  }

  private void keys() {
    String row = "%-28s %8s %8s %8s %10s %10s %10s";
    List<JsonObject> keys = rows("keys");
    if (!keys.isEmpty()) {
      line(row, "DIVIDED SERVICE", "RANGES", "OWNERS", "HELD", "GRANTING", "RELEASING", "EXPIRING");
    }
    keys.forEach(
        k ->
            line(
                row,
                text(k, "service"),
                text(k, "ranges"),
                text(k, "owners"),
                text(k, "held"),
                text(k, "granting"),
                text(k, "releasing"),
                text(k, "expiring")));
  }

  private void workers(boolean all) {
    List<JsonObject> shown = matching("workers", w -> all || !inService(w));
    if (!shown.isEmpty()) {
      line(
          WORKER,
          all ? "WORKER" : "WORKER LEAVING",
          "SERVICE",
          "ADDRESS",
          "ZONE",
          "STATE",
          "SLOTS");
    }
    shown.forEach(
        w ->
            line(
                WORKER,
                text(w, "id"),
                text(w, "service"),
                text(w, "addr"),
                text(w, "zone"),
                text(w, "state").toLowerCase(Locale.ROOT),
                text(w, "slots")));
  }

  private boolean lags(JsonObject node) {
    return number(node, "cfg") < number(status, "revision")
        || number(node, "silent_ms") > SILENT_MS;
  }

  private static boolean inService(JsonObject worker) {
    return text(worker, "state").equals("IN_SERVICE");
  }

  private List<JsonObject> matching(String list, Predicate<JsonObject> which) {
    return rows(list).stream().filter(which).toList();
  }

  private List<JsonObject> rows(String list) {
    List<JsonObject> out = new ArrayList<>();
    for (JsonElement e : array(list)) {
      out.add(e.getAsJsonObject());
    }
    return out;
  }

  private JsonArray array(String name) {
    return status.has(name) ? status.getAsJsonArray(name) : new JsonArray();
  }

  private static long number(JsonObject o, String name) {
    return o.has(name) ? o.get(name).getAsLong() : 0;
  }

  private static String text(JsonObject o, String name) {
    return o.has(name) && !o.get(name).isJsonNull() ? o.get(name).getAsString() : "-";
  }

  private void line(String format, Object... values) {
    lines.add(String.format(Locale.ROOT, format, values).stripTrailing());
  }
}
