package org.otterpond.control.epoch.message;

import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * A member has accepted the record of the epoch, and it is durable.
 *
 * @param epoch the epoch of the accepted record
 * @param diskId the disk identity of the sender
 */
public record AcceptResponse(long epoch, String diskId) implements EpochMessage {
  /** The encoded kind. */
  public static final String KIND = "accd";

  private static final String EPOCH = "epoch";
  private static final String DISK_ID = "id";

  /**
   * Reads the encoded form.
   *
   * @throws ProtocolException if a required field is missing
   */
  public static AcceptResponse of(WireRecord encoded) throws ProtocolException {
    return new AcceptResponse(encoded.requiredNumber(EPOCH), encoded.requiredText(DISK_ID));
  }

  @Override
  public WireRecord toWireRecord() {
    return new WireRecord(KIND).with(EPOCH, epoch).with(DISK_ID, diskId);
  }
}
