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

/**
 * The text that {@code status} prints: the core, totals by zone, then the nodes that lag and the
 * workers that are leaving, or all of them.
 */
final class StatusReport {
  /** The primary answers polls within 0.7 s: a node silent for longer may be out of touch. */
  private static final long MAX_SILENCE_MILLIS = 1_500;

  private static final String WORKER_ROW = "%-20s %-20s %-24s %-18s %-12s %s";
  private static final String NODE_ROW = "%-28s %-24s %-18s %-10s %s";

  private static final String ZONE_HEADER = "%-24s %8s %8s %8s %8s %9s";
  private static final String ZONE_ROW = "%-24s %8d %8d %8d %8d %9d";

  private final JsonObject status;
  private final List<String> lines = new ArrayList<>();

  private static final class ZoneTotals {
    int nodes;
    int lagging;
    int workersInService;
    int slots;
    int draining;

    void addNode(boolean lags) {
      nodes++;
      lagging += lags ? 1 : 0;
    }

    void addWorker(JsonObject worker) {
      if (inService(worker)) {
        workersInService++;
        slots += (int) number(worker, "slots");
      } else if (text(worker, "state").equals("DRAINING")) {
        draining++;
      }
    }
  }

  private StatusReport(JsonObject status) {
    this.status = status;
  }

  /**
   * Formats an answer of the control API.
   *
   * @param all whether to list every node and worker
   * @return the lines to print
   */
  static List<String> of(JsonObject status, boolean all) {
    StatusReport report = new StatusReport(status);
    report.addCore();
    report.addZones();
    report.addNodes(all);
    report.addQuotas();
    report.addMessageStores();
    report.addKeyRanges();
    report.addWorkers(all);
    return report.lines;
  }

  private void addCore() {
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
    JsonObject gone = status.getAsJsonObject("clients_gone_here");
    if (gone != null) {
      line(
          "clients gone at the node asked: %s requests cancelled, %s continued, %s violations",
          text(gone, "cancelled"), text(gone, "continued"), text(gone, "violations"));
    }
  }

  private void addZones() {
    Map<String, ZoneTotals> zones = new TreeMap<>();
    for (JsonObject node : rows("nodes")) {
      zones.computeIfAbsent(text(node, "zone"), zone -> new ZoneTotals()).addNode(lags(node));
    }
    for (JsonObject worker : rows("workers")) {
      zones.computeIfAbsent(text(worker, "zone"), zone -> new ZoneTotals()).addWorker(worker);
    }
    line(ZONE_HEADER, "ZONE", "NODES", "LAGGING", "WORKERS", "SLOTS", "DRAINING");
    zones.forEach(
        (zone, totals) ->
            line(
                ZONE_ROW,
                zone,
                totals.nodes,
                totals.lagging,
                totals.workersInService,
                totals.slots,
                totals.draining));
  }

  private void addNodes(boolean all) {
    List<JsonObject> shown = matching("nodes", node -> all || lags(node));
    if (!shown.isEmpty()) {
      line(NODE_ROW, all ? "NODE" : "LAGGING NODE", "ADDRESS", "ZONE", "REVISION", "SILENT MS");
    }
    shown.forEach(
        node ->
            line(
                NODE_ROW,
                text(node, "name"),
                text(node, "addr"),
                text(node, "zone"),
                text(node, "cfg"),
                text(node, "silent_ms")));
  }

  private void addQuotas() {
    String row = "%-28s %10s %10s %10s %8s %12s %12s";
    List<JsonObject> quotas = rows("quotas");
    if (!quotas.isEmpty()) {
      line(row, "TENANT", "RATE", "BURST", "TOKENS", "LENT", "GRANTED", "DENIED");
    }
    quotas.forEach(
        quota ->
            line(
                row,
                text(quota, "name"),
                text(quota, "rate"),
                text(quota, "burst"),
                text(quota, "tokens"),
                text(quota, "out"),
                text(quota, "granted"),
                text(quota, "denied")));
  }

  private void addMessageStores() {
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
        store ->
            line(
                row,
                text(store, "name"),
                text(store, "zone"),
                text(store, "led"),
                text(store, "held"),
                text(store, "queued"),
                text(store, "dead"),
                text(store, "oldest_ms"),
                text(store, "in_flight")));
  }

  private void addKeyRanges() {
    String row = "%-28s %8s %8s %8s %10s %10s %10s";
    List<JsonObject> keys = rows("keys");
    if (!keys.isEmpty()) {
      line(row, "DIVIDED SERVICE", "RANGES", "OWNERS", "HELD", "GRANTING", "RELEASING", "EXPIRING");
    }
    keys.forEach(
        service ->
            line(
                row,
                text(service, "service"),
                text(service, "ranges"),
                text(service, "owners"),
                text(service, "held"),
                text(service, "granting"),
                text(service, "releasing"),
                text(service, "expiring")));
  }

  private void addWorkers(boolean all) {
    List<JsonObject> shown = matching("workers", worker -> all || !inService(worker));
    if (!shown.isEmpty()) {
      line(
          WORKER_ROW,
          all ? "WORKER" : "WORKER LEAVING",
          "SERVICE",
          "ADDRESS",
          "ZONE",
          "STATE",
          "SLOTS");
    }
    shown.forEach(
        worker ->
            line(
                WORKER_ROW,
                text(worker, "id"),
                text(worker, "service"),
                text(worker, "addr"),
                text(worker, "zone"),
                text(worker, "state").toLowerCase(Locale.ROOT),
                text(worker, "slots")));
  }

  private boolean lags(JsonObject node) {
    return number(node, "cfg") < number(status, "revision")
        || number(node, "silent_ms") > MAX_SILENCE_MILLIS;
  }

  private static boolean inService(JsonObject worker) {
    return text(worker, "state").equals("IN_SERVICE");
  }

  private List<JsonObject> matching(String list, Predicate<JsonObject> predicate) {
    return rows(list).stream().filter(predicate).toList();
  }

  private List<JsonObject> rows(String list) {
    List<JsonObject> rows = new ArrayList<>();
    for (JsonElement row : array(list)) {
      rows.add(row.getAsJsonObject());
    }
    return rows;
  }

  private JsonArray array(String name) {
    return status.has(name) ? status.getAsJsonArray(name) : new JsonArray();
  }

  private static long number(JsonObject row, String name) {
    return row.has(name) ? row.get(name).getAsLong() : 0;
  }

  private static String text(JsonObject row, String name) {
    return row.has(name) && !row.get(name).isJsonNull() ? row.get(name).getAsString() : "-";
  }

  private void line(String format, Object... values) {
    lines.add(String.format(Locale.ROOT, format, values).stripTrailing());
  }
}
