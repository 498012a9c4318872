package org.otterpond.messaging;

import org.otterpond.proxy.WorkerEndpoint;

/**
 * One attempt to deliver a message.
 *
 * @param queue the queue of the service
 * @param delivery the message
 * @param endpoint the worker
 * @param timeoutMicros how long the worker may take
 * @param maxAttempts how many failed attempts make the message a dead letter
 */
record DeliveryAttempt(
    DeliveryQueue queue,
    PendingDelivery delivery,
    WorkerEndpoint endpoint,
    long timeoutMicros,
    int maxAttempts) {
  Message message() {
    return delivery.message();
  }

  MessagePartition partition() {
    return delivery.partition();
  }
}
