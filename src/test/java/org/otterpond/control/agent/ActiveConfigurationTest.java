package org.otterpond.control.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.otterpond.control.message.CompressedBytes;
import org.otterpond.control.message.ConfigurationChange;
import org.otterpond.control.message.ConfigurationUpdate;
import org.otterpond.protocol.CompressedPayload;

class ActiveConfigurationTest {
  private final RecordingRuntime runtime = new RecordingRuntime();
  private final TestDataPlane dataPlane = new TestDataPlane();
  private final ActiveConfiguration configuration =
      new ActiveConfiguration(runtime, dataPlane::configured);

  private static ConfigurationUpdate fullText(long revision) {
    String text =
        "{\"revision\":" + revision + ",\"route_table\":[],\"service_table\":[{\"name\":\"s\"}]}";
    return ConfigurationUpdate.complete(revision, CompressedPayload.pack(text));
  }

  private static ConfigurationUpdate change(long base, long revision) {
    String text = "{\"revision\":" + revision + ",\"service_table\":[{\"name\":\"t\"}]}";
    return changes(base, revision, CompressedBytes.ofText(text));
  }

  private static ConfigurationUpdate changes(long base, long revision, CompressedBytes text) {
    return ConfigurationUpdate.incremental(
        revision, List.of(new ConfigurationChange(base, revision, text)));
  }

  @Test
  void fullTextAndChangesOnItAreApplied() {
    configuration.receive(fullText(1), null);
    configuration.receive(change(1, 2), null);

    assertEquals(List.of(1L, 2L), dataPlane.revisions);
    assertEquals(2, configuration.current().revision());
    assertEquals(2, configuration.newestReceived());
  }

  @Test
  void olderRevisionIsIgnored() {
    configuration.receive(fullText(2), null);
    configuration.receive(fullText(1), null);

    assertEquals(List.of(2L), dataPlane.revisions);
  }

  @Test
  void changeOnAnotherBaseIsDroppedSoThatThePollAsksAgain() {
    configuration.receive(fullText(1), null);
    configuration.receive(change(2, 3), null);

    assertEquals(1, configuration.current().revision());
    assertEquals(1, configuration.newestReceived());
    assertFalse(configuration.needsFullText());
  }

  @Test
  void unreadableChangeAsksForTheFullText() {
    configuration.receive(fullText(1), null);
    configuration.receive(changes(1, 2, CompressedBytes.of(new byte[] {1})), null);

    assertTrue(configuration.needsFullText());
    assertTrue(
        runtime.events().stream()
            .anyMatch(event -> event.startsWith("event=configuration_unreadable revision=2")));
    configuration.receive(fullText(2), null);
    assertFalse(configuration.needsFullText());
    assertEquals(2, configuration.current().revision());
  }
}
