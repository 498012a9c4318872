package org.otterpond.replication;

import java.util.OptionalLong;
import org.otterpond.protocol.WireRecord;

/**
 * A candidate: it prepares live entries while the state before them is transferred to it (PacificA,
 * section "Reconfiguration, Reconciliation, and Recovery").
 */
final class CandidateRole implements ReplicaRole {
  private final LocalReplica replica;
  private final String source;
  private final long transfer;
  private long nextPieces;
  private boolean copyDurable;
  private boolean ended;

  /** Begins a transfer: the state that this node had before is void. */
  CandidateRole(LocalReplica replica, CopyStartMessage message) {
    this.replica = replica;
    this.source = message.source();
    this.transfer = message.transfer();
    replica.beginCopy(message.committedPoint());
  }

  /** Returns whether the transfer comes from the given member. */
  boolean isCopiedFrom(String member) {
    return source.equals(member);
  }

  @Override
  public void end() {
    ended = true;
  }

  @Override
  public void onPrepare(PrepareMessage message) {
    boolean ofThisTransfer = message.transfer().equals(OptionalLong.of(transfer));
    if (!ofThisTransfer || replica.hasDiskFailed()) {
      return;
    }
    long version = replica.configuration().version();
    PreparedEntries.insert(replica, message, () -> acknowledge(version));
  }

  @Override
  public void onCopyPieces(String fromAddress, CopyPiecesMessage message) {
    boolean fromSource = GroupConfiguration.addressOf(source).equals(fromAddress);
    if (!fromSource || message.transfer() != transfer || replica.isComplete()) {
      return;
    }
    if (message.number() != nextPieces) {
      // Pieces were lost with their connection: the copy would have a gap, so the transfer fails.
      return;
    }
    nextPieces++;
    message.pieces().forEach(this::loadOnceDurable);
    if (message.last()) {
      complete();
    }
  }

  private void loadOnceDurable(WireRecord piece) {
    replica
        .runtime()
        .journal(
            new GroupLogRecord.PieceLoaded(replica.group(), piece),
            position -> {
              if (ended) {
                return;
              }
              if (position >= 0) {
                replica.stateMachine().load(piece, position);
              } else {
                replica.onWriteFailed();
              }
            });
  }

  private void complete() {
    // Entries that arrive from now on follow the pieces in the log.
    replica.setComplete(true);
    GroupConfiguration configuration = replica.configuration();
    replica
        .runtime()
        .journal(
            new GroupLogRecord.CopyCompleted(configuration),
            position -> {
              if (position >= 0 && !ended && !replica.hasDiskFailed()) {
                copyDurable = true;
                acknowledge(replica.configuration().version());
              }
            });
  }

  private void acknowledge(long version) {
    if (ended) {
      return;
    }
    replica
        .runtime()
        .send(
            source,
            new PreparedMessage(
                replica.group(),
                version,
                replica.member(),
                replica.preparedList().durableSerial(),
                OptionalLong.of(transfer),
                copyDurable));
  }

  @Override
  public String toString() {
    return "candidate source=" + source + " transfer=" + transfer + " copyDurable=" + copyDurable;
  }
}
