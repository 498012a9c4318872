package org.otterpond.control.message;

import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * Asks that a storage node be emptied of message replicas. Answered by a {@link RetireNodeReply}.
 *
 * @param node name of the node
 */
public record RetireNodeRequest(String node) implements PrimaryRequest {
  /** The encoded name of the operation. */
  public static final String OPERATION_NAME = "retire";

  private static final String NODE = "node";

  /**
   * Reads a request.
   *
   * @throws ProtocolException if a required field is missing or a field has the wrong type
   */
  public static RetireNodeRequest of(WireRecord encoded) throws ProtocolException {
    return new RetireNodeRequest(encoded.requiredText(NODE));
  }

  @Override
  public WireRecord toWireRecord() {
    return PrimaryRequest.encoded(OPERATION_NAME).with(NODE, node);
  }
}
