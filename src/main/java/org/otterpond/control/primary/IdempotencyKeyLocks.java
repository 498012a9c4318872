package org.otterpond.control.primary;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.otterpond.control.message.AcknowledgedReply;
import org.otterpond.control.message.ClaimKeyReply;
import org.otterpond.control.message.ClaimKeyRequest;
import org.otterpond.control.message.PrimaryReply;
import org.otterpond.control.message.QuotaAccount;
import org.otterpond.control.message.ReleaseKeyRequest;
import org.otterpond.control.message.TokenGrant;
import org.otterpond.control.state.IdempotencyKeyLock;
import org.otterpond.control.state.KeyLockEntry;
import org.otterpond.control.state.KeyReleaseEntry;
import org.otterpond.control.state.ReplicatedState;

/**
 * Grants the locks of idempotency keys, each to one attempt: only its node may execute the
 * operation. Repeated requests of an attempt get the same answer.
 */
final class IdempotencyKeyLocks {
  private final ReplicatedState state;
  private final StateWriter writer;
  private final LeadershipConfirmation proof;
  private final QuotaLending quotas;

  /** The replies that await the commit of a lock, by the attempt's token. */
  private final Map<String, List<Consumer<PrimaryReply>>> pendingReplies = new HashMap<>();

  IdempotencyKeyLocks(
      ReplicatedState state,
      StateWriter writer,
      LeadershipConfirmation proof,
      QuotaLending quotas) {
    this.state = state;
    this.writer = writer;
    this.proof = proof;
    this.quotas = quotas;
  }

  /** Forgets the pending replies: whether the locks were committed is not known here. */
  void steppedDown() {
    pendingReplies.clear();
  }

  /** Handles a request for a lock. */
  void keyLock(ClaimKeyRequest request, Consumer<PrimaryReply> reply) {
    List<Consumer<PrimaryReply>> pending = pendingReplies.get(request.token());
    if (pending != null) {
      pending.add(reply);
      return;
    }
    IdempotencyKeyLock lock = state.keyLock(request.key());
    if (lock != null) {
      proof.confirmed(reply).accept(replyOf(lock, request));
      return;
    }
    TokenGrant grant = lend(request.quota());
    if (grant != null && grant.count() == 0) {
      reply.accept(ClaimKeyReply.withoutTokens(quotas.term(), grant));
      return;
    }
    propose(request, grant, reply);
  }

  private static ClaimKeyReply replyOf(IdempotencyKeyLock lock, ClaimKeyRequest request) {
    return lock.token().equals(request.token())
        ? ClaimKeyReply.alreadyGranted()
        : ClaimKeyReply.heldBy(lock.holder(), lock.token());
  }

  private TokenGrant lend(QuotaAccount account) {
    return account == null ? null : quotas.lend(account, account.demands().get(0));
  }

  private void propose(ClaimKeyRequest request, TokenGrant grant, Consumer<PrimaryReply> reply) {
    pendingReplies.put(request.token(), new ArrayList<>(List.of(reply)));
    boolean accepted =
        writer.propose(
            new KeyLockEntry(request.key(), request.token(), request.holder()).toWireRecord(),
            () -> committed(request, grant));
    if (!accepted) {
      pendingReplies.remove(request.token());
    }
  }

  private void committed(ClaimKeyRequest request, TokenGrant grant) {
    List<Consumer<PrimaryReply>> replies = pendingReplies.remove(request.token());
    if (replies != null) {
      ClaimKeyReply reply = committedReply(request, grant);
      replies.forEach(receiver -> receiver.accept(reply));
    }
  }

  private ClaimKeyReply committedReply(ClaimKeyRequest request, TokenGrant grant) {
    // Two requests for a key may both be pending while an epoch changes: the later entry wins.
    IdempotencyKeyLock lock = state.keyLock(request.key());
    if (lock == null) {
      return ClaimKeyReply.heldBy(null, null);
    }
    return lock.token().equals(request.token())
        ? ClaimKeyReply.granted(quotas.term(), grant)
        : ClaimKeyReply.heldBy(lock.holder(), lock.token());
  }

  /**
   * Handles the release of a lock whose attempt was not executed; acknowledged once it is
   * committed, or if there is nothing to release.
   */
  void release(ReleaseKeyRequest request, Consumer<PrimaryReply> reply) {
    IdempotencyKeyLock lock = state.keyLock(request.key());
    if (lock != null && lock.token().equals(request.token())) {
      writer.propose(
          new KeyReleaseEntry(request.key(), request.token()).toWireRecord(),
          () -> reply.accept(new AcknowledgedReply()));
    } else {
      proof.confirmed(reply).accept(new AcknowledgedReply());
    }
  }
}
