package org.otterpond.control.epoch.message;

import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * A primary has resigned; its backups take over in their order.
 *
 * @param epoch the epoch of the former primary
 * @param authorityEndsInMicros how long earlier primaries may still act on their authority, in
 *     microseconds
 */
public record ResignNotice(long epoch, long authorityEndsInMicros) implements EpochMessage {
  /** The encoded kind. */
  public static final String KIND = "resign";

  private static final String EPOCH = "epoch";
  private static final String AUTHORITY_ENDS_IN = "quiet";

  /**
   * Reads the encoded form.
   *
   * @throws ProtocolException if a required field is missing
   */
  public static ResignNotice of(WireRecord encoded) throws ProtocolException {
    return new ResignNotice(
        encoded.requiredNumber(EPOCH), encoded.requiredNumber(AUTHORITY_ENDS_IN));
  }

  @Override
  public WireRecord toWireRecord() {
    return new WireRecord(KIND).with(EPOCH, epoch).with(AUTHORITY_ENDS_IN, authorityEndsInMicros);
  }
}
