package org.otterpond.messaging;

/**
 * Where a queued message is at the primary of its partition. Each stage names the event that ends
 * it, so that no message stays where nothing will move it on.
 */
enum DeliveryStage {
  /**
   * Not to be delivered: it has ended, its partition does not serve here, or an earlier message of
   * its ordering key goes first. Ends when the partition begins to serve, or with that message.
   */
  IDLE,
  /** Among the {@link DelayedMessages}; ends with their timer. */
  DELAYED,
  /**
   * Handed to the {@link DeliveryListener}, waits for a worker; ends when it is begun or returned.
   */
  READY,
  /** An attempt is in progress; ends with the attempt, which ends the message or returns it. */
  IN_FLIGHT,
  /** Its end is being replicated; ends once that is committed, rejected or left undecided. */
  ENDING
}
