package org.otterpond.control.primary;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.otterpond.control.message.PartitionStatus;
import org.otterpond.control.state.Assignments;
import org.otterpond.replication.GroupConfiguration;

/** Counts the message partitions and their replicas for operators. */
final class PartitionStatistics {
  private PartitionStatistics() {}

  /** Returns the figures of the partitions among the assignments. */
  static PartitionStatus of(Assignments assignments) {
    Map<String, Integer> partitionsByAddress = new TreeMap<>();
    int underReplicated = 0;
    List<GroupConfiguration> groups = PartitionAssignments.all(assignments);
    for (GroupConfiguration group : groups) {
      List<String> members = group.members();
      members.forEach(
          member ->
              partitionsByAddress.merge(GroupConfiguration.addressOf(member), 1, Integer::sum));
      underReplicated += members.size() < group.wanted().size() ? 1 : 0;
    }
    List<PartitionStatus.StoreLoad> stores = new ArrayList<>();
    partitionsByAddress.forEach(
        (address, count) -> stores.add(new PartitionStatus.StoreLoad(address, count)));
    return new PartitionStatus(groups.size(), underReplicated, stores);
  }
}
