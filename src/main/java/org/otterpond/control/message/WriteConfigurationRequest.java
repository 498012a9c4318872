package org.otterpond.control.message;

import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * Asks for a change of the gateway configuration. Answered by a {@link WriteConfigurationReply}.
 *
 * @param kind {@link #REPLACE} or {@link #MODIFY}
 * @param baseRevision the revision that the change must apply to
 * @param text the compressed text of the complete configuration or of the modification
 */
public record WriteConfigurationRequest(String kind, long baseRevision, CompressedBytes text)
    implements PrimaryRequest {
  /** The encoded name of the operation. */
  public static final String OPERATION_NAME = "write";

  /** The text replaces the whole configuration. */
  public static final String REPLACE = "replace";

  /** The text modifies the configuration of the base revision. */
  public static final String MODIFY = "modify";

  private static final String KIND_OF_CHANGE = "kind";
  private static final String BASE_REVISION = "base";
  private static final String TEXT = "text";

  /**
   * Reads a request.
   *
   * @throws ProtocolException if a required field is missing or a field has the wrong type
   */
  public static WriteConfigurationRequest of(WireRecord encoded) throws ProtocolException {
    return new WriteConfigurationRequest(
        encoded.requiredText(KIND_OF_CHANGE),
        encoded.requiredNumber(BASE_REVISION),
        CompressedBytes.of(encoded.requiredBytes(TEXT)));
  }

  @Override
  public WireRecord toWireRecord() {
    return PrimaryRequest.encoded(OPERATION_NAME)
        .with(KIND_OF_CHANGE, kind)
        .with(BASE_REVISION, baseRevision)
        .with(TEXT, text.bytes());
  }
}
