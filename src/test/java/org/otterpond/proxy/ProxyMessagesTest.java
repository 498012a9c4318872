package org.otterpond.proxy;

import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.otterpond.keyrange.KeyLoadReport;
import org.otterpond.protocol.GoldenMessages;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/** The messages of the data path are encoded as an earlier version encoded them. */
class ProxyMessagesTest {
  @ParameterizedTest
  @ValueSource(strings = {"answer", "unknown", "unrun", "working"})
  void givenEncodedOutcome_whenReadAndWrittenAgain_thenBytesAreTheSame(String kind)
      throws ProtocolException {
    GoldenMessages.assertNestedRoundTrip(kind, RunOutcome::of);
  }

  @Test
  void givenEncodedKeyLoad_whenReadAndWrittenAgain_thenBytesAreTheSame() throws ProtocolException {
    GoldenMessages.assertNestedRoundTrip(KeyLoadReport.KIND, KeyLoadReport::of);
  }

  @Test
  void givenMalformedOutcome_whenRead_thenTheErrorIsTyped() {
    assertThrows(ProtocolException.class, () -> RunOutcome.of(new WireRecord("answer")));
    assertThrows(ProtocolException.class, () -> RunOutcome.of(new WireRecord("reply")));
  }
}
