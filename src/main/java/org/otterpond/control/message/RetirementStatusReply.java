package org.otterpond.control.message;

import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * The answer to a {@link RetirementStatusRequest}.
 *
 * @param known whether the node is being retired
 * @param completed whether it is empty
 */
public record RetirementStatusReply(boolean known, boolean completed) implements PrimaryReply {
  private static final int KNOWN = 200;
  private static final int UNKNOWN = 404;

  private static final String STATUS = "status";
  private static final String COMPLETED = "done";

  /**
   * Reads a reply.
   *
   * @throws ProtocolException if a required field is missing or a field has the wrong type
   */
  public static RetirementStatusReply of(WireRecord encoded) throws ProtocolException {
    return new RetirementStatusReply(
        encoded.requiredNumber(STATUS) == KNOWN, encoded.truth(COMPLETED));
  }

  @Override
  public WireRecord toWireRecord() {
    return PrimaryReply.encoded()
        .with(STATUS, known ? KNOWN : UNKNOWN)
        .with(COMPLETED, known ? completed : null);
  }
}
