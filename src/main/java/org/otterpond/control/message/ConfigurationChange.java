package org.otterpond.control.message;

import org.otterpond.protocol.Encodable;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * One committed modification of the gateway configuration, as the operator wrote it.
 *
 * @param baseRevision the revision that the modification applies to
 * @param revision the revision that it makes
 * @param modification the compressed text of the modification
 */
public record ConfigurationChange(long baseRevision, long revision, CompressedBytes modification)
    implements Encodable {
  /** The encoded kind. */
  public static final String KIND = "change";

  private static final String BASE_REVISION = "base";
  private static final String REVISION = "rev";
  private static final String MODIFICATION = "change";

  /**
   * Reads a change.
   *
   * @throws ProtocolException if a field is missing
   */
  public static ConfigurationChange of(WireRecord encoded) throws ProtocolException {
    return new ConfigurationChange(
        encoded.requiredNumber(BASE_REVISION),
        encoded.requiredNumber(REVISION),
        CompressedBytes.of(encoded.requiredBytes(MODIFICATION)));
  }

  @Override
  public WireRecord toWireRecord() {
    return new WireRecord(KIND)
        .with(BASE_REVISION, baseRevision)
        .with(REVISION, revision)
        .with(MODIFICATION, modification.bytes());
  }
}
