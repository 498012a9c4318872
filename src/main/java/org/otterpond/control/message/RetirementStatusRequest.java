package org.otterpond.control.message;

import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * Asks whether a storage node is empty. Answered by a {@link RetirementStatusReply}.
 *
 * @param node name of the node
 */
public record RetirementStatusRequest(String node) implements PrimaryRequest {
  /** The encoded name of the operation. */
  public static final String OPERATION_NAME = "retired";

  private static final String NODE = "node";

  /**
   * Reads a request.
   *
   * @throws ProtocolException if a required field is missing or a field has the wrong type
   */
  public static RetirementStatusRequest of(WireRecord encoded) throws ProtocolException {
    return new RetirementStatusRequest(encoded.requiredText(NODE));
  }

  @Override
  public WireRecord toWireRecord() {
    return PrimaryRequest.encoded(OPERATION_NAME).with(NODE, node);
  }
}
