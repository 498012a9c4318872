package org.otterpond.replication;

import java.util.Optional;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/** Restores a replica from the records of its log. */
final class ReplicaLogReplay {
  private final LocalReplica replica;
  private long reconciledVersion;

  ReplicaLogReplay(LocalReplica replica) {
    this.replica = replica;
  }

  /** Returns the last version whose primary's list this replica was reconciled with; 0 if none. */
  long reconciledVersion() {
    return reconciledVersion;
  }

  /**
   * Replays one record.
   *
   * @param writtenAtMicros when it was written, on the clock of this process
   * @throws IllegalStateException if a required field is missing; the log then holds a record that
   *     no version of this code wrote, and to skip it could lose acknowledged entries
   */
  void replay(WireRecord encoded, long logPosition, long writtenAtMicros) {
    Optional<GroupLogRecord> logRecord;
    try {
      logRecord = GroupLogRecord.decode(encoded);
    } catch (ProtocolException e) {
      throw new IllegalStateException("log record at " + logPosition, e);
    }
    if (logRecord.isPresent()) {
      apply(logRecord.get(), logPosition, writtenAtMicros);
    } else {
      replica.runtime().event("event=journal_record_skipped kind=" + encoded.kind());
    }
  }

  private void apply(GroupLogRecord logRecord, long logPosition, long writtenAtMicros) {
    if (logRecord instanceof GroupLogRecord.EntryPrepared prepared) {
      replica.preparedList().replayEntry(prepared, logPosition, writtenAtMicros);
    } else if (logRecord instanceof GroupLogRecord.PieceLoaded loaded) {
      replica.stateMachine().load(loaded.piece(), logPosition, writtenAtMicros);
    } else if (logRecord instanceof GroupLogRecord.ConfigurationAdopted adopted) {
      applyConfiguration(adopted.configuration());
    } else if (logRecord instanceof GroupLogRecord.ListReconciled reconciled) {
      reconciledVersion = reconciled.version();
    } else if (logRecord instanceof GroupLogRecord.ListTruncated truncated) {
      replica.preparedList().replayTruncation(truncated.lastSerial());
    } else if (logRecord instanceof GroupLogRecord.SegmentHeader header) {
      applyHeader(header);
    } else {
      applyTransfer(logRecord);
    }
  }

  private void applyTransfer(GroupLogRecord logRecord) {
    if (logRecord instanceof GroupLogRecord.CopyStarted started) {
      if (started.refreshes() && (replica.isComplete() || replica.isRefreshing())) {
        replica.beginRefresh(started.committedPoint());
      } else {
        replica.clear(started.committedPoint());
      }
    } else if (logRecord instanceof GroupLogRecord.CopyCompleted completed) {
      replica.setConfiguration(completed.configuration());
      replica.completeCopy();
    } else if (logRecord instanceof GroupLogRecord.CopyDropped) {
      discard();
    }
  }

  private void applyConfiguration(GroupConfiguration configuration) {
    replica.setConfiguration(configuration);
    if (configuration.version() == 1) {
      replica.setComplete(true);
      replica.preparedList().replayBeginning();
    }
  }

  private void applyHeader(GroupLogRecord.SegmentHeader header) {
    replica.setConfiguration(header.configuration());
    if (replica.isRefreshing()) {
      replica.cancelRefresh();
    }
    replica.setComplete(true);
    replica.preparedList().replayHeader(header.committedPoint());
  }

  /**
   * Ends the replay. A replica that is not complete, or lacks an entry, is discarded in memory: the
   * primary copies the state to it anew.
   *
   * @return whether the replica has a usable state
   */
  boolean finish() {
    boolean hasCopy = replica.isComplete() || replica.isRefreshing();
    if (hasCopy && !replica.preparedList().hasGap()) {
      return true;
    }
    discard();
    return false;
  }

  private void discard() {
    replica.clear(0);
    replica.setConfiguration(null);
  }
}
