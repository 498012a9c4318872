package org.otterpond.control.message;

import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * The answer to a {@link RetireNodeRequest}.
 *
 * @param status {@link #ACCEPTED}, {@link #UNKNOWN_NODE} or {@link #TOO_FEW_NODES}
 */
public record RetireNodeReply(int status) implements PrimaryReply {
  /** Status of a request that was accepted. */
  public static final int ACCEPTED = 200;

  /** Status of a request that names no known node. */
  public static final int UNKNOWN_NODE = 404;

  /** Status of a request after which too few storage nodes would be left. */
  public static final int TOO_FEW_NODES = 409;

  private static final String STATUS = "status";

  /**
   * Reads a reply.
   *
   * @throws ProtocolException if a required field is missing or a field has the wrong type
   */
  public static RetireNodeReply of(WireRecord encoded) throws ProtocolException {
    return new RetireNodeReply((int) encoded.requiredNumber(STATUS));
  }

  @Override
  public WireRecord toWireRecord() {
    return PrimaryReply.encoded().with(STATUS, status);
  }
}
