package org.otterpond.messaging;

import java.util.Collection;
import org.otterpond.messaging.message.MessageContent;
import org.otterpond.protocol.WireRecord;
import org.otterpond.replication.RewriteListener;
import org.otterpond.runtime.NodeRuntime;
import org.otterpond.storage.SegmentStore;

/**
 * Drops the oldest segment of the log once it is old enough, after what is still needed in it has
 * been written to the newest.
 */
final class SegmentCleaner {
  private static final String SNAPSHOT_RECORD = "piece";
  private static final String GROUP = "group";

  private final NodeRuntime runtime;
  private final SegmentStore storage;
  private final long segmentRetentionMicros;
  private boolean cleaning;

  SegmentCleaner(NodeRuntime runtime, SegmentStore storage, long segmentRetentionMicros) {
    this.runtime = runtime;
    this.storage = storage;
    this.segmentRetentionMicros = segmentRetentionMicros;
  }

  /** Cleans the oldest segment, unless one is being cleaned or none is old enough. */
  void clean(Collection<PartitionReplica> partitions) {
    if (cleaning || !storage.oldestClosedFor(segmentRetentionMicros)) {
      return;
    }
    // A copy that is being refreshed has no header that would show it complete in newer segments.
    if (partitions.stream().anyMatch(partition -> partition.group().isRefreshing())) {
      return;
    }
    cleaning = true;
    Run run = new Run();
    long segmentEnd = storage.oldestEnd();
    for (PartitionReplica partition : partitions) {
      partition.group().rewriteUncommitted(run);
      for (Message message : partition.messages().storedBefore(segmentEnd)) {
        run.begun();
        partition.messages().whole(message, content -> rewrite(run, partition, message, content));
      }
    }
    run.ended(true);
  }

  private void rewrite(
      Run run, PartitionReplica partition, Message message, MessageContent content) {
    if (content == null || partition.messages().get(message.id()) != message) {
      run.ended(content != null);
      return;
    }
    WireRecord snapshot = message.snapshot(content, runtime.now()).toWireRecord();
    storage.append(
        new WireRecord(SNAPSHOT_RECORD).with(GROUP, partition.id()).with(SNAPSHOT_RECORD, snapshot),
        position -> {
          if (position >= 0 && partition.messages().get(message.id()) == message) {
            message.position = position;
          }
          run.ended(position >= 0);
        });
  }

  /** Counts the steps of one cleaning; the segment is dropped if all of them succeeded. */
  private final class Run implements RewriteListener {
    private int open = 1;
    private boolean succeeded = true;

    @Override
    public void begun() {
      open++;
    }

    @Override
    public void ended(boolean success) {
      succeeded &= success;
      open--;
      if (open == 0) {
        cleaning = false;
        if (succeeded) {
          storage.dropOldest();
        }
      }
    }
  }
}
