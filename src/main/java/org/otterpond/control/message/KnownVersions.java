package org.otterpond.control.message;

import java.util.OptionalLong;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * The versions of the replicated data that a polling node has.
 *
 * @param epoch the epoch whose primary gave the version of the worker table; 0 if none did
 * @param workerTableVersion version of the worker table, valid within that epoch
 * @param configurationRevision revision of the configuration in force or about to be
 * @param assignmentNumber number of the newest assignment
 * @param workerTableChecksum checksum over the workers alive, sent until a primary of the current
 *     epoch has answered: equal tables need not be transferred
 */
public record KnownVersions(
    long epoch,
    long workerTableVersion,
    long configurationRevision,
    long assignmentNumber,
    OptionalLong workerTableChecksum) {
  private static final String EPOCH = "epoch";
  private static final String WORKER_TABLE_VERSION = "table";
  private static final String CONFIGURATION_REVISION = "cfg";
  private static final String ASSIGNMENT_NUMBER = "as";
  private static final String WORKER_TABLE_CHECKSUM = "sum";

  static KnownVersions of(WireRecord poll) throws ProtocolException {
    return new KnownVersions(
        poll.requiredNumber(EPOCH),
        poll.requiredNumber(WORKER_TABLE_VERSION),
        poll.requiredNumber(CONFIGURATION_REVISION),
        poll.requiredNumber(ASSIGNMENT_NUMBER),
        poll.has(WORKER_TABLE_CHECKSUM)
            ? OptionalLong.of(poll.requiredNumber(WORKER_TABLE_CHECKSUM))
            : OptionalLong.empty());
  }

  void addVersionsTo(WireRecord poll) {
    poll.with(EPOCH, epoch)
        .with(WORKER_TABLE_VERSION, workerTableVersion)
        .with(CONFIGURATION_REVISION, configurationRevision);
  }

  void addAssignmentNumberTo(WireRecord poll) {
    poll.with(ASSIGNMENT_NUMBER, assignmentNumber);
  }

  void addChecksumTo(WireRecord poll) {
    if (workerTableChecksum.isPresent()) {
      poll.with(WORKER_TABLE_CHECKSUM, workerTableChecksum.getAsLong());
    }
  }
}
