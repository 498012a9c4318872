package org.otterpond.messaging;

/**
 * A message that waits for a worker.
 *
 * @param partition the partition that it belongs to
 * @param message the message
 * @param priority the rank of its route; lower values go first
 * @param readyAtMicros when it was offered for delivery
 */
record PendingDelivery(
    MessagePartition partition, Message message, int priority, long readyAtMicros) {
  /** Returns whether the message may still be delivered by this node. */
  boolean active() {
    return partition.serving() && message.queued();
  }
}
