package org.otterpond.chart;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Map;
import org.junit.jupiter.api.Test;

/** What the settings say of the losses to be borne, and of where the zones are. */
class LossSettingsTest {
  private static Settings read(String more) throws ChartException {
    return Settings.read(
        Fields.parse(
            "{\"node_name\":\"n\",\"ip\":\"10.0.0.1\",\"listen_points\":{},"
                + "\"internal_port_range\":[1,2],\"seed_peers\":[\"10.0.0.1:9\"]"
                + more
                + "}"));
  }

  @Test
  void lossesAndRegionsAreRead() throws ChartException {
    Settings s =
        read(
            ",\"zone\":\"a\",\"region\":\"r\",\"zones\":{\"a\":\"r\",\"b\":\"s\"},"
                + "\"fault_tolerance\":{\"machines\":2,\"zones\":1,\"regions\":1}");
    assertEquals(2, s.faults());
    assertEquals(1, s.zoneFaults());
    assertEquals(1, s.regionFaults());
    assertEquals(Map.of("a", "r", "b", "s"), s.regionOf());
    assertEquals(0, read("").regionFaults());
    assertEquals(Map.of(), read("").regionOf());
    assertThrows(ChartException.class, () -> read(",\"fault_tolerance\":{\"regions\":-1}"));
  }
}
