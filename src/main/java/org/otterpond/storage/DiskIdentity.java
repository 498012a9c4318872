package org.otterpond.storage;

import org.otterpond.protocol.Encodable;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * The first record of a segment.
 *
 * @param diskId the identity of the disk
 */
public record DiskIdentity(String diskId) implements Encodable {
  /** The encoded kind. */
  public static final String KIND = "disk";

  private static final String DISK_ID = "disk";

  /**
   * Reads an identity.
   *
   * @throws ProtocolException if the identity is missing
   */
  public static DiskIdentity of(WireRecord encoded) throws ProtocolException {
    return new DiskIdentity(encoded.requiredText(DISK_ID));
  }

  @Override
  public WireRecord toWireRecord() {
    return new WireRecord(KIND).with(DISK_ID, diskId);
  }
}
