package org.otterpond.control.message;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.otterpond.protocol.Encodable;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * The part of a poll response that brings a node to a newer configuration: either the complete text
 * or the changes that lead to it from the revision that the node has.
 *
 * @param revision the revision of the configuration after the update
 * @param text the complete compressed text, or null if the update consists of changes
 * @param changes the changes in their order; empty if the update is the complete text
 */
public record ConfigurationUpdate(
    long revision, CompressedBytes text, List<ConfigurationChange> changes) implements Encodable {
  private static final String REVISION = "cfg";
  private static final String TEXT = "text";
  private static final String CHANGES = "changes";
  private static final String SINGLE_CHANGE = "change";

  /** Creates an update; the list of changes is copied. */
  public ConfigurationUpdate {
    changes = List.copyOf(changes);
  }

  /** Returns an update that consists of the complete text. */
  public static ConfigurationUpdate complete(long revision, byte[] compressedText) {
    return new ConfigurationUpdate(revision, CompressedBytes.of(compressedText), List.of());
  }

  /** Returns an update that consists of changes. */
  public static ConfigurationUpdate incremental(long revision, List<ConfigurationChange> changes) {
    return new ConfigurationUpdate(revision, null, changes);
  }

  /** Whether a message carries an update. */
  static boolean isIn(WireRecord message) {
    return message.has(REVISION);
  }

  /**
   * Reads the update that a message carries.
   *
   * @throws ProtocolException if a field is missing
   */
  public static ConfigurationUpdate of(WireRecord message) throws ProtocolException {
    long revision = message.requiredNumber(REVISION);
    if (message.has(TEXT)) {
      return complete(revision, message.requiredBytes(TEXT));
    }
    // A primary of an earlier version sends a single change in the fields of the message itself.
    if (message.has(SINGLE_CHANGE)) {
      return incremental(revision, List.of(ConfigurationChange.of(message)));
    }
    if (!(message.fields().getOrDefault(CHANGES, List.of()) instanceof List<?> list)
        || !list.stream().allMatch(Map.class::isInstance)) {
      throw new ProtocolException("kind " + message.kind() + " has no records in " + CHANGES);
    }
    List<ConfigurationChange> changes = new ArrayList<>();
    for (WireRecord change : message.records(CHANGES)) {
      changes.add(ConfigurationChange.of(change));
    }
    return incremental(revision, changes);
  }

  /** Whether the update is the complete text. */
  public boolean isComplete() {
    return text != null;
  }

  /** Returns a poll response that carries nothing but the update, as the parser takes it. */
  @Override
  public WireRecord toWireRecord() {
    WireRecord response = new WireRecord(PollResponse.KIND);
    addTo(response);
    return response;
  }

  /** Adds the fields of the update to a message. */
  void addTo(WireRecord message) {
    message.with(REVISION, revision);
    if (text != null) {
      message.with(TEXT, text.bytes());
    } else {
      message.withRecords(
          CHANGES, changes.stream().map(ConfigurationChange::toWireRecord).toList());
    }
  }
}
