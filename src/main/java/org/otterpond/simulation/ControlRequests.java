package org.otterpond.simulation;

import java.util.List;
import org.otterpond.protocol.CompressedPayload;
import org.otterpond.protocol.WireRecord;

/** The requests of the control API, as a node sends them to the primary. */
final class ControlRequests {
  private static final String KIND = "ask";
  private static final String OPERATION = "op";
  private static final String KEY = "key";
  private static final String TOKEN = "token";
  private static final String NODE = "node";

  private ControlRequests() {}

  /** Replaces the whole configuration if the base is the current revision. */
  static WireRecord replaceConfiguration(long baseRevision, String text) {
    return writeConfiguration("replace", baseRevision, text);
  }

  /** Modifies the configuration if the base is the current revision. */
  static WireRecord modifyConfiguration(long baseRevision, String text) {
    return writeConfiguration("modify", baseRevision, text);
  }

  /**
   * Writes the configuration if the base is the current revision.
   *
   * @param writeKind {@code replace} or {@code modify}
   * @param text the JSON text of the configuration, or of its changes
   */
  static WireRecord writeConfiguration(String writeKind, long baseRevision, String text) {
    return request("write")
        .with("kind", writeKind)
        .with("base", baseRevision)
        .with("text", CompressedPayload.pack(text));
  }

  /** Reads the current configuration. */
  static WireRecord readConfiguration() {
    return request("read");
  }

  /** Acquires the lock of an idempotency key for one request. */
  static WireRecord acquireKeyLock(String key, String token, String holder) {
    return request("claim").with(KEY, key).with(TOKEN, token).with("holder", holder);
  }

  /** Releases the lock of an idempotency key whose request was never executed. */
  static WireRecord releaseKeyLock(String key, String token) {
    return request("free").with(KEY, key).with(TOKEN, token);
  }

  /** Begins to drain a storage node. */
  static WireRecord drainStorageNode(String name) {
    return request("retire").with(NODE, name);
  }

  /** Asks whether a storage node is drained. */
  static WireRecord storageNodeDrained(String name) {
    return request("retired").with(NODE, name);
  }

  /** Forwards worker heartbeats. */
  static WireRecord forwardHeartbeats(List<WireRecord> heartbeats) {
    return request("beats").withRecords("beats", heartbeats);
  }

  private static WireRecord request(String operation) {
    return new WireRecord(KIND).with(OPERATION, operation);
  }
}
