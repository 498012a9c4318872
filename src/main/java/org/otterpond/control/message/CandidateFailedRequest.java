package org.otterpond.control.message;

import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * Reports that the primary of a replica group could not bring a candidate up to date, so that
 * another node is to be chosen. Answered by an {@link AcknowledgedReply}.
 *
 * @param group number of the replica group
 * @param member the candidate, by disk and address
 */
public record CandidateFailedRequest(int group, String member) implements PrimaryRequest {
  /** The encoded name of the operation. */
  public static final String OPERATION_NAME = "candidate-failed";

  private static final String GROUP = "group";
  private static final String MEMBER = "member";

  /**
   * Reads a request.
   *
   * @throws ProtocolException if a required field is missing or a field has the wrong type
   */
  public static CandidateFailedRequest of(WireRecord encoded) throws ProtocolException {
    return new CandidateFailedRequest(
        (int) encoded.requiredNumber(GROUP), encoded.requiredText(MEMBER));
  }

  @Override
  public WireRecord toWireRecord() {
    return PrimaryRequest.encoded(OPERATION_NAME).with(GROUP, group).with(MEMBER, member);
  }
}
