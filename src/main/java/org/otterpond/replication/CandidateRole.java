package org.otterpond.replication;

import java.util.OptionalLong;
import org.otterpond.protocol.WireRecord;

/**
 * A candidate: it prepares live entries while the state before them is transferred to it (PacificA,
 * section "Reconfiguration, Reconciliation, and Recovery").
 */
final class CandidateRole implements ReplicaRole {
  /** A transfer that brings nothing for this long is given up where a copy is retained. */
  private static final long ABANDONED_MICROS = 4_000_000;

  private final LocalReplica replica;
  private final String source;
  private final long transfer;
  private long nextPieces;
  private boolean lastPieceReceived;
  private boolean copyDurable;
  private boolean ended;
  private long receivedAtMicros;

  /** Begins a transfer: the state that this node had before is void unless it is retained. */
  CandidateRole(LocalReplica replica, CopyStartMessage message) {
    this.replica = replica;
    this.source = message.source();
    this.transfer = message.transfer();
    this.receivedAtMicros = replica.now();
    replica.beginCopy(message.committedPoint());
  }

  /** Returns whether the transfer comes from the given member. */
  boolean isCopiedFrom(String member) {
    return source.equals(member);
  }

  /** Returns whether nothing has come from the source for long. */
  boolean isAbandoned(long nowMicros) {
    return nowMicros - receivedAtMicros > ABANDONED_MICROS;
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
    receivedAtMicros = replica.now();
    long version = replica.configuration().version();
    PreparedEntries.insert(replica, message, () -> acknowledge(version));
  }

  @Override
  public void onCopyPieces(String fromAddress, CopyPiecesMessage message) {
    boolean fromSource = GroupConfiguration.addressOf(source).equals(fromAddress);
    if (!fromSource || message.transfer() != transfer || lastPieceReceived) {
      return;
    }
    if (message.number() != nextPieces) {
      // Pieces were lost with their connection: the copy would have a gap, so the transfer fails.
      return;
    }
    nextPieces++;
    receivedAtMicros = replica.now();
    message.pieces().forEach(this::loadOnceDurable);
    if (message.last()) {
      complete();
    }
  }

  private void loadOnceDurable(WireRecord piece) {
    long writtenAtMicros = replica.now();
    replica
        .runtime()
        .journal(
            new GroupLogRecord.PieceLoaded(replica.group(), piece),
            position -> {
              if (ended) {
                return;
              }
              if (position >= 0) {
                replica.stateMachine().load(piece, position, writtenAtMicros);
              } else {
                replica.onWriteFailed();
              }
            });
  }

  /** Writes are answered in their order: once this one is, all pieces have been loaded. */
  private void complete() {
    lastPieceReceived = true;
    GroupConfiguration configuration = replica.configuration();
    replica
        .runtime()
        .journal(
            new GroupLogRecord.CopyCompleted(configuration),
            position -> {
              if (position >= 0 && !ended && !replica.hasDiskFailed()) {
                copyDurable = true;
                replica.completeCopy();
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
