package org.otterpond.control.message;

import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * The fields that every poll response has.
 *
 * @param epoch the epoch of the primary that answers
 * @param workerTableVersion version of the worker table after the response is applied
 * @param pollNumber number of the poll that is answered
 * @param committedRevision the newest committed configuration revision
 * @param authorityAgeMicros how long before the poll arrived the primary is known to have led
 */
public record PollResponseHeader(
    long epoch,
    long workerTableVersion,
    long pollNumber,
    long committedRevision,
    long authorityAgeMicros) {
  private static final String EPOCH = "epoch";
  private static final String WORKER_TABLE_VERSION = "ver";
  private static final String POLL_NUMBER = "pn";
  private static final String COMMITTED_REVISION = "rev";
  private static final String AUTHORITY_AGE = "back";

  static PollResponseHeader of(WireRecord response) throws ProtocolException {
    return new PollResponseHeader(
        response.requiredNumber(EPOCH),
        response.requiredNumber(WORKER_TABLE_VERSION),
        response.requiredNumber(POLL_NUMBER),
        response.requiredNumber(COMMITTED_REVISION),
        response.requiredNumber(AUTHORITY_AGE));
  }

  void addTo(WireRecord response) {
    response
        .with(EPOCH, epoch)
        .with(WORKER_TABLE_VERSION, workerTableVersion)
        .with(POLL_NUMBER, pollNumber)
        .with(COMMITTED_REVISION, committedRevision)
        .with(AUTHORITY_AGE, authorityAgeMicros);
  }
}
