package org.otterpond.control.epoch.message;

import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * The log record of the newest epoch that is known to have begun.
 *
 * @param epoch the epoch
 */
public record BegunRecord(long epoch) implements EpochLogRecord {
  /** The encoded kind. */
  public static final String KIND = "begun";

  private static final String EPOCH = "epoch";

  /**
   * Reads the encoded form.
   *
   * @throws ProtocolException if a required field is missing
   */
  public static BegunRecord of(WireRecord encoded) throws ProtocolException {
    return new BegunRecord(encoded.requiredNumber(EPOCH));
  }

  @Override
  public WireRecord toWireRecord() {
    return new WireRecord(KIND).with(EPOCH, epoch);
  }
}
