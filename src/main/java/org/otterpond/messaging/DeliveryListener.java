package org.otterpond.messaging;

/** Delivers the messages of the partitions that this node leads. Called on the owner thread. */
public interface DeliveryListener {
  /** The message may be delivered now; it is the first of its ordering key if it has one. */
  void ready(MessagePartition partition, Message message);

  /**
   * No delivery of this partition may begin any more; {@code quiet} runs once none is in progress.
   */
  void stop(MessagePartition partition, Runnable quiet);
}
