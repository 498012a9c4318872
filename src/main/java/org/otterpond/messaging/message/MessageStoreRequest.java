package org.otterpond.messaging.message;

import org.otterpond.protocol.Encodable;

/**
 * What an edge node asks the primary of a partition; answered by a {@link MessageStoreReply}. The
 * sender adds the number of the request as the last field.
 */
public sealed interface MessageStoreRequest extends Encodable
    permits PutMessageRequest, MessageStateRequest, MessageBodyRequest {
  /** Returns the number of the partition. */
  int group();
}
