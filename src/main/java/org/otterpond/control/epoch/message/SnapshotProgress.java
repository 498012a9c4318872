package org.otterpond.control.epoch.message;

import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * A candidate tells the members that its snapshot transfer goes on, so that those that promised its
 * epoch do not become candidates.
 *
 * @param epoch the epoch of the candidate
 */
public record SnapshotProgress(long epoch) implements EpochMessage {
  /** The encoded kind. */
  public static final String KIND = "copying";

  private static final String EPOCH = "epoch";

  /**
   * Reads the encoded form.
   *
   * @throws ProtocolException if a required field is missing
   */
  public static SnapshotProgress of(WireRecord encoded) throws ProtocolException {
    return new SnapshotProgress(encoded.requiredNumber(EPOCH));
  }

  @Override
  public WireRecord toWireRecord() {
    return new WireRecord(KIND).with(EPOCH, epoch);
  }
}
