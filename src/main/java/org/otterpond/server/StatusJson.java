package org.otterpond.server;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.List;
import java.util.function.Function;
import org.otterpond.control.message.NodeStatus;
import org.otterpond.control.message.PartitionStatus;
import org.otterpond.control.message.QuotaStatus;
import org.otterpond.control.message.StatusReply;
import org.otterpond.control.message.WorkerReport;
import org.otterpond.control.state.CoreMember;
import org.otterpond.control.state.WorkerInstance;
import org.otterpond.protocol.WireRecord;

/** Renders the status of the deployment as the JSON object of the control API. */
final class StatusJson {
  private static final List<String> MESSAGE_STORE_FIGURES =
      List.of("led", "held", "queued", "dead", "oldest_ms", "in_flight");

  /** A figure that nodes of earlier versions do not report. */
  private static final String STRANDED = "stranded";

  private static final List<String> KEY_RANGE_FIELDS =
      List.of("service", "ranges", "owners", "held", "granting", "releasing", "expiring", "fence");
  private static final WireRecord NO_FIGURES = new WireRecord("figures");

  private StatusJson() {}

  /** Renders a status. */
  static JsonObject of(StatusReply status) {
    JsonObject json = new JsonObject();
    addCore(json, status);
    json.addProperty("revision", status.state().committedRevision());
    json.addProperty("claims", status.state().lockedKeys());
    json.add("nodes", array(status.fleet().nodes(), StatusJson::node));
    json.add("quotas", array(status.resources().quotas(), StatusJson::quota));
    json.add("workers", array(status.fleet().workers(), StatusJson::worker));
    json.add("stores", array(status.fleet().stores(), StatusJson::messageStore));
    json.add("keys", array(status.resources().keyRanges(), StatusJson::keyRanges));
    addPartitions(json, status.resources().partitions());
    return json;
  }

  private static void addCore(JsonObject json, StatusReply status) {
    StatusReply.Core core = status.core();
    json.addProperty("confirmed", status.confirmed());
    json.addProperty("epoch", core.epochRecord().epoch());
    json.addProperty("primary", core.epochRecord().primary().name());
    json.add("backups", names(core.epochRecord().backups()));
    json.add("core", names(core.epochRecord().members()));
    JsonArray silentMembers = new JsonArray();
    core.silentMembers().forEach(silentMembers::add);
    json.add("core_silent", silentMembers);
  }

  private static void addPartitions(JsonObject json, PartitionStatus partitions) {
    json.addProperty("partitions", partitions == null ? 0 : partitions.count());
    json.addProperty("partitions_lacking", partitions == null ? 0 : partitions.underReplicated());
  }

  private static JsonArray names(List<CoreMember> members) {
    JsonArray names = new JsonArray();
    members.forEach(member -> names.add(member.name()));
    return names;
  }

  private static <T> JsonArray array(List<T> rows, Function<T, JsonObject> render) {
    JsonArray array = new JsonArray();
    rows.forEach(row -> array.add(render.apply(row)));
    return array;
  }

  private static JsonObject node(NodeStatus node) {
    JsonObject json = identity(node);
    json.addProperty("cfg", node.configurationRevision());
    json.addProperty("silent_ms", node.silentMillis());
    return json;
  }

  private static JsonObject messageStore(NodeStatus node) {
    JsonObject json = identity(node);
    WireRecord figures = node.messageStoreFigures();
    addFields(json, figures == null ? NO_FIGURES : figures, MESSAGE_STORE_FIGURES);
    if (figures != null && figures.has(STRANDED)) {
      json.addProperty(STRANDED, figures.number(STRANDED));
    }
    json.addProperty("silent_ms", node.silentMillis());
    return json;
  }

  private static JsonObject identity(NodeStatus node) {
    JsonObject json = new JsonObject();
    json.addProperty("name", node.name());
    json.addProperty("addr", node.address());
    json.addProperty("zone", node.zone());
    return json;
  }

  private static JsonObject quota(QuotaStatus quota) {
    JsonObject json = new JsonObject();
    json.addProperty("name", quota.name());
    json.addProperty("rate", quota.limit().ratePerSecond());
    json.addProperty("burst", quota.limit().burst());
    json.addProperty("tokens", quota.tokens());
    json.addProperty("out", quota.outstanding());
    json.addProperty("granted", quota.totals().granted());
    json.addProperty("denied", quota.totals().denied());
    return json;
  }

  private static JsonObject worker(WorkerReport report) {
    WorkerInstance worker = report.worker(0);
    JsonObject json = new JsonObject();
    json.addProperty("id", worker.id());
    json.addProperty("service", worker.service());
    json.addProperty("addr", worker.address());
    json.addProperty("zone", String.valueOf(worker.zone()));
    json.addProperty("state", worker.state().name());
    json.addProperty("slots", worker.slots());
    return json;
  }

  private static JsonObject keyRanges(WireRecord row) {
    JsonObject json = new JsonObject();
    addFields(json, row, KEY_RANGE_FIELDS);
    return json;
  }

  /** Adds fields of an encoded row; a field that was left out becomes the text "null". */
  private static void addFields(JsonObject json, WireRecord row, List<String> names) {
    for (String name : names) {
      Object value = row.fields().get(name);
      if (value instanceof Number number) {
        json.addProperty(name, number);
      } else {
        json.addProperty(name, String.valueOf(value));
      }
    }
  }
}
