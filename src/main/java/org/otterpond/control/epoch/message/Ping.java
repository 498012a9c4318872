package org.otterpond.control.epoch.message;

import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * The heartbeat of a primary to every member; a response of every backup proves its leadership.
 *
 * @param epoch the epoch of the primary
 * @param fleetId the fleet of the primary
 * @param sentAtMicros when it was sent, on the primary's monotonic clock in microseconds
 */
public record Ping(long epoch, String fleetId, long sentAtMicros) implements EpochMessage {
  /** The encoded kind. */
  public static final String KIND = "ping";

  private static final String EPOCH = "epoch";
  private static final String FLEET_ID = "fleet";
  private static final String SENT_AT = "at";

  /**
   * Reads the encoded form.
   *
   * @throws ProtocolException if a required field is missing
   */
  public static Ping of(WireRecord encoded) throws ProtocolException {
    return new Ping(
        encoded.requiredNumber(EPOCH),
        encoded.requiredText(FLEET_ID),
        encoded.requiredNumber(SENT_AT));
  }

  @Override
  public WireRecord toWireRecord() {
    return new WireRecord(KIND)
        .with(EPOCH, epoch)
        .with(FLEET_ID, fleetId)
        .with(SENT_AT, sentAtMicros);
  }
}
