package org.otterpond.control.message;

import org.otterpond.protocol.WireRecord;

/** Asks for the committed gateway configuration. Answered by a {@link ReadConfigurationReply}. */
public record ReadConfigurationRequest() implements PrimaryRequest {
  /** The encoded name of the operation. */
  public static final String OPERATION_NAME = "read";

  /** Reads a request, which has no fields of its own. */
  public static ReadConfigurationRequest of(WireRecord encoded) {
    return new ReadConfigurationRequest();
  }

  @Override
  public WireRecord toWireRecord() {
    return PrimaryRequest.encoded(OPERATION_NAME);
  }
}
