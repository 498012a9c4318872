package org.otterpond.messaging;

import java.util.Map;
import java.util.function.BiConsumer;

/**
 * A delivery that passes on what is offered and delivers nothing.
 *
 * @param offers gets each message that may be delivered, with its partition
 */
record OfferCollector(BiConsumer<MessagePartition, Message> offers) implements DeliveryListener {
  @Override
  public void ready(MessagePartition partition, Message message) {
    offers.accept(partition, message);
  }

  @Override
  public void stop(MessagePartition partition, Runnable quiet) {
    quiet.run();
  }

  @Override
  public Map<MessagePartition, Integer> countByPartition() {
    return Map.of();
  }
}
