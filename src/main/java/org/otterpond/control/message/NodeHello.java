package org.otterpond.control.message;

import org.otterpond.protocol.Encodable;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * Asks another node for the newest epoch record that it knows. The receiver answers with an {@code
 * EpochAnnouncement} if it knows one.
 *
 * @param address the sender's address
 * @param name the sender's name
 * @param zone the sender's zone
 * @param blankDiskId identity of the sender's disk if the disk is blank and may take part in the
 *     bootstrap of the core; null otherwise
 */
public record NodeHello(String address, String name, String zone, String blankDiskId)
    implements Encodable {
  /** The encoded kind. */
  public static final String KIND = "hello";

  private static final String ADDRESS = "addr";
  private static final String NAME = "name";
  private static final String ZONE = "zone";
  private static final String BLANK_DISK_ID = "blank";

  /**
   * Reads a hello.
   *
   * @throws ProtocolException if a required field is missing
   */
  public static NodeHello of(WireRecord encoded) throws ProtocolException {
    return new NodeHello(
        encoded.requiredText(ADDRESS),
        encoded.requiredText(NAME),
        encoded.requiredText(ZONE),
        MessageFields.optionalText(encoded, BLANK_DISK_ID));
  }

  @Override
  public WireRecord toWireRecord() {
    return new WireRecord(KIND)
        .with(ADDRESS, address)
        .with(NAME, name)
        .with(ZONE, zone)
        .with(BLANK_DISK_ID, blankDiskId);
  }
}
