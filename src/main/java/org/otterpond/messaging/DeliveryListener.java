package org.otterpond.messaging;

import java.util.Map;

/**
 * Delivers the messages of the partitions that this node leads. Called on the owner thread.
 *
 * <p>Between {@link #ready} and its end a message belongs to the listener, and nothing else moves
 * it on: the listener either returns it ({@link MessagePartition#later}) or reports its end ({@link
 * MessageStore#ended}). One that it cannot deliver at this moment is returned, never dropped.
 */
public interface DeliveryListener {
  /** The message may be delivered now; it is the first of its ordering key if it has one. */
  void ready(MessagePartition partition, Message message);

  /**
   * No delivery of this partition may begin any more: what waits is returned; {@code quiet} runs
   * once none is in progress.
   */
  void stop(MessagePartition partition, Runnable quiet);

  /**
   * Returns how many messages of each partition it has, waiting or in progress, counted anew where
   * they are.
   */
  Map<MessagePartition, Integer> countByPartition();
}
