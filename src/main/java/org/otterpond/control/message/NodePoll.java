package org.otterpond.control.message;

import org.otterpond.protocol.Encodable;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * A long poll of a node at the primary, which renews the node's lease. The primary answers with a
 * {@link PollResponse} once it has updates for the node, or after the longest polling time.
 *
 * @param node the sender
 * @param known the versions that the sender has
 * @param pollNumber number of the poll, which the response repeats; grows with each poll of a node
 * @param acceptsChanges whether a newer configuration may be sent as changes to the known one
 * @param reports what the sender reports
 */
public record NodePoll(
    PollingNode node,
    KnownVersions known,
    long pollNumber,
    boolean acceptsChanges,
    PollReports reports)
    implements Encodable {
  /** The encoded kind. */
  public static final String KIND = "poll";

  private static final String POLL_NUMBER = "pn";
  private static final String ACCEPTS_CHANGES = "changes";

  /**
   * Reads a poll.
   *
   * @throws ProtocolException if a required field is missing or a field has the wrong type
   */
  public static NodePoll of(WireRecord encoded) throws ProtocolException {
    return new NodePoll(
        PollingNode.of(encoded),
        KnownVersions.of(encoded),
        encoded.requiredNumber(POLL_NUMBER),
        encoded.truth(ACCEPTS_CHANGES),
        PollReports.of(encoded));
  }

  @Override
  public WireRecord toWireRecord() {
    WireRecord encoded = new WireRecord(KIND);
    node.addIdentityTo(encoded);
    known.addVersionsTo(encoded);
    encoded.with(POLL_NUMBER, pollNumber).with(ACCEPTS_CHANGES, acceptsChanges ? true : null);
    known.addAssignmentNumberTo(encoded);
    node.addStoreTo(encoded);
    reports.addFiguresTo(encoded);
    known.addChecksumTo(encoded);
    reports.addListsTo(encoded);
    return encoded;
  }
}
