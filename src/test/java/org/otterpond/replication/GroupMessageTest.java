package org.otterpond.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;
import org.otterpond.messaging.message.GroupBeacon;
import org.otterpond.messaging.message.GroupBeaconReply;
import org.otterpond.protocol.Encodable;
import org.otterpond.protocol.Fixtures;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;
import org.otterpond.protocol.WireRecordCodec;

/** Typed messages and log records of replica groups keep the bytes of an earlier version. */
class GroupMessageTest {
  private static final Set<String> KINDS =
      Set.of(
          "g.beacon",
          "g.beaconed",
          "g.copy",
          "g.pieces",
          "g.prepare",
          "g.prepared",
          "g.reconcile",
          "g.view",
          "copied",
          "copy",
          "drop",
          "meta",
          "piece",
          "prep",
          "reconciled",
          "trunc",
          "view");

  private static final String RECIPIENT = "to";

  private static WireRecord decoded(byte[] bytes) throws ProtocolException {
    return WireRecordCodec.decode(bytes, 0, bytes.length);
  }

  /** The samples of this family; other families use some of the kinds without a group. */
  private static List<byte[]> samples() {
    return Fixtures.lines("messages.txt").stream()
        .map(line -> line.split("\t", -1))
        .filter(columns -> KINDS.contains(columns[0]))
        .filter(columns -> columns[0].startsWith("g.") || columns[1].contains("group"))
        .map(columns -> HexFormat.of().parseHex(columns[2]))
        .toList();
  }

  private static Encodable typed(WireRecord encoded) throws ProtocolException {
    return switch (encoded.kind()) {
      case GroupBeacon.KIND -> GroupBeacon.of(encoded);
      case GroupBeaconReply.KIND -> GroupBeaconReply.of(encoded);
      default ->
          encoded.kind().startsWith("g.")
              ? GroupMessage.decode(encoded).orElseThrow()
              : GroupLogRecord.decode(encoded).orElseThrow();
    };
  }

  /** Encodes as the sender does: the runtime of a group adds the recipient. */
  private static WireRecord encodedAgain(WireRecord sample) throws ProtocolException {
    Encodable message = typed(sample);
    String recipient = sample.text(RECIPIENT);
    if (recipient == null || message instanceof GroupBeacon) {
      return message.toWireRecord();
    }
    boolean recipientFirst = sample.fields().keySet().iterator().next().equals(RECIPIENT);
    return recipientFirst
        ? ((ConfigurationMessage) message).toBeaconAnswer(recipient)
        : message.toWireRecord().with(RECIPIENT, recipient);
  }

  @TestFactory
  Stream<DynamicTest> givenSample_whenReadAndEncodedAgain_thenBytesAreTheSame()
      throws ProtocolException {
    List<DynamicTest> tests = new ArrayList<>();
    for (byte[] bytes : samples()) {
      WireRecord sample = decoded(bytes);
      tests.add(
          DynamicTest.dynamicTest(
              sample.toString(),
              () -> {
                byte[] again = WireRecordCodec.encode(encodedAgain(sample));
                assertEquals(HexFormat.of().formatHex(bytes), HexFormat.of().formatHex(again));
              }));
    }
    return tests.stream();
  }

  @Test
  void givenSamples_whenKindsAreCollected_thenAllKindsOfTheFamilyAreThere()
      throws ProtocolException {
    Set<String> found = new TreeSet<>();
    for (byte[] bytes : samples()) {
      found.add(decoded(bytes).kind());
    }
    assertEquals(new TreeSet<>(KINDS), found);
  }

  @Test
  void givenMessageWithoutVersion_whenRead_thenErrorNamesKindAndField() {
    WireRecord malformed = new WireRecord("g.prepare").with("group", 1).with("first", 1L);

    ProtocolException error =
        assertThrows(ProtocolException.class, () -> GroupMessage.decode(malformed));

    assertTrue(error.getMessage().contains("g.prepare"), error.getMessage());
    assertTrue(error.getMessage().contains("version"), error.getMessage());
  }
}
