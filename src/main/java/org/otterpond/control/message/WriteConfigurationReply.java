package org.otterpond.control.message;

import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * The answer to a {@link WriteConfigurationRequest}.
 *
 * @param status {@link #COMMITTED}, {@link #INVALID} or {@link #OTHER_REVISION}
 * @param cause why the change was rejected, or null if it was committed
 */
public record WriteConfigurationReply(int status, String cause) implements PrimaryReply {
  /** The change is committed. */
  public static final int COMMITTED = 200;

  /** The change is not valid. */
  public static final int INVALID = 400;

  /** The base revision is not the current revision. */
  public static final int OTHER_REVISION = 412;

  private static final String STATUS = "status";
  private static final String CAUSE = "cause";

  /**
   * Reads a reply.
   *
   * @throws ProtocolException if a required field is missing or a field has the wrong type
   */
  public static WriteConfigurationReply of(WireRecord encoded) throws ProtocolException {
    return new WriteConfigurationReply(
        (int) encoded.requiredNumber(STATUS), MessageFields.optionalText(encoded, CAUSE));
  }

  @Override
  public WireRecord toWireRecord() {
    return PrimaryReply.encoded().with(STATUS, status).with(CAUSE, cause);
  }
}
