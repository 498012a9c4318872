package org.otterpond.protocol;

import static org.junit.jupiter.api.Assertions.assertAll;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.function.Executable;

/**
 * Messages and records that an earlier version encoded are read as they were meant, and encoded to
 * the same bytes.
 */
class GoldenMessagesTest {
  /** Every kind that the code of commit e87432b encodes, by itself or inside another. */
  private static final Set<String> KINDS =
      Set.of(
          "acc",
          "accd",
          "accept",
          "answer",
          "ask",
          "assign",
          "assignments",
          "base",
          "begun",
          "berth",
          "bow",
          "change",
          "claim",
          "config",
          "copied",
          "copy",
          "copying",
          "disk",
          "drop",
          "end",
          "epoch",
          "facc",
          "faccd",
          "fetch",
          "figures",
          "fleet",
          "fprep",
          "fprom",
          "free",
          "g.beacon",
          "g.beaconed",
          "g.copy",
          "g.pieces",
          "g.prepare",
          "g.prepared",
          "g.reconcile",
          "g.view",
          "harbour",
          "heat",
          "hello",
          "keys",
          "lent",
          "link",
          "m.body",
          "m.put",
          "m.state",
          "message",
          "meta",
          "nack",
          "news",
          "node",
          "part",
          "partitions",
          "piece",
          "ping",
          "poll",
          "pong",
          "prep",
          "prom",
          "promise",
          "put",
          "quota",
          "rack",
          "rec",
          "reconciled",
          "rep",
          "reply",
          "repno",
          "resign",
          "row",
          "set",
          "snapheld",
          "snapok",
          "snappiece",
          "state",
          "table",
          "tried",
          "trunc",
          "unknown",
          "unrun",
          "value",
          "vessel",
          "view",
          "worker",
          "working");

  private static Stream<Executable> each(SampleCheck check) {
    return GoldenMessages.samples().stream().map(sample -> () -> check.check(sample));
  }

  private interface SampleCheck {
    void check(GoldenMessages.Sample sample) throws ProtocolException;
  }

  private static void addKinds(Object value, Set<String> kinds) {
    if (value instanceof Map<?, ?> nested) {
      kinds.add((String) nested.get("_"));
      nested.values().forEach(v -> addKinds(v, kinds));
    } else if (value instanceof List<?> list) {
      list.forEach(v -> addKinds(v, kinds));
    }
  }

  @Test
  void givenEncodedMessage_whenDecoded_thenKindAndFieldNamesAreThose() {
    assertAll(
        each(
            sample -> {
              WireRecord decoded = sample.decoded();
              assertEquals(sample.kind(), decoded.kind());
              assertEquals(sample.fields(), List.copyOf(decoded.fields().keySet()), sample.kind());
            }));
  }

  @Test
  void givenDecodedMessage_whenEncodedAgain_thenBytesAreTheSame() {
    HexFormat hex = HexFormat.of();
    assertAll(
        each(
            sample ->
                assertEquals(
                    hex.formatHex(sample.bytes()),
                    hex.formatHex(WireRecordCodec.encode(sample.decoded())),
                    sample.kind())));
  }

  @Test
  void givenAllKindsOfTheCode_whenSamplesAreSearched_thenEachIsThere() throws ProtocolException {
    Set<String> found = new TreeSet<>();
    for (GoldenMessages.Sample sample : GoldenMessages.samples()) {
      addKinds(sample.decoded().asMap(), found);
    }
    Set<String> missing = new TreeSet<>(KINDS);
    missing.removeAll(found);
    assertEquals(Set.of(), missing);
  }
}
