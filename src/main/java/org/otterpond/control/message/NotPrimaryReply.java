package org.otterpond.control.message;

import org.otterpond.control.state.EpochRecord;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * Redirects a request: the receiver is not the primary, and names the newest epoch that it knows.
 *
 * @param epochRecord the epoch, whose primary is to be asked instead
 */
public record NotPrimaryReply(EpochRecord epochRecord) implements PrimaryReply {
  private static final String REDIRECTED = "moved";
  private static final String EPOCH_RECORD = "record";

  /** Whether an encoded reply is a redirection. */
  public static boolean isIn(WireRecord reply) {
    return reply.truth(REDIRECTED);
  }

  /**
   * Reads a reply.
   *
   * @throws ProtocolException if a required field is missing or a field has the wrong type
   */
  public static NotPrimaryReply of(WireRecord encoded) throws ProtocolException {
    return new NotPrimaryReply(EpochRecord.of(encoded.requiredNested(EPOCH_RECORD)));
  }

  @Override
  public WireRecord toWireRecord() {
    return PrimaryReply.encoded()
        .with(REDIRECTED, true)
        .with(EPOCH_RECORD, epochRecord.toWireRecord());
  }
}
