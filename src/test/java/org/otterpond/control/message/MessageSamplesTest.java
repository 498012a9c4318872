package org.otterpond.control.message;

import static org.junit.jupiter.api.Assertions.assertAll;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.otterpond.protocol.Encodable;
import org.otterpond.protocol.Fixtures;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;
import org.otterpond.protocol.WireRecordCodec;

/** Each sample of a kind of this package is read as a typed message and encoded to its bytes. */
class MessageSamplesTest {
  /** Reads a typed message. */
  private interface Reader {
    Encodable read(WireRecord encoded) throws ProtocolException;
  }

  private static final Map<String, Reader> READERS =
      Map.ofEntries(
          Map.entry(NodePoll.KIND, NodePoll::of),
          Map.entry(PollResponse.KIND, PollResponse::of),
          Map.entry(NodeHello.KIND, NodeHello::of),
          Map.entry(FetchOutcomeRequest.KIND, FetchOutcomeRequest::of),
          Map.entry(PrimaryRequest.KIND, PrimaryRequest::of),
          Map.entry(PrimaryReply.KIND, MessageSamplesTest::readReply),
          Map.entry(FleetSummary.KIND, FleetSummary::of),
          Map.entry(ConfigurationChange.KIND, ConfigurationChange::of),
          Map.entry(TokenGrant.KIND, TokenGrant::of),
          Map.entry(TokenDemand.KIND, TokenDemand::of),
          Map.entry(WorkerReport.KIND, WorkerReport::of),
          Map.entry(WorkerTable.KIND, WorkerTable::of),
          Map.entry(NodeStatus.KIND, NodeStatus::of),
          Map.entry(QuotaStatus.KIND, QuotaStatus::of),
          Map.entry(PartitionStatus.KIND, PartitionStatus::of),
          Map.entry(PartitionStatus.StoreLoad.KIND, PartitionStatus.StoreLoad::of));

  /** The first field of the replies of other packages, by which their samples are passed over. */
  private static final Set<String> REPLIES_OF_MESSAGE_STORES =
      Set.of("body", "no", "state", "taken", "unknown");

  private static final String REQUEST_ID = PrimaryRequest.REQUEST_ID;

  private static WireRecord decode(byte[] bytes) throws ProtocolException {
    return WireRecordCodec.decode(bytes, 0, bytes.length);
  }

  private static String hex(WireRecord record) {
    return HexFormat.of().formatHex(WireRecordCodec.encode(record));
  }

  /** Reads a reply by the fields that only one type of reply has. */
  private static Encodable readReply(WireRecord encoded) throws ProtocolException {
    if (NotPrimaryReply.isIn(encoded)) {
      return NotPrimaryReply.of(encoded);
    } else if (encoded.has("answer")) {
      return FetchOutcomeReply.of(encoded);
    } else if (encoded.has("confirmed")) {
      return StatusReply.of(encoded);
    } else if (encoded.has("error")) {
      return UnknownOperationReply.of(encoded);
    } else if (encoded.has("granted")
        || encoded.has("run")
        || encoded.fields().get("lent") instanceof Map) {
      return ClaimKeyReply.of(encoded);
    } else if (encoded.has("lent")) {
      return LendTokensReply.of(encoded);
    } else if (encoded.has("view")) {
      return ReconfigureGroupReply.of(encoded);
    } else if (encoded.has("rev")) {
      return ReadConfigurationReply.of(encoded);
    } else if (encoded.has("done")) {
      return RetirementStatusReply.of(encoded);
    } else if (encoded.has("status")) {
      return WriteConfigurationReply.of(encoded);
    }
    return new AcknowledgedReply();
  }

  private static boolean ofThisPackage(WireRecord sample) {
    return READERS.containsKey(sample.kind())
        && !(sample.kind().equals(PrimaryReply.KIND)
            && sample.fields().keySet().stream().anyMatch(REPLIES_OF_MESSAGE_STORES::contains));
  }

  private static WireRecord encodeAgain(WireRecord sample) throws ProtocolException {
    Encodable message = READERS.get(sample.kind()).read(sample);
    WireRecord encoded = message.toWireRecord();
    if (sample.has(REQUEST_ID) && !(message instanceof FetchOutcomeReply)) {
      encoded.with(REQUEST_ID, sample.number(REQUEST_ID));
    }
    return encoded;
  }

