package org.otterpond.control.primary;

import org.otterpond.replication.GroupConfiguration;

/**
 * A node that stores messages.
 *
 * @param storeId identity of its message store
 * @param address its address
 * @param name its name
 * @param zone its zone
 * @param polledAtMicros when its newest poll arrived
 */
record StorageNode(String storeId, String address, String name, String zone, long polledAtMicros) {
  /** Returns the node's identity as a member of replica groups. */
  String member() {
    return GroupConfiguration.member(storeId, address);
  }
}
