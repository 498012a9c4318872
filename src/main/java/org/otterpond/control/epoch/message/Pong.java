package org.otterpond.control.epoch.message;

import java.util.OptionalLong;
import org.otterpond.control.state.EpochRecord;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * The response of a member to a ping.
 *
 * @param pingSentAtMicros the time in the ping, on the primary's monotonic clock in microseconds;
 *     present only if the sender follows the epoch of the ping and has promised no newer one
 * @param status how the sender describes itself
 * @param epoch the epoch of the record that the sender accepted; 0 if it has none
 * @param promisedEpoch the highest epoch that the sender promised; absent if it has no record
 * @param newerRecord the accepted record if it is newer than the ping's epoch; else null
 */
public record Pong(
    OptionalLong pingSentAtMicros,
    MemberStatus status,
    long epoch,
    OptionalLong promisedEpoch,
    EpochRecord newerRecord)
    implements EpochMessage {
  /** The encoded kind. */
  public static final String KIND = "pong";

  private static final String PING_SENT_AT = "at";
  private static final String DISK_ID = "id";
  private static final String EPOCH = "epoch";
  private static final String PROMISED_EPOCH = "promised";
  private static final String DISK_FAILED = "disk";
  private static final String LEAVING = "leaving";
  private static final String RECORD = "record";

  /** Returns the response of a member that has no record yet. */
  public static Pong withoutRecord(String diskId) {
    MemberStatus status = new MemberStatus(diskId, false, false);
    return new Pong(OptionalLong.empty(), status, 0, OptionalLong.empty(), null);
  }

  /**
   * Reads the encoded form.
   *
   * @throws ProtocolException if a required field is missing
   */
  public static Pong of(WireRecord encoded) throws ProtocolException {
    MemberStatus status =
        new MemberStatus(
            encoded.requiredText(DISK_ID), encoded.truth(DISK_FAILED), encoded.truth(LEAVING));
    return new Pong(
        optionalNumber(encoded, PING_SENT_AT),
        status,
        encoded.requiredNumber(EPOCH),
        optionalNumber(encoded, PROMISED_EPOCH),
        EpochRecord.of(encoded.nested(RECORD)));
  }

  private static OptionalLong optionalNumber(WireRecord encoded, String field) {
    return encoded.has(field) ? OptionalLong.of(encoded.number(field)) : OptionalLong.empty();
  }

  private static Long orNull(OptionalLong number) {
    return number.isPresent() ? number.getAsLong() : null;
  }

  @Override
  public WireRecord toWireRecord() {
    return new WireRecord(KIND)
        .with(PING_SENT_AT, orNull(pingSentAtMicros))
        .with(DISK_ID, status.diskId())
        .with(EPOCH, epoch)
        .with(PROMISED_EPOCH, orNull(promisedEpoch))
        .with(DISK_FAILED, status.diskFailed() ? true : null)
        .with(LEAVING, status.leaving() ? true : null)
        .with(RECORD, newerRecord == null ? null : newerRecord.toWireRecord());
  }
}
