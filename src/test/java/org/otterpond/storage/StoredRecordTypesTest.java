package org.otterpond.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.otterpond.protocol.Encodable;
import org.otterpond.protocol.Fixtures;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;
import org.otterpond.protocol.WireRecordCodec;

/** Records of the storage package keep the encoding of an earlier version. */
class StoredRecordTypesTest {
  private interface Decoder {
    Encodable decode(WireRecord encoded) throws ProtocolException;
  }

  private static void assertRoundTrip(String kind, Decoder decoder) throws ProtocolException {
    List<String> samples =
        Fixtures.lines("messages.txt").stream()
            .filter(line -> line.startsWith(kind + "\t"))
            .map(line -> line.split("\t", -1)[2])
            .toList();
    assertFalse(samples.isEmpty(), kind);
    for (String sample : samples) {
      byte[] bytes = HexFormat.of().parseHex(sample);
      Encodable typed = decoder.decode(WireRecordCodec.decode(bytes, 0, bytes.length));
      assertEquals(
          sample, HexFormat.of().formatHex(WireRecordCodec.encode(typed.toWireRecord())), kind);
    }
  }

  @Test
  void givenEncodedBase_whenReadAndWritten_thenBytesAreTheSame() throws ProtocolException {
    assertRoundTrip(LogBase.KIND, LogBase::of);
  }

  @Test
  void givenEncodedDiskIdentity_whenReadAndWritten_thenBytesAreTheSame() throws ProtocolException {
    assertRoundTrip(DiskIdentity.KIND, DiskIdentity::of);
  }

  @Test
  void givenMissingField_whenRead_thenRejected() {
    WireRecord base = new WireRecord(LogBase.KIND).with("disk", "d");
    assertThrows(ProtocolException.class, () -> LogBase.of(base));
    WireRecord identity = new WireRecord(DiskIdentity.KIND);
    assertThrows(ProtocolException.class, () -> DiskIdentity.of(identity));
  }
}
