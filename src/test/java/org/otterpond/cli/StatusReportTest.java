package org.otterpond.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A large fleet's status stays readable: totals by zone, then only what is not as it should be. */
class StatusReportTest {
  private static JsonObject fleet() {
    JsonObject o = new JsonObject();
    o.addProperty("epoch", 64);
    o.addProperty("confirmed", true);
    o.addProperty("revision", 9);
    o.addProperty("claims", 12);
    o.addProperty("primary", "core-1");
    o.add("backups", new JsonArray());
    o.add("core", new JsonArray());
    JsonArray silent = new JsonArray();
    silent.add("core-4");
    o.add("core_silent", silent);
    JsonArray nodes = new JsonArray();
    for (int i = 0; i < 100; i++) {
      JsonObject n = new JsonObject();
      n.addProperty("name", "node-" + i);
      n.addProperty("addr", "10.0.0." + i + ":7540");
      n.addProperty("zone", i % 2 == 0 ? "east" : "west");
      n.addProperty("cfg", i == 17 ? 8 : 9);
      n.addProperty("silent_ms", i == 31 ? 2_100 : 200);
      nodes.add(n);
    }
    o.add("nodes", nodes);
    o.add("quotas", new JsonArray());
    JsonArray workers = new JsonArray();
    for (int i = 0; i < 400; i++) {
      JsonObject w = new JsonObject();
      w.addProperty("id", "i-" + i);
      w.addProperty("zone", "east");
      w.addProperty("state", i == 5 ? "DRAINING" : "IN_SERVICE");
      w.addProperty("slots", 4);
      workers.add(w);
    }
    o.add("workers", workers);
    return o;
  }

  @Test
  void onlyWhatLagsOrLeavesIsListed() {
    List<String> lines = StatusReport.of(fleet(), false);
    String text = String.join("\n", lines);
    assertTrue(lines.size() < 15, text);
    assertTrue(
        text.contains("node-17 ") && text.contains("node-31 ") && text.contains("i-5 "), text);
    assertTrue(text.contains("core-4"), text);
    assertFalse(text.contains("node-18 "), text);
    String east = lines.stream().filter(l -> l.startsWith("east")).findFirst().orElseThrow();
    assertEquals(List.of("east", "50", "0", "399", "1596", "1"), List.of(east.split(" +")));
    String west = lines.stream().filter(l -> l.startsWith("west")).findFirst().orElseThrow();
    assertEquals(List.of("west", "50", "2", "0", "0", "0"), List.of(west.split(" +")));
  }

  @Test
  void everythingIsListedOnRequest() {
    assertTrue(StatusReport.of(fleet(), true).size() > 500);
  }
}
