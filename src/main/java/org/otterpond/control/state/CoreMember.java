package org.otterpond.control.state;

import org.otterpond.protocol.Encodable;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * A member of the core: one disk at an address.
 *
 * @param diskId the identity of the disk, by which votes are counted; a wiped disk gets a new one
 * @param address internal address of the node, {@code ip:port}
 * @param name name of the node
 * @param zone zone of the node
 */
public record CoreMember(String diskId, String address, String name, String zone)
    implements Encodable {
  /** The encoded kind. */
  public static final String KIND = "berth";

  private static final String DISK_ID = "id";
  private static final String ADDRESS = "addr";
  private static final String NAME = "name";
  private static final String ZONE = "zone";

  @Override
  public WireRecord toWireRecord() {
    return new WireRecord(KIND)
        .with(DISK_ID, diskId)
        .with(ADDRESS, address)
        .with(NAME, name)
        .with(ZONE, zone);
  }

  /**
   * Reads a member.
   *
   * @throws ProtocolException if a field is missing
   */
  public static CoreMember decode(WireRecord encoded) throws ProtocolException {
    return new CoreMember(
        encoded.requiredText(DISK_ID),
        encoded.requiredText(ADDRESS),
        encoded.requiredText(NAME),
        encoded.requiredText(ZONE));
  }

  /**
   * Reads a member that may be absent: null stays null, and absent fields become null. Code that
   * can reject a message uses {@link #decode}.
   */
  public static CoreMember of(WireRecord encoded) {
    return encoded == null
        ? null
        : new CoreMember(
            encoded.text(DISK_ID), encoded.text(ADDRESS), encoded.text(NAME), encoded.text(ZONE));
  }
}
