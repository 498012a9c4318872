package org.otterpond.control.epoch.message;

import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * The log record of a promised epoch.
 *
 * @param epoch the promised epoch
 */
public record PromiseRecord(long epoch) implements EpochLogRecord {
  /** The encoded kind. */
  public static final String KIND = "promise";

  private static final String EPOCH = "epoch";

  /**
   * Reads the encoded form.
   *
   * @throws ProtocolException if a required field is missing
   */
  public static PromiseRecord of(WireRecord encoded) throws ProtocolException {
    return new PromiseRecord(encoded.requiredNumber(EPOCH));
  }

  @Override
  public WireRecord toWireRecord() {
    return new WireRecord(KIND).with(EPOCH, epoch);
  }
}
