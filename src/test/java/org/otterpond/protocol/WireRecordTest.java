package org.otterpond.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

class WireRecordTest {
  @Test
  void missingRequiredFieldIsAnErrorThatNamesKindAndField() {
    WireRecord record = new WireRecord("ping").with("fleet", "f1").with("text", 7L);

    ProtocolException missing =
        assertThrows(ProtocolException.class, () -> record.requiredNumber("epoch"));
    ProtocolException wrongType =
        assertThrows(ProtocolException.class, () -> record.requiredText("text"));

    assertEquals("kind ping lacks the required field epoch", missing.getMessage());
    assertEquals("kind ping lacks the required field text", wrongType.getMessage());
  }

  @Test
  void requiredFieldsAreReadByTheirType() throws ProtocolException {
    WireRecord record =
        new WireRecord("outer")
            .with("number", 3L)
            .with("text", "t")
            .with("bytes", new byte[] {1})
            .with("nested", new WireRecord("inner").with("n", 4L));

    assertEquals(3L, record.requiredNumber("number"));
    assertEquals("t", record.requiredText("text"));
    assertEquals(1, record.requiredBytes("bytes").length);
    assertEquals("inner", record.requiredNested("nested").kind());
    assertEquals(4L, record.requiredNested("nested").requiredNumber("n"));
  }
}
