package org.otterpond.net;

import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;
import org.otterpond.protocol.GoldenMessages;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/** The first message between nodes keeps the encoding of an earlier version. */
class PeerIntroductionTest {
  @Test
  void givenEncodedIntroduction_whenReadAndWritten_thenBytesAreTheSame() throws ProtocolException {
    GoldenMessages.assertRoundTrip(PeerIntroduction.KIND, PeerIntroduction::of);
  }

  @Test
  void givenMissingAddress_whenRead_thenRejected() {
    WireRecord encoded = new WireRecord(PeerIntroduction.KIND);
    assertThrows(ProtocolException.class, () -> PeerIntroduction.of(encoded));
  }
}
