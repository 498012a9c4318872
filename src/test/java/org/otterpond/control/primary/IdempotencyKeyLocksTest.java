package org.otterpond.control.primary;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.otterpond.control.epoch.ManualRuntime;
import org.otterpond.control.message.AcknowledgedReply;
import org.otterpond.control.message.ClaimKeyReply;
import org.otterpond.control.message.ClaimKeyRequest;
import org.otterpond.control.message.PrimaryReply;
import org.otterpond.control.message.QuotaAccount;
import org.otterpond.control.message.ReleaseKeyRequest;
import org.otterpond.control.message.TokenDemand;
import org.otterpond.control.state.ReplicatedState;

class IdempotencyKeyLocksTest implements QuotaLending.Authority {
  private static final ClaimKeyRequest FIRST = new ClaimKeyRequest("k", "t1", "n1", null);
  private static final ClaimKeyRequest SECOND = new ClaimKeyRequest("k", "t2", "n2", null);

  private final ManualRuntime runtime = new ManualRuntime();
  private final ReplicatedState state = new ReplicatedState(60_000_000);
  private final List<Runnable> commits = new ArrayList<>();
  private final List<PrimaryReply> replies = new ArrayList<>();
  private final QuotaLending quotas =
      new QuotaLending(
          runtime, this, new QuotaOwner(new QuotaSettings(5_000_000, 0.1, 20, 2_000_000)));
  private final IdempotencyKeyLocks locks =
      new IdempotencyKeyLocks(
          state,
          (entry, committed) -> {
            state.apply(entry, runtime.now());
            return commits.add(committed);
          },
          result -> result.accept(true),
          quotas);

  private boolean mayLend = true;

  @Override
  public boolean mayLend() {
    return mayLend;
  }

  @Override
  public long lendingFromMicros() {
    return runtime.now() + 70_000;
  }

  private void commit() {
    List<Runnable> pending = List.copyOf(commits);
    commits.clear();
    pending.forEach(Runnable::run);
  }

  @Test
  void givenFreeKey_whenClaimed_thenLockIsGrantedAfterCommit() {
    // when
    locks.keyLock(FIRST, replies::add);
    locks.keyLock(FIRST, replies::add);
    assertEquals(List.of(), replies);
    commit();

    // then
    PrimaryReply granted = ClaimKeyReply.granted(0, null);
    assertEquals(List.of(granted, granted), replies, "the request and its repetition");
  }

  @Test
  void givenLockedKey_whenClaimed_thenReplyNamesTheHolder() {
    // given
    locks.keyLock(FIRST, reply -> {});
    commit();

    // when
    locks.keyLock(SECOND, replies::add);
    locks.keyLock(FIRST, replies::add);

    // then
    assertEquals(
        List.of(ClaimKeyReply.heldBy("n1", "t1"), ClaimKeyReply.alreadyGranted()), replies);
  }

  @Test
  void givenLockedKey_whenReleasedByItsAttempt_thenItIsFree() {
    // given
    locks.keyLock(FIRST, reply -> {});
    commit();

    // when
    locks.release(new ReleaseKeyRequest("k", "t2"), replies::add);
    assertEquals(1, state.keyLockCount(), "another attempt releases nothing");
    locks.release(new ReleaseKeyRequest("k", "t1"), replies::add);
    commit();

    // then
    assertEquals(List.of(new AcknowledgedReply(), new AcknowledgedReply()), replies);
    assertEquals(0, state.keyLockCount());
  }

  @Test
  void givenNoAuthorityToLend_whenClaimedWithToken_thenNothingIsLocked() {
    // given
    mayLend = false;
    QuotaAccount account = new QuotaAccount(List.of(new TokenDemand("acme", 0, 0, 1, 0)), 7, 0);

    // when
    locks.keyLock(new ClaimKeyRequest("k", "t1", "n1", account), replies::add);

    // then
    ClaimKeyReply reply = (ClaimKeyReply) replies.get(0);
    assertEquals(0, reply.grant().count());
    assertEquals(70_000, reply.grant().retryAfterMicros());
    assertEquals(0, state.keyLockCount());
  }

  @Test
  void givenPendingLock_whenSteppedDown_thenThereIsNoReply() {
    locks.keyLock(FIRST, replies::add);
    locks.steppedDown();
    commit();
    assertEquals(List.of(), replies);
  }
}
