package org.otterpond.messaging;

import java.util.Collection;
import java.util.Map;
import org.otterpond.runtime.NodeRuntime;

/**
 * Checks an invariant of the partitions that this machine serves: each queued message is in a stage
 * that some event will end. It counts and logs what contradicts that, and moves no message itself.
 */
final class StrandedMessageMonitor {
  private final NodeRuntime runtime;
  private final DeliveryListener delivery;
  private long stranded;

  StrandedMessageMonitor(NodeRuntime runtime, DeliveryListener delivery) {
    this.runtime = runtime;
    this.delivery = delivery;
  }

  /** Checks all partitions. */
  void check(Collection<PartitionReplica> partitions) {
    Map<MessagePartition, Integer> held = delivery.countByPartition();
    stranded = 0;
    for (PartitionReplica partition : partitions) {
      MessagePartition messages = partition.messages();
      int count =
          messages
              .delivery()
              .countStranded(held.getOrDefault(messages, 0), !partition.group().isIdle());
      if (count > 0) {
        stranded += count;
        runtime.event("event=messages_stranded partition=" + partition.id() + " count=" + count);
      }
    }
  }

  /** Returns how many messages the last check found that nothing will move on. */
  long stranded() {
    return stranded;
  }
}
