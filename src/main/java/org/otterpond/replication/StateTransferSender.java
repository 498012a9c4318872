package org.otterpond.replication;

import java.util.ArrayList;
import java.util.List;
import org.otterpond.protocol.WireRecord;

/**
 * Transfers the state to candidates (PacificA, section "Reconfiguration, Reconciliation, and
 * Recovery"). A candidate takes live entries meanwhile.
 */
final class StateTransferSender {
  private static final long MESSAGE_BYTES = 192 * 1024;

  private final LocalReplica replica;
  private final Followers followers;
  private final PrepareSender prepareSender;

  StateTransferSender(LocalReplica replica, Followers followers, PrepareSender prepareSender) {
    this.replica = replica;
    this.followers = followers;
    this.prepareSender = prepareSender;
  }

  /** Makes a member a candidate and begins a transfer to it. */
  void start(String member, long nowMicros) {
    Follower candidate = Follower.candidate(replica.nextTransfer());
    followers.put(member, candidate);
    long committedPoint = replica.preparedList().committedPoint();
    candidate.progressAt = nowMicros;
    candidate.sentSerial = committedPoint;
    candidate.acknowledgedSerial = committedPoint - 1;
    replica
        .runtime()
        .send(
            member,
            new CopyStartMessage(
                replica.group(),
                replica.configuration(),
                replica.member(),
                candidate.transfer,
                committedPoint));
    prepareSender.sendPrepares(member, candidate);
    replica.stateMachine().export(new PieceBatches(member, candidate)::add);
  }

  /** Collects the pieces of one transfer into messages. */
  private final class PieceBatches {
    private final String member;
    private final Follower candidate;
    private final List<WireRecord> pieces = new ArrayList<>();
    private long bytes;
    private long nextNumber;

    PieceBatches(String member, Follower candidate) {
      this.member = member;
      this.candidate = candidate;
    }

    /** Adds a piece; null is the end of the state. */
    void add(WireRecord piece) {
      if (followers.get(member) != candidate || !replica.isPrimary()) {
        return;
      }
      boolean last = piece == null;
      if (!last) {
        pieces.add(piece);
        bytes += RecordSize.estimate(piece);
      }
      if (last || bytes > MESSAGE_BYTES) {
        send(last);
      }
    }

    private void send(boolean last) {
      candidate.progressAt = replica.now();
      replica
          .runtime()
          .send(
              member,
              new CopyPiecesMessage(
                  replica.group(), candidate.transfer, nextNumber, last, List.copyOf(pieces)));
      nextNumber++;
      pieces.clear();
      bytes = 0;
    }
  }
}
