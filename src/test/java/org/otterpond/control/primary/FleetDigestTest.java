package org.otterpond.control.primary;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.otterpond.control.message.FleetSummary;
import org.otterpond.control.message.PollingNode;

class FleetDigestTest {
  private static void add(Map<String, PollingNode> nodes, String name, String zone, String disk) {
    nodes.put(name, new PollingNode(name, name, zone, disk, 1, null));
  }

  @Test
  void givenTwoZones_whenSummaryIsMade_thenContactsAreNextInRingAndOneOfNextZone() {
    // given
    Map<String, PollingNode> nodes = new HashMap<>();
    for (int i = 0; i < 7; i++) {
      add(nodes, "a" + i, "za", i == 0 ? "disk" : null);
    }
    add(nodes, "b0", "zb", null);
    add(nodes, "b1", "zb", null);

    // when
    FleetSummary summary = FleetDigest.of(1, nodes).summaryFor("za", "a5");

    // then
    assertEquals(Map.of("za", 7, "zb", 2), summary.nodesByZone());
    assertEquals(5, summary.rank());
    assertEquals(List.of("a6", "a0", "a1", "a2", "b1"), summary.contacts());
    assertEquals(Map.of("a0", "za"), summary.coreNodeZones());
  }

  @Test
  void givenOneNode_whenSummaryIsMade_thenItHasNoContacts() {
    Map<String, PollingNode> nodes = new HashMap<>();
    add(nodes, "a0", "za", null);
    assertEquals(List.of(), FleetDigest.of(1, nodes).summaryFor("za", "a0").contacts());
  }
}
