package org.otterpond.storage;

import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;
import org.otterpond.protocol.GoldenMessages;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/** Records of the storage package keep the encoding of an earlier version. */
class StoredRecordTypesTest {
  @Test
  void givenEncodedBase_whenReadAndWritten_thenBytesAreTheSame() throws ProtocolException {
    GoldenMessages.assertRoundTrip(LogBase.KIND, LogBase::of);
  }

  @Test
  void givenEncodedDiskIdentity_whenReadAndWritten_thenBytesAreTheSame() throws ProtocolException {
    GoldenMessages.assertRoundTrip(DiskIdentity.KIND, DiskIdentity::of);
  }

  @Test
  void givenMissingField_whenRead_thenRejected() {
    WireRecord base = new WireRecord(LogBase.KIND).with("disk", "d");
    assertThrows(ProtocolException.class, () -> LogBase.of(base));
    WireRecord identity = new WireRecord(DiskIdentity.KIND);
    assertThrows(ProtocolException.class, () -> DiskIdentity.of(identity));
  }
}
