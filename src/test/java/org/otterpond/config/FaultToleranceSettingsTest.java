package org.otterpond.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Map;
import org.junit.jupiter.api.Test;

/** Parsing of the losses to tolerate and of the regions of the zones. */
class FaultToleranceSettingsTest {
  private static NodeSettings parse(String moreFields) throws ConfigException {
    return NodeSettingsParser.parse(
        JsonFields.parse(
            "{\"node_name\":\"n\",\"ip\":\"10.0.0.1\",\"listen_points\":{},"
                + "\"internal_port_range\":[1,2],\"seed_peers\":[\"10.0.0.1:9\"]"
                + moreFields
                + "}"));
  }

  @Test
  void givenLossesAndRegions_whenParsed_thenTheyAreInTheSettings() throws ConfigException {
    NodeSettings settings =
        parse(
            ",\"zone\":\"a\",\"region\":\"r\",\"zones\":{\"a\":\"r\",\"b\":\"s\"},"
                + "\"fault_tolerance\":{\"machines\":2,\"zones\":1,\"regions\":1}");
    assertEquals(2, settings.faults());
    assertEquals(1, settings.toleratedZones());
    assertEquals(1, settings.toleratedRegions());
    assertEquals(Map.of("a", "r", "b", "s"), settings.regionOf());
    assertEquals(0, parse("").toleratedRegions());
    assertEquals(Map.of(), parse("").regionOf());
    assertThrows(ConfigException.class, () -> parse(",\"fault_tolerance\":{\"regions\":-1}"));
  }
}
