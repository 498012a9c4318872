package org.otterpond.control.epoch.message;

import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * A backup that is shutting down asks the primary to replace it.
 *
 * @param diskId the disk identity of the sender
 */
public record LeaveNotice(String diskId) implements EpochMessage {
  /** The encoded kind. */
  public static final String KIND = "bow";

  private static final String DISK_ID = "id";

  /**
   * Reads the encoded form.
   *
   * @throws ProtocolException if a required field is missing
   */
  public static LeaveNotice of(WireRecord encoded) throws ProtocolException {
    return new LeaveNotice(encoded.requiredText(DISK_ID));
  }

  @Override
  public WireRecord toWireRecord() {
    return new WireRecord(KIND).with(DISK_ID, diskId);
  }
}
