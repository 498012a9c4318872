package org.otterpond.control.state;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.otterpond.protocol.CompressedPayload;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * The configuration fields of a poll response: a new revision as its complete text or as changes to
 * an earlier revision.
 */
sealed interface ConfigurationUpdate {
  /** Field of the revision that the update leads to. */
  String REVISION = "cfg";

  /** Field of the compressed complete text. */
  String TEXT = "text";

  /** Field of the list of changes. */
  String CHANGES = "changes";

  /** The revision that the update leads to. */
  long revision();

  /**
   * A complete configuration.
   *
   * @param text the compressed JSON text
   */
  record Complete(long revision, CompressedJson text) implements ConfigurationUpdate {}

  /**
   * Changes that follow one another.
   *
   * @param changes oldest first
   */
  record Changes(long revision, List<Change> changes) implements ConfigurationUpdate {}

  /**
   * One change.
   *
   * @param base the revision that it applies to
   * @param revision the revision that it leads to
   * @param body the compressed JSON text of the change
   */
  record Change(long base, long revision, CompressedJson body) {
    private static final String BASE = "base";
    private static final String REVISION = "rev";
    private static final String BODY = "change";

    private static Change of(WireRecord encoded) throws ProtocolException {
      return new Change(
          encoded.requiredNumber(BASE),
          encoded.requiredNumber(REVISION),
          new CompressedJson(encoded.requiredBytes(BODY)));
    }
  }

  /** A compressed JSON text that arrived from another node and was not checked yet. */
  final class CompressedJson {
    private final byte[] compressed;

    private CompressedJson(byte[] compressed) {
      this.compressed = Arrays.copyOf(compressed, compressed.length);
    }

    int compressedBytes() {
      return compressed.length;
    }

    String decompressed() throws ProtocolException {
      return CompressedPayload.decompressText(compressed);
    }
  }

  /**
   * Reads the configuration fields of a poll response.
   *
   * @throws ProtocolException if a required field is missing
   */
  static ConfigurationUpdate of(WireRecord response) throws ProtocolException {
    long revision = response.requiredNumber(REVISION);
    if (response.has(TEXT)) {
      return new Complete(revision, new CompressedJson(response.requiredBytes(TEXT)));
    }
    if (response.has(Change.BODY)) {
      // Primaries of an earlier version send a single change in the response itself.
      return new Changes(revision, List.of(Change.of(response)));
    }
    List<Change> changes = new ArrayList<>();
    for (WireRecord change : response.records(CHANGES)) {
      changes.add(Change.of(change));
    }
    return new Changes(revision, List.copyOf(changes));
  }
}
