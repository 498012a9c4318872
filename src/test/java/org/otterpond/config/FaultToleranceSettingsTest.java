package org.otterpond.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Map;
import org.junit.jupiter.api.Test;

/** What the settings say of the losses to be borne, and of where the zones are. */
class FaultToleranceSettingsTest {
  private static NodeSettings read(String more) throws ConfigException {
    return NodeSettings.read(
        JsonFields.parse(
            "{\"node_name\":\"n\",\"ip\":\"10.0.0.1\",\"listen_points\":{},"
                + "\"internal_port_range\":[1,2],\"seed_peers\":[\"10.0.0.1:9\"]"
                + more
                + "}"));
  }

  @Test
  void lossesAndRegionsAreRead() throws ConfigException {
    NodeSettings s =
        read(
            ",\"zone\":\"a\",\"region\":\"r\",\"zones\":{\"a\":\"r\",\"b\":\"s\"},"
                + "\"fault_tolerance\":{\"machines\":2,\"zones\":1,\"regions\":1}");
    assertEquals(2, s.faults());
    assertEquals(1, s.zoneFaults());
    assertEquals(1, s.regionFaults());
    assertEquals(Map.of("a", "r", "b", "s"), s.regionOf());
    assertEquals(0, read("").regionFaults());
    assertEquals(Map.of(), read("").regionOf());
    assertThrows(ConfigException.class, () -> read(",\"fault_tolerance\":{\"regions\":-1}"));
  }
}
