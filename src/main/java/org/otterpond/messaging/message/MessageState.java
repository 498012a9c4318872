package org.otterpond.messaging.message;

import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/** What has become of a stored message. */
public enum MessageState {
  /** Accepted and not delivered yet. */
  QUEUED,
  /** A worker has executed it. */
  COMPLETED,
  /** It will not be delivered: a worker rejected it for good, or all attempts failed. */
  DEAD_LETTER;

  static MessageState of(WireRecord encoded, String field) throws ProtocolException {
    String name = encoded.requiredText(field);
    try {
      return valueOf(name);
    } catch (IllegalArgumentException e) {
      throw new ProtocolException(
          "kind " + encoded.kind() + ": " + field + " is not a state: " + name, e);
    }
  }
}
