package org.otterpond.control.message;

import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * Rejects a request of an operation that the primary does not know.
 *
 * @param error description for people
 */
public record UnknownOperationReply(String error) implements PrimaryReply {
  private static final String ERROR = "error";

  /**
   * Reads a reply.
   *
   * @throws ProtocolException if a required field is missing or a field has the wrong type
   */
  public static UnknownOperationReply of(WireRecord encoded) throws ProtocolException {
    return new UnknownOperationReply(encoded.requiredText(ERROR));
  }

  @Override
  public WireRecord toWireRecord() {
    return PrimaryReply.encoded().with(ERROR, error);
  }
}
