package org.otterpond.replication;

import java.util.List;
import java.util.OptionalLong;
import org.otterpond.protocol.WireRecord;

/** Sends the primary's prepared list to its followers, in batches, and again when it was lost. */
final class PrepareSender {
  private static final int BATCH_ENTRIES = 256;
  private static final int BATCH_BYTES = 256 * 1024;

  private final LocalReplica replica;
  private final Followers followers;
  private boolean flushScheduled;

  PrepareSender(LocalReplica replica, Followers followers) {
    this.replica = replica;
    this.followers = followers;
  }

  /** Sends what is missing to all followers after the present task, so that entries are batched. */
  void scheduleFlush() {
    if (flushScheduled) {
      return;
    }
    flushScheduled = true;
    replica
        .runtime()
        .after(
            0,
            () -> {
              flushScheduled = false;
              followers.forEach(this::sendPrepares);
            });
  }

  /** Sends the entries that were not sent to this follower yet. */
  void sendPrepares(String member, Follower follower) {
    boolean accepts = follower.isCandidate() || follower.reconciled;
    if (!replica.isPrimary() || !accepts) {
      return;
    }
    PreparedList preparedList = replica.preparedList();
    while (follower.sentSerial < preparedList.lastSerial()) {
      List<WireRecord> entries = nextBatch(follower.sentSerial);
      follower.sentAt = replica.now();
      replica
          .runtime()
          .send(
              member,
              new PrepareMessage(
                  replica.group(),
                  replica.configuration().version(),
                  follower.sentSerial + 1,
                  preparedList.committedPoint(),
                  follower.isCandidate()
                      ? OptionalLong.of(follower.transfer)
                      : OptionalLong.empty(),
                  entries));
      follower.sentSerial += entries.size();
    }
  }

  private List<WireRecord> nextBatch(long afterSerial) {
    List<WireRecord> entries = replica.preparedList().entriesAfter(afterSerial, BATCH_ENTRIES);
    long bytes = 0;
    for (int i = 0; i < entries.size(); i++) {
      bytes += RecordSize.estimate(entries.get(i));
      if (bytes > BATCH_BYTES && i > 0) {
        return entries.subList(0, i);
      }
    }
    return entries;
  }

  /** Sends the uncommitted entries to a secondary, which truncates its own list to them. */
  void sendReconciliation(String member, Follower follower) {
    PreparedList preparedList = replica.preparedList();
    long committedPoint = preparedList.committedPoint();
    follower.sentAt = replica.now();
    follower.sentSerial = preparedList.lastSerial();
    replica
        .runtime()
        .send(
            member,
            new ReconcileMessage(
                replica.group(),
                replica.configuration(),
                committedPoint,
                preparedList.entriesAfter(committedPoint, Integer.MAX_VALUE)));
  }

  /** Sends again what a secondary should have acknowledged by now. */
  void resendIfDue(String member, Follower follower, long nowMicros) {
    boolean due = nowMicros - follower.sentAt >= replica.timeouts().resendMicros();
    if (!due || follower.isCandidate()) {
      return;
    }
    if (!follower.reconciled) {
      sendReconciliation(member, follower);
    } else if (follower.acknowledgedSerial < follower.sentSerial) {
      // All secondaries have what is committed, so what is missing is still in the list.
      follower.sentSerial =
          Math.max(follower.acknowledgedSerial, replica.preparedList().committedPoint());
      sendPrepares(member, follower);
    }
  }
}
