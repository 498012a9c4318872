package org.otterpond.control.message;

import org.otterpond.protocol.Encodable;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * The answer to a {@link FetchOutcomeRequest}.
 *
 * <p>In this reply the number of the request precedes the outcome.
 *
 * @param requestId number of the request
 * @param outcome the outcome, encoded by the proxy module; null if the node knows nothing of the
 *     attempt
 */
public record FetchOutcomeReply(long requestId, WireRecord outcome) implements Encodable {
  private static final String OUTCOME = "answer";

  /**
   * Reads a reply.
   *
   * @throws ProtocolException if the number of the request is missing
   */
  public static FetchOutcomeReply of(WireRecord encoded) throws ProtocolException {
    return new FetchOutcomeReply(
        encoded.requiredNumber(PrimaryRequest.REQUEST_ID),
        MessageFields.optionalNested(encoded, OUTCOME));
  }

  @Override
  public WireRecord toWireRecord() {
    return PrimaryReply.encoded().with(PrimaryRequest.REQUEST_ID, requestId).with(OUTCOME, outcome);
  }
}
