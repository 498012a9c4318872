package org.otterpond.messaging.message;

import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * Asks the primary of a partition to accept a message. The same request may be sent again: the id
 * of the message makes it idempotent.
 *
 * @param group the number of the partition
 * @param entry the encoded {@link AcceptedMessage}; it is replicated as it was received, so that
 *     fields of a newer version are kept
 */
public record PutMessageRequest(int group, WireRecord entry) implements MessageStoreRequest {
  /** The encoded kind. */
  public static final String KIND = "m.put";

  private static final String GROUP = "group";
  private static final String MESSAGE = "message";

  /** Creates a request for a message. */
  public static PutMessageRequest of(int group, AcceptedMessage message) {
    return new PutMessageRequest(group, message.toWireRecord());
  }

  /**
   * Reads a request.
   *
   * @throws ProtocolException if a field is missing
   */
  public static PutMessageRequest of(WireRecord encoded) throws ProtocolException {
    return new PutMessageRequest(
        (int) encoded.requiredNumber(GROUP), encoded.requiredNested(MESSAGE));
  }

  /**
   * Reads the message.
   *
   * @throws ProtocolException if a required field is missing
   */
  public AcceptedMessage message() throws ProtocolException {
    return AcceptedMessage.of(entry);
  }

  @Override
  public WireRecord toWireRecord() {
    return new WireRecord(KIND).with(GROUP, group).with(MESSAGE, entry);
  }
}
