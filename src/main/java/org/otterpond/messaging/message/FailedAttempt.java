package org.otterpond.messaging.message;

import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * A worker failed an attempt to execute a message.
 *
 * @param id the id of the message
 * @param attempts the number of failed attempts with this one
 */
public record FailedAttempt(String id, int attempts) implements MessageEntry {
  /** The encoded kind. */
  public static final String KIND = "tried";

  private static final String ID = "id";
  private static final String ATTEMPTS = "attempts";

  /**
   * Reads an entry.
   *
   * @throws ProtocolException if a field is missing
   */
  public static FailedAttempt of(WireRecord encoded) throws ProtocolException {
    return new FailedAttempt(encoded.requiredText(ID), (int) encoded.requiredNumber(ATTEMPTS));
  }

  @Override
  public WireRecord toWireRecord() {
    return new WireRecord(KIND).with(ID, id).with(ATTEMPTS, attempts);
  }
}
