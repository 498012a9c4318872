package org.otterpond.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.junit.jupiter.api.Test;

class WireRecordTest {
  @Test
  void givenMissingOrMistypedField_whenRequired_thenTheErrorNamesKindAndField() {
    WireRecord message = new WireRecord("ping").with("fleet", "f1").with("text", 7L);

    ProtocolException missing =
        assertThrows(ProtocolException.class, () -> message.requiredNumber("epoch"));
    ProtocolException wrongType =
        assertThrows(ProtocolException.class, () -> message.requiredText("text"));

    assertEquals("kind ping lacks the required field epoch", missing.getMessage());
    assertEquals("kind ping lacks the required field text", wrongType.getMessage());
  }

  @Test
  void givenFieldsOfAllTypes_whenRequired_thenTheyAreReadByTheirType() throws ProtocolException {
    WireRecord message =
        new WireRecord("outer")
            .with("number", 3L)
            .with("text", "t")
            .with("bytes", new byte[] {1})
            .with("nested", new WireRecord("inner").with("n", 4L))
            .withRecords("list", List.of(new WireRecord("element")));

    assertEquals(3L, message.requiredNumber("number"));
    assertEquals("t", message.requiredText("text"));
    assertEquals(1, message.requiredBytes("bytes").length);
    assertEquals("inner", message.requiredNested("nested").kind());
    assertEquals(4L, message.requiredNested("nested").requiredNumber("n"));
    assertEquals("element", message.requiredRecords("list").get(0).kind());
  }

  @Test
  void givenMistypedFields_whenOptional_thenTheyCountAsMissing() {
    WireRecord message = new WireRecord("m").with("text", 7L).with("number", "t");

    assertNull(message.text("text"));
    assertNull(message.bytes("text"));
    assertNull(message.nested("text"));
    assertEquals(0, message.number("number"));
    assertEquals(List.of(), message.records("number"));
  }

  @Test
  void givenListOfOtherElements_whenRecordsAreRequired_thenItIsAnError() {
    WireRecord message = new WireRecord("m").with("list", List.of(7L));

    assertThrows(ProtocolException.class, () -> message.requiredRecords("list"));
  }
}
