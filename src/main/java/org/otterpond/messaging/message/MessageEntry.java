package org.otterpond.messaging.message;

import org.otterpond.protocol.Encodable;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/** An entry that the replica group of a partition replicates and stores. */
public sealed interface MessageEntry extends Encodable
    permits AcceptedMessage, FailedAttempt, EndedMessage {
  /**
   * Reads an entry.
   *
   * @throws ProtocolException if the kind is none of an entry or a required field is missing
   */
  static MessageEntry of(WireRecord encoded) throws ProtocolException {
    return switch (encoded.kind()) {
      case AcceptedMessage.KIND -> AcceptedMessage.of(encoded);
      case FailedAttempt.KIND -> FailedAttempt.of(encoded);
      case EndedMessage.KIND -> EndedMessage.of(encoded);
      default -> throw new ProtocolException("kind " + encoded.kind() + " is no entry");
    };
  }
}
