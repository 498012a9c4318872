package org.otterpond.control.message;

import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * The answer to a {@link ReadConfigurationRequest}.
 *
 * @param revision the committed revision, 0 if there is no configuration
 * @param text the compressed text, or null if there is no configuration
 */
public record ReadConfigurationReply(long revision, CompressedBytes text) implements PrimaryReply {
  private static final String REVISION = "rev";
  private static final String TEXT = "text";

  /**
   * Reads a reply.
   *
   * @throws ProtocolException if a required field is missing or a field has the wrong type
   */
  public static ReadConfigurationReply of(WireRecord encoded) throws ProtocolException {
    return new ReadConfigurationReply(
        encoded.requiredNumber(REVISION),
        encoded.has(TEXT) ? CompressedBytes.of(encoded.requiredBytes(TEXT)) : null);
  }

  @Override
  public WireRecord toWireRecord() {
    return PrimaryReply.encoded()
        .with(REVISION, revision)
        .with(TEXT, text == null ? null : text.bytes());
  }
}
