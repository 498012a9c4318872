package org.otterpond.keyrange;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;
import org.otterpond.protocol.Encodable;
import org.otterpond.protocol.Fixtures;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;
import org.otterpond.protocol.WireRecordCodec;

/** Typed entries, reports and figures of key ranges keep the bytes of an earlier version. */
class KeyRangeMessagesTest {
  private record Sample(WireRecord encoded, String hex) {}

  private static List<Sample> samples(String kind, String fields) throws ProtocolException {
    List<Sample> samples = new ArrayList<>();
    for (String line : Fixtures.lines("messages.txt")) {
      String[] columns = line.split("\t", -1);
      if (columns[0].equals(kind) && columns[1].startsWith(fields)) {
        byte[] bytes = HexFormat.of().parseHex(columns[2]);
        samples.add(new Sample(WireRecordCodec.decode(bytes, 0, bytes.length), columns[2]));
      }
    }
    return samples;
  }

  private interface Reader {
    Encodable read(WireRecord encoded) throws ProtocolException;
  }

  private static Stream<DynamicTest> roundTrips(String kind, String fields, Reader reader)
      throws ProtocolException {
    List<Sample> samples = samples(kind, fields);
    assertTrue(!samples.isEmpty(), kind);
    return samples.stream()
        .map(
            sample ->
                DynamicTest.dynamicTest(
                    sample.encoded().toString(),
                    () -> {
                      byte[] again =
                          WireRecordCodec.encode(reader.read(sample.encoded()).toWireRecord());
                      assertEquals(sample.hex(), HexFormat.of().formatHex(again));
                    }));
  }

  @TestFactory
  Stream<DynamicTest> givenTableEntry_whenReadAndEncodedAgain_thenBytesAreTheSame()
      throws ProtocolException {
    return roundTrips("assign", "key,service,from", KeyRangeEntry::decode);
  }

  @Test
  void givenNestedLoadReports_whenReadAndEncodedAgain_thenBytesAreTheSame()
      throws ProtocolException {
    int reports = 0;
    for (Sample poll : samples("poll", "")) {
      for (WireRecord report : poll.encoded().records("heat")) {
        reports++;
        assertEquals(
            HexFormat.of().formatHex(WireRecordCodec.encode(report)),
            HexFormat.of()
                .formatHex(WireRecordCodec.encode(KeyLoadReport.of(report).toWireRecord())));
      }
    }
    assertTrue(reports > 0);
  }

  /** Figures are only written by this version, so the sample is built again from its numbers. */
  @Test
  void givenNestedFigures_whenBuiltAndEncodedAgain_thenBytesAreTheSame() throws ProtocolException {
    int services = 0;
    for (Sample reply : samples("reply", "")) {
      for (WireRecord figures : reply.encoded().records("keys")) {
        services++;
        assertEquals(
            HexFormat.of().formatHex(WireRecordCodec.encode(figures)),
            HexFormat.of().formatHex(WireRecordCodec.encode(rebuilt(figures).toWireRecord())));
      }
    }
    assertTrue(services > 0);
  }

  private static KeyRangeStatus rebuilt(WireRecord figures) {
    Map<KeyRangeState, Integer> byState = new EnumMap<>(KeyRangeState.class);
    byState.put(KeyRangeState.HELD, (int) figures.number("held"));
    byState.put(KeyRangeState.GRANTING, (int) figures.number("granting"));
    byState.put(KeyRangeState.RELEASING, (int) figures.number("releasing"));
    byState.put(KeyRangeState.EXPIRING, (int) figures.number("expiring"));
    return new KeyRangeStatus(
        figures.text("service"),
        (int) figures.number("ranges"),
        (int) figures.number("owners"),
        byState,
        figures.number("fence"));
  }

  @Test
  void givenReportWithoutService_whenRead_thenErrorNamesTheField() {
    WireRecord malformed = new WireRecord("heat").with("work", 1L);

    ProtocolException error =
        assertThrows(ProtocolException.class, () -> KeyLoadReport.of(malformed));

    assertTrue(error.getMessage().contains("service"), error.getMessage());
  }
}
