package org.otterpond.messaging;

import java.util.List;
import org.otterpond.messaging.message.AcceptedMessage;
import org.otterpond.messaging.message.MessageContent;
import org.otterpond.messaging.message.MessageDestination;
import org.otterpond.messaging.message.MessageKeys;

/** Makes messages for tests. */
final class Messages {
  private Messages() {}

  static MessageContent content(int bytes) {
    return new MessageContent("POST", List.of(), new byte[bytes]);
  }

  /** Returns a message that was accepted at time 0; the keys may be null. */
  static Message accepted(String id, String orderingKey, String operationKey, long serial) {
    AcceptedMessage entry =
        new AcceptedMessage(
            new MessageKeys(id, "tenant", orderingKey, operationKey),
            new MessageDestination("host", "/path", 1),
            content(1),
            0,
            1_000);
    return Message.accepted(entry, serial, 0, 0);
  }
}
