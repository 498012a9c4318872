package org.otterpond.control.epoch.message;

import static org.junit.jupiter.api.Assertions.assertAll;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.function.Executable;
import org.otterpond.protocol.Encodable;
import org.otterpond.protocol.Fixtures;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;
import org.otterpond.protocol.WireRecordCodec;

/** Epoch messages and log records of an earlier version are read and written as the same bytes. */
class EpochMessageGoldenTest {
  private static final Set<String> MESSAGE_KINDS =
      Set.of(
          "acc",
          "accd",
          "bow",
          "copying",
          "nack",
          "ping",
          "pong",
          "prep",
          "prom",
          "rack",
          "rec",
          "rep",
          "repno",
          "resign",
          "snapheld",
          "snapok",
          "snappiece");

  /** The kind is that of a segment record too, which has other fields. */
  private static final Map<String, String> FIELD_OF_ANOTHER_FAMILY = Map.of("prep", "group");

  private interface Reader {
    Encodable read(WireRecord encoded) throws ProtocolException;
  }

  private static final Map<String, Reader> LOG_READERS =
      Map.of(
          PromiseRecord.KIND, PromiseRecord::of,
          AcceptRecord.KIND, AcceptRecord::of,
          BegunRecord.KIND, BegunRecord::of);

  private static List<WireRecord> samples() throws ProtocolException {
    List<WireRecord> samples = new ArrayList<>();
    for (String line : Fixtures.lines("messages.txt")) {
      byte[] bytes = HexFormat.of().parseHex(line.split("\t", -1)[2]);
      samples.add(WireRecordCodec.decode(bytes, 0, bytes.length));
    }
    return samples;
  }

  private static List<WireRecord> messageSamples() throws ProtocolException {
    return samples().stream()
        .filter(s -> MESSAGE_KINDS.contains(s.kind()))
        .filter(s -> !s.has(FIELD_OF_ANOTHER_FAMILY.getOrDefault(s.kind(), "")))
        .toList();
  }

  private static String hex(Encodable message) {
    return HexFormat.of().formatHex(WireRecordCodec.encode(message.toWireRecord()));
  }

  @Test
  void givenEveryMessageSample_whenReadAndWrittenAgain_thenBytesAreTheSame()
      throws ProtocolException {
    List<WireRecord> samples = messageSamples();
    Set<String> kinds = new TreeSet<>();
    List<Executable> checks = new ArrayList<>();
    for (WireRecord sample : samples) {
      kinds.add(sample.kind());
      checks.add(
          () ->
              assertEquals(
                  hex(sample),
                  hex(EpochMessageDecoder.decode(sample).orElseThrow()),
                  sample::kind));
    }
    assertEquals(new TreeSet<>(MESSAGE_KINDS), kinds);
    assertAll(checks);
  }

  @Test
  void givenEveryLogSample_whenReadAndWrittenAgain_thenBytesAreTheSame() throws ProtocolException {
    Set<String> kinds = new TreeSet<>();
    for (WireRecord sample : samples()) {
      Reader reader =
          sample.has("bale") && sample.kind().equals(SnapshotRecord.KIND)
              ? SnapshotRecord::of
              : LOG_READERS.get(sample.kind());
      if (reader != null) {
        kinds.add(sample.kind());
        assertEquals(hex(sample), hex(reader.read(sample)), sample::kind);
      }
    }
    assertEquals(Set.of("accept", "begun", "promise", "state"), kinds);
  }

  /** The number of fields that each kind may lack; a reader must name any other. */
  private static final Map<String, Set<String>> OPTIONAL_FIELDS =
      Map.of(
          "nack", Set.of("record"),
          "pong", Set.of("at", "promised", "disk", "leaving", "record"),
          "prom", Set.of("leaving", "record"),
          "rep", Set.of("entries"),
          "repno", Set.of("disk", "record"));

  @Test
  void givenMessageWithoutRequiredField_whenRead_thenErrorNamesKindAndField()
      throws ProtocolException {
    for (WireRecord sample : messageSamples()) {
      for (String field : List.copyOf(sample.fields().keySet())) {
        if (OPTIONAL_FIELDS.getOrDefault(sample.kind(), Set.of()).contains(field)) {
          continue;
        }
        WireRecord malformed = new WireRecord(sample.kind());
        sample.fields().forEach((name, value) -> malformed.with(name, value));
        malformed.fields().remove(field);
        ProtocolException error =
            assertThrows(ProtocolException.class, () -> EpochMessageDecoder.decode(malformed));
        assertTrue(
            error.getMessage().contains(sample.kind()) && error.getMessage().contains(field),
            error::getMessage);
      }
    }
  }

  @Test
  void givenMessageOfAnotherFamily_whenRead_thenItIsLeftAlone() throws ProtocolException {
    assertTrue(EpochMessageDecoder.decode(new WireRecord("poll")).isEmpty());
  }
}
