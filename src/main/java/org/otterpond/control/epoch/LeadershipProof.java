package org.otterpond.control.epoch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.otterpond.control.state.CoreMember;
import org.otterpond.control.state.EpochRecord;

/**
 * Proves that this node still was the primary at a moment after a request came.
 *
 * <p>A successor comes out of the backups and promises its epoch first, so no other epoch had begun
 * when every backup answered as a follower to a ping that was sent after the request came. One ping
 * is in flight at a time for this; requests that come meanwhile share the next.
 */
final class LeadershipProof {
  private record PendingProof(long requestedAt, Consumer<Boolean> result) {}

  private final EpochContext context;
  private final EpochTransitions transitions;

  /** For each backup, when the newest ping was sent that it answered as a follower. */
  private final Map<String, Long> followedAt = new HashMap<>();

  /** In the order of the requests. */
  private final Deque<PendingProof> pending = new ArrayDeque<>();

  /** When the newest ping for the sake of a proof was sent. */
  private long pingSentAt = EpochContext.DISTANT_PAST;

  LeadershipProof(EpochContext context, EpochTransitions transitions) {
    this.context = context;
    this.transitions = transitions;
  }

  /**
   * Returns the newest moment at which this node is known to have been the only possible primary;
   * the distant past if it is not primary.
   */
  long provedAt() {
    if (!transitions.isActivePrimary()) {
      return EpochContext.DISTANT_PAST;
    }
    long proved = context.now();
    for (CoreMember backup : transitions.record().backups()) {
      proved =
          Math.min(proved, followedAt.getOrDefault(backup.diskId(), EpochContext.DISTANT_PAST));
    }
    return proved;
  }

  /** Whether a proof is fresh enough to act on it without another one. */
  boolean isFresh() {
    return context.now() - provedAt() < context.timeouts().authorityMicros();
  }

  /** Proves leadership after this call; pings the backups for it. */
  void confirm(Consumer<Boolean> result) {
    confirmLater(result);
    pingForProof();
  }

  /** Proves leadership after this call, with the next ping that is sent in any case. */
  void confirmLater(Consumer<Boolean> result) {
    if (!transitions.isActivePrimary()) {
      result.accept(false);
    } else if (transitions.record().backups().isEmpty()) {
      result.accept(true);
    } else {
      pending.add(new PendingProof(context.now(), result));
    }
  }

  private void pingForProof() {
    if (pending.isEmpty() || !transitions.isActivePrimary() || pingSentAt > provedAt()) {
      return;
    }
    pingSentAt = context.now();
    EpochRecord record = transitions.record();
    for (CoreMember backup : record.backups()) {
      context.send(backup.address(), PrimaryRole.ping(record, pingSentAt));
    }
  }

  /** A backup answered as a follower to a ping sent at that time. */
  void followed(String diskId, long atMicros) {
    followedAt.merge(diskId, atMicros, Math::max);
    long proved = provedAt();
    boolean any = false;
    while (!pending.isEmpty() && pending.peek().requestedAt() <= proved) {
      pending.poll().result().accept(true);
      any = true;
    }
    if (any) {
      pingForProof();
    }
  }

  /** Answers requests that have waited too long in the negative. */
  void expire(long now) {
    while (!pending.isEmpty()
        && now - pending.peek().requestedAt() > context.timeouts().proofMicros()) {
      pending.poll().result().accept(false);
    }
  }

  /** An epoch of this node begins: responses in the epoch before prove nothing for it. */
  void epochBegan() {
    followedAt.clear();
  }

  /** This node is no longer primary: nothing that is pending can be proved. */
  void steppedDown() {
    List<PendingProof> unproved = List.copyOf(pending);
    pending.clear();
    unproved.forEach(proof -> context.runtime().after(0, () -> proof.result().accept(false)));
  }
}
