package org.otterpond.control.primary;

import java.util.List;
import org.otterpond.control.state.Assignments;
import org.otterpond.protocol.WireRecord;
import org.otterpond.replication.GroupConfiguration;

/** Reads and creates the assignments that hold the replica groups of the message partitions. */
final class PartitionAssignments {
  private static final String KEY = "key";
  private static final String PARTITION_COUNT = "of";

  private PartitionAssignments() {}

  /** Returns the assignment of a partition to a replica group. */
  static WireRecord entry(GroupConfiguration group, long partitionCount) {
    return group
        .toWireRecord(Assignments.KIND)
        .with(KEY, key(group.group()))
        .with(PARTITION_COUNT, partitionCount);
  }

  /** Returns the key of a partition's assignment. */
  static String key(int partition) {
    return ReplicaPlacement.PARTITION + partition;
  }

  /** Returns the replica groups of all partitions. */
  static List<GroupConfiguration> all(Assignments assignments) {
    return assignments.withPrefix(ReplicaPlacement.PARTITION).stream()
        .map(GroupConfiguration::of)
        .toList();
  }

  /** Returns the number of partitions that an assignment was made with. */
  static long partitionCount(WireRecord entry) {
    return entry.number(PARTITION_COUNT);
  }
}
