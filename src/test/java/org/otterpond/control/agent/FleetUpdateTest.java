package org.otterpond.control.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.otterpond.protocol.WireRecord;

class FleetUpdateTest {
  @Test
  void digestIsReadFromItsLists() {
    WireRecord encoded =
        new WireRecord("fleet")
            .with("zones", List.of("east", 3L, "west", 2L))
            .with("rank", 1)
            .with("contacts", List.of("a1", "a2"))
            .with("beacons", List.of("east", "a3"));

    FleetUpdate fleet = FleetUpdate.of(encoded);

    assertEquals(
        new FleetUpdate(Map.of("east", 3, "west", 2), 1, List.of("a1", "a2"), Map.of("a3", "east")),
        fleet);
  }
}
