package org.otterpond.control.message;

import org.otterpond.protocol.WireRecord;

/** Asks for the state of the fleet. Answered by a {@link StatusReply}. */
public record StatusRequest() implements PrimaryRequest {
  /** The encoded name of the operation. */
  public static final String OPERATION_NAME = "status";

  /** Reads a request, which has no fields of its own. */
  public static StatusRequest of(WireRecord encoded) {
    return new StatusRequest();
  }

  @Override
  public WireRecord toWireRecord() {
    return PrimaryRequest.encoded(OPERATION_NAME);
  }
}
