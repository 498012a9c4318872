package org.otterpond.control.epoch.message;

import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * A candidate asks a member to promise that it accepts no record of an epoch below the one given.
 *
 * @param epoch the epoch that the candidate wants to begin
 * @param targetDiskId the disk identity of the member meant; another disk at its address ignores
 *     the message
 * @param fleetId the fleet of the candidate's base record
 * @param baseEpoch the epoch of the record from which the candidate goes on
 * @param replyAddress the address of the sender, to which the response goes
 */
public record PrepareRequest(
    long epoch, String targetDiskId, String fleetId, long baseEpoch, String replyAddress)
    implements EpochMessage {
  /** The encoded kind. */
  public static final String KIND = "prep";

  private static final String EPOCH = "epoch";
  private static final String TARGET_DISK_ID = "to";
  private static final String FLEET_ID = "fleet";
  private static final String BASE_EPOCH = "base";
  private static final String REPLY_ADDRESS = "from";

  /**
   * Reads the encoded form.
   *
   * @throws ProtocolException if a required field is missing
   */
  public static PrepareRequest of(WireRecord encoded) throws ProtocolException {
    return new PrepareRequest(
        encoded.requiredNumber(EPOCH),
        encoded.requiredText(TARGET_DISK_ID),
        encoded.requiredText(FLEET_ID),
        encoded.requiredNumber(BASE_EPOCH),
        encoded.requiredText(REPLY_ADDRESS));
  }

  @Override
  public WireRecord toWireRecord() {
    return new WireRecord(KIND)
        .with(EPOCH, epoch)
        .with(TARGET_DISK_ID, targetDiskId)
        .with(FLEET_ID, fleetId)
        .with(BASE_EPOCH, baseEpoch)
        .with(REPLY_ADDRESS, replyAddress);
  }
}
