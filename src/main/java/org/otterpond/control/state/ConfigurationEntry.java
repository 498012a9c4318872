package org.otterpond.control.state;

import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * Replaces the configuration.
 *
 * @param revision the revision of the new configuration
 * @param text the complete new configuration; null if the entry has none
 * @param digest SHA-256 of the change that led to it, in hexadecimal; see {@link AppliedChanges}
 */
public record ConfigurationEntry(long revision, CompressedText text, String digest)
    implements ReplicatedEntry {
  /** The encoded kind. */
  public static final String KIND = "config";

  private static final String REVISION = "rev";
  private static final String DIGEST = "digest";

  /**
   * Reads an entry.
   *
   * @throws ProtocolException if revision or digest are missing
   */
  public static ConfigurationEntry of(WireRecord encoded) throws ProtocolException {
    return new ConfigurationEntry(
        encoded.requiredNumber(REVISION), CompressedText.of(encoded), encoded.requiredText(DIGEST));
  }

  @Override
  public WireRecord toWireRecord() {
    return CompressedText.put(text, new WireRecord(KIND).with(REVISION, revision))
        .with(DIGEST, digest);
  }
}
