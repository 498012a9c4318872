package org.otterpond.control.bootstrap;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.otterpond.protocol.GoldenMessages;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

class BootstrapMessageTest {
  @ParameterizedTest
  @ValueSource(strings = {"fprep", "fprom", "facc", "faccd"})
  void givenEncodedMessage_whenDecodedAndEncoded_thenBytesAreTheSame(String kind)
      throws ProtocolException {
    assertTrue(BootstrapMessage.isKind(kind));
    GoldenMessages.assertRoundTrip(kind, BootstrapMessage::of);
  }

  @Test
  void givenAnotherKind_whenDecoded_thenItIsNoBootstrapMessage() {
    assertFalse(BootstrapMessage.isKind("ping"));
    assertThrows(ProtocolException.class, () -> BootstrapMessage.of(new WireRecord("ping")));
  }

  @Test
  void givenAcceptWithoutValue_whenDecoded_thenItIsMalformed() {
    WireRecord withoutValue = new WireRecord("facc").with("ballot", 9L);

    assertThrows(ProtocolException.class, () -> BootstrapMessage.of(withoutValue));
  }
}
