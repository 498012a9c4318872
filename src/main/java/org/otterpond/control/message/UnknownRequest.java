package org.otterpond.control.message;

import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * A request of an operation that this version does not know, as a node of a newer version may send.
 *
 * @param operation the name of the operation
 */
public record UnknownRequest(String operation) implements PrimaryRequest {
  static UnknownRequest of(WireRecord encoded) throws ProtocolException {
    return new UnknownRequest(encoded.requiredText(OPERATION));
  }

  @Override
  public WireRecord toWireRecord() {
    return PrimaryRequest.encoded(operation);
  }
}
