package org.otterpond.control.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.otterpond.protocol.GoldenMessages;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/** Entries and snapshots of the replicated state keep the encoded form of earlier versions. */
class ReplicatedEntryGoldenTest {
  /** The field by which the write-ahead log wraps long records; such records are not ours. */
  private static final String COMPRESSED_RECORD = "bale";

  private static List<GoldenMessages.Sample> snapshots() {
    return GoldenMessages.samples(ReplicatedStateSnapshot.KIND).stream()
        .filter(sample -> !sample.fields().contains(COMPRESSED_RECORD))
        .toList();
  }

  @ParameterizedTest
  @ValueSource(strings = {"claim", "free", "config", "worker", "assign"})
  void givenEncodedEntry_whenDecodedAndEncoded_thenBytesAreTheSame(String kind)
      throws ProtocolException {
    assertTrue(ReplicatedEntryDecoder.isEntry(kind));
    GoldenMessages.assertRoundTrip(kind, ReplicatedEntryDecoder::decode);
  }

  @Test
  void givenEncodedSnapshot_whenDecodedAndEncoded_thenBytesAreTheSame() throws ProtocolException {
    GoldenMessages.assertRoundTrip(snapshots(), ReplicatedStateSnapshot::of);
    GoldenMessages.assertNestedRoundTrip(AssignmentsSnapshot.KIND, AssignmentsSnapshot::of);
  }

  @Test
  void givenEncodedSnapshot_whenLoadedIntoTheState_thenItsSnapshotHasTheSameBytes()
      throws ProtocolException {
    GoldenMessages.assertRoundTrip(
        snapshots(),
        encoded -> {
          ReplicatedState state = new ReplicatedState(60_000_000);
          state.load(encoded, 0);
          return state.snapshot();
        });
  }

  @Test
  void givenEncodedEpochRecords_whenDecodedAndEncoded_thenBytesAreTheSame()
      throws ProtocolException {
    GoldenMessages.assertRoundTrip(EpochAnnouncement.KIND, EpochAnnouncement::of);
    GoldenMessages.assertNestedRoundTrip(EpochRecord.KIND, EpochRecord::decode);
    GoldenMessages.assertNestedRoundTrip(CoreMember.KIND, CoreMember::decode);
  }

  @Test
  void givenEntryWithoutRequiredField_whenDecoded_thenTheErrorNamesKindAndField() {
    WireRecord withoutToken = new WireRecord(KeyLockEntry.KIND).with("key", "k");

    ProtocolException error =
        assertThrows(ProtocolException.class, () -> ReplicatedEntryDecoder.decode(withoutToken));

    assertEquals("kind claim lacks the required field token", error.getMessage());
  }

  @Test
  void givenAnotherKind_whenDecoded_thenItIsNoEntry() {
    assertFalse(ReplicatedEntryDecoder.isEntry("ping"));
    assertThrows(
        ProtocolException.class, () -> ReplicatedEntryDecoder.decode(new WireRecord("ping")));
  }
}
