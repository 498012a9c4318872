package org.otterpond.messaging;

/**
 * A message that waits for a worker.
 *
 * @param partition the partition that it belongs to
 * @param message the message
 * @param offer the number of the offer that this delivery answers
 * @param priority the rank of its route; lower values go first
 * @param readyAtMicros when it was offered for delivery
 */
record PendingDelivery(
    MessagePartition partition, Message message, long offer, int priority, long readyAtMicros) {
  /** After this time a partition without a lease has got it again, or has ceased to serve. */
  private static final long LEASE_RETRY_MICROS = 50_000;

  /** Creates the delivery of a message that has just been offered, without a route. */
  static PendingDelivery of(MessagePartition partition, Message message, long readyAtMicros) {
    return new PendingDelivery(partition, message, message.offers, 0, readyAtMicros);
  }

  PendingDelivery withPriority(int routePriority) {
    return new PendingDelivery(partition, message, offer, routePriority, readyAtMicros);
  }

  /** Returns whether the message still waits for this delivery; its retention may be over. */
  boolean isCurrent() {
    return message.stage == DeliveryStage.READY && message.offers == offer;
  }

  /** Returns whether the message may be delivered by this node at this moment. */
  boolean isDeliverable() {
    return isCurrent() && partition.serving();
  }

  /** Returns a message that may not be delivered now; its partition offers it again. */
  void giveBack() {
    if (isCurrent()) {
      partition.later(message, LEASE_RETRY_MICROS);
    }
  }
}