  /** The samples of this package's kinds, those nested in other messages among them. */
  private static List<WireRecord> samples() throws ProtocolException {
    List<WireRecord> samples = new ArrayList<>();
    for (String line : Fixtures.lines("messages.txt")) {
      collect(decode(HexFormat.of().parseHex(line.split("\t", -1)[2])), samples);
    }
    return samples;
  }

  private static void collect(WireRecord record, List<WireRecord> into) {
    if (ofThisPackage(record)) {
      into.add(record);
    }
    for (String field : record.fields().keySet()) {
      Object value = record.fields().get(field);
      if (value instanceof Map<?, ?>) {
        collect(record.nested(field), into);
      } else if (value instanceof List<?> list && list.stream().allMatch(Map.class::isInstance)) {
        record.records(field).forEach(nested -> collect(nested, into));
      }
    }
  }

  @Test
  void givenSampleOfEachKind_whenReadAndEncodedAgain_thenBytesAreTheSame()
      throws ProtocolException {
    // given
    List<WireRecord> samples = samples();

    // when, then
    assertAll(
        samples.stream()
            .map(
                sample ->
                    () -> assertEquals(hex(sample), hex(encodeAgain(sample)), sample.kind())));
  }

  @Test
  void givenKindsAndOperationsOfThePackage_whenSamplesAreSearched_thenEachIsThere()
      throws ProtocolException {
    // given
    Set<String> wanted = new TreeSet<>(READERS.keySet());
    wanted.addAll(PrimaryRequest.DECODERS.keySet());

    // when
    for (WireRecord sample : samples()) {
      wanted.remove(sample.kind());
      if (sample.kind().equals(PrimaryRequest.KIND)) {
        wanted.remove(sample.text(PrimaryRequest.OPERATION));
      }
    }

    // then
    assertEquals(Set.of(), wanted);
  }

  @Test
  void givenRequestWithoutRequiredField_whenRead_thenErrorNamesKindAndField() {
    // given
    WireRecord claim = PrimaryRequest.encoded(ClaimKeyRequest.OPERATION_NAME).with("key", "k");

    // when
    ProtocolException error = assertThrows(ProtocolException.class, () -> PrimaryRequest.of(claim));

    // then
    assertTrue(error.getMessage().contains(PrimaryRequest.KIND));
    assertTrue(error.getMessage().contains("token"));
  }

  @Test
  void givenFieldsOfTheWrongType_whenRead_thenProtocolErrorIsThrown() throws ProtocolException {
    // given
    List<WireRecord> samples =
        samples().stream().filter(sample -> READERS.containsKey(sample.kind())).toList();

    // when, then
    for (WireRecord sample : samples) {
      for (String field : sample.fields().keySet()) {
        WireRecord malformed = new WireRecord(sample.kind());
        sample.fields().forEach(malformed::with);
        malformed.with(field, List.of(List.of()));
        try {
          READERS.get(sample.kind()).read(malformed);
        } catch (ProtocolException e) {
          assertFalse(e.getMessage().isEmpty());
        }
      }
    }
  }

  @Test
  void givenUnknownOperation_whenRead_thenRequestIsUnknown() throws ProtocolException {
    assertEquals(new UnknownRequest("later"), PrimaryRequest.of(PrimaryRequest.encoded("later")));
  }

  @Test
  void givenChangeOfEarlierVersion_whenResponseIsRead_thenChangeIsSingle()
      throws ProtocolException {
    // given
    WireRecord response =
        new WireRecord(PollResponse.KIND)
            .with("epoch", 64)
            .with("ver", 1)
            .with("pn", 5)
            .with("rev", 9)
            .with("back", 0)
            .with("cfg", 9)
            .with("base", 8)
            .with("change", new byte[] {1, 2});

    // when
    ConfigurationChange change =
        PollResponse.of(response).configuration().orElseThrow().changes().get(0);

    // then
    assertEquals(8, change.baseRevision());
    assertEquals(9, change.revision());
    assertEquals(2, change.modification().length());
  }
}
