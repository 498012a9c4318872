package org.otterpond.messaging;

/** What delivers the messages of the partitions that this node leads. */
public interface DeliveryListener {
  /** The message may be delivered now, and is the first of its order if it has one. */
  void ready(MessagePartition queue, Message message);

  /**
   * Nothing of this queue is to be begun any more; {@code quiet} runs once nothing of it is under
   * way.
   */
  void stop(MessagePartition queue, Runnable quiet);
}
