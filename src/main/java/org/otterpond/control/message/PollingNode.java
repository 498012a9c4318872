package org.otterpond.control.message;

import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * The node that sent a poll.
 *
 * @param address the address at which other nodes reach it
 * @param name its name
 * @param zone its zone
 * @param diskId identity of its core disk, or null if it has none and cannot join the core
 * @param incarnation identity of its process, another one after each start
 * @param storeId identity of its message store, or null if it stores no messages
 */
public record PollingNode(
    String address, String name, String zone, String diskId, long incarnation, String storeId) {
  private static final String ADDRESS = "addr";
  private static final String NAME = "name";
  private static final String ZONE = "zone";
  private static final String DISK_ID = "disk";
  private static final String INCARNATION = "life";
  private static final String STORE_ID = "store";

  static PollingNode of(WireRecord poll) throws ProtocolException {
    return new PollingNode(
        poll.requiredText(ADDRESS),
        poll.requiredText(NAME),
        poll.requiredText(ZONE),
        MessageFields.optionalText(poll, DISK_ID),
        poll.requiredNumber(INCARNATION),
        MessageFields.optionalText(poll, STORE_ID));
  }

  /** Whether the node stores messages. */
  public boolean storesMessages() {
    return storeId != null;
  }

  void addIdentityTo(WireRecord poll) {
    poll.with(ADDRESS, address)
        .with(NAME, name)
        .with(ZONE, zone)
        .with(DISK_ID, diskId)
        .with(INCARNATION, incarnation);
  }

  void addStoreTo(WireRecord poll) {
    poll.with(STORE_ID, storeId);
  }
}
