package org.otterpond.messaging;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import org.otterpond.protocol.WireRecord;
import org.otterpond.replication.GroupConfiguration;

/** The message partitions and their primaries, as the control plane reports them. */
final class PartitionDirectory {
  private static final String KEY_PREFIX = "partition:";

  private final Map<Integer, GroupConfiguration> configurations = new HashMap<>();
  private int count;

  /** Takes in an assignment; those about other things are ignored. */
  void assigned(WireRecord entry) {
    if (entry.text("key").startsWith(KEY_PREFIX)) {
      GroupConfiguration configuration = GroupConfiguration.of(entry);
      configurations.put(configuration.group(), configuration);
      count = (int) entry.number("of");
    }
  }

  /** Returns whether no partition is known yet. */
  boolean isEmpty() {
    return count == 0;
  }

  boolean contains(int partition) {
    return configurations.containsKey(partition);
  }

  /** Returns the address of the partition's primary, or null if the partition is not known. */
  String primaryAddress(int partition) {
    GroupConfiguration configuration = configurations.get(partition);
    return configuration == null ? null : GroupConfiguration.addressOf(configuration.primary());
  }

  /** Returns the partition of a tenant's messages with a placement key. */
  int partitionOf(String tenant, String placementKey) {
    String scoped = (tenant == null ? "" : tenant) + "\n" + placementKey;
    int hash = Hashing.murmur3_32_fixed().hashString(scoped, StandardCharsets.UTF_8).asInt();
    return Math.floorMod(hash, count);
  }
}
