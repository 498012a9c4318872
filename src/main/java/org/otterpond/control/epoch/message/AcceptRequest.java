package org.otterpond.control.epoch.message;

import org.otterpond.control.state.EpochRecord;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * A candidate asks a member to accept the record of its epoch; the primary repeats it to members
 * that lack the record.
 *
 * @param record the proposed record
 * @param targetDiskId the disk identity of the member meant; another disk at its address ignores
 *     the message
 * @param replyAddress the address of the sender, to which the response goes
 */
public record AcceptRequest(EpochRecord record, String targetDiskId, String replyAddress)
    implements EpochMessage {
  /** The encoded kind. */
  public static final String KIND = "acc";

  private static final String RECORD = "record";
  private static final String TARGET_DISK_ID = "to";
  private static final String REPLY_ADDRESS = "from";

  /**
   * Reads the encoded form.
   *
   * @throws ProtocolException if a required field is missing
   */
  public static AcceptRequest of(WireRecord encoded) throws ProtocolException {
    return new AcceptRequest(
        EpochRecord.of(encoded.requiredNested(RECORD)),
        encoded.requiredText(TARGET_DISK_ID),
        encoded.requiredText(REPLY_ADDRESS));
  }

  @Override
  public WireRecord toWireRecord() {
    return new WireRecord(KIND)
        .with(RECORD, record.toWireRecord())
        .with(TARGET_DISK_ID, targetDiskId)
        .with(REPLY_ADDRESS, replyAddress);
  }
}
