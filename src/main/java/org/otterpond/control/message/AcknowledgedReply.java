package org.otterpond.control.message;

import org.otterpond.protocol.WireRecord;

/** Acknowledges a request that needs no other answer. */
public record AcknowledgedReply() implements PrimaryReply {
  @Override
  public WireRecord toWireRecord() {
    return PrimaryReply.encoded();
  }
}
