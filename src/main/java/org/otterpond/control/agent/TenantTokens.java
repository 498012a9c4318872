package org.otterpond.control.agent;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * One tenant's part of a node's quota cache: the tokens that can be used, the callers that wait for
 * one, and the running totals that are reported to the quota owner. Used by the owner thread only.
 */
final class TenantTokens {
  private static final long USAGE_WINDOW_MICROS = 1_000_000;
  private static final int MAX_RESERVE = 8;

  /** The reserve covers this part of a second's usage. */
  private static final int RESERVE_DIVISOR = 5;

  final String tenant;

  private final Deque<Batch> batches = new ArrayDeque<>();
  private final Deque<QuotaCache.Taker> waiters = new ArrayDeque<>();
  private long used;
  private long returned;
  private long reportedUsed;
  private long lastUsedAt;
  private long usageWindowStartedAt;
  private int usedInWindow;
  private int usedInPreviousWindow;

  /** Tokens lent in one answer; they expire together. */
  private static final class Batch {
    final long expiresAt;
    int count;

    Batch(long expiresAt, int count) {
      this.expiresAt = expiresAt;
      this.count = count;
    }
  }

  TenantTokens(String tenant) {
    this.tenant = tenant;
  }

  /** Adds tokens that can be used until a moment, in microseconds of the monotonic clock. */
  void add(int count, long expiresAt) {
    if (count > 0) {
      batches.addLast(new Batch(expiresAt, count));
    }
  }

  /** Uses a token; false if there is none. */
  boolean take(long now) {
    expire(now);
    Batch oldest = batches.peekFirst();
    if (oldest == null) {
      return false;
    }
    oldest.count--;
    if (oldest.count == 0) {
      batches.pollFirst();
    }
    used++;
    lastUsedAt = now;
    countUsage(now);
    return true;
  }

  private void countUsage(long now) {
    long sinceWindowStart = now - usageWindowStartedAt;
    if (sinceWindowStart > USAGE_WINDOW_MICROS) {
      usedInPreviousWindow = sinceWindowStart > 2 * USAGE_WINDOW_MICROS ? 0 : usedInWindow;
      usedInWindow = 0;
      usageWindowStartedAt = now;
    }
    usedInWindow++;
  }

  /** Counts a token as returned that was taken for a request which will not be executed. */
  void giveBack() {
    returned++;
  }

  /** Drops expired tokens, which count as used. */
  void expire(long now) {
    while (!batches.isEmpty() && batches.peekFirst().expiresAt <= now) {
      used += batches.pollFirst().count;
    }
  }

  /** Gives all tokens back if none has been used for a time. */
  void returnIdle(long now, long idleMicros) {
    while (!batches.isEmpty() && now - lastUsedAt > idleMicros) {
      int count = batches.pollFirst().count;
      used += count;
      returned += count;
    }
  }

  /**
   * How many tokens to ask for beside those that are needed now: none unless requests come faster
   * than the owner can be asked, as a reserve would mostly expire.
   */
  int reserveWanted() {
    int usage = Math.max(usedInPreviousWindow, usedInWindow);
    return Math.max(0, Math.min(MAX_RESERVE, usage / RESERVE_DIVISOR) - available());
  }

  private int available() {
    return batches.stream().mapToInt(batch -> batch.count).sum();
  }

  /** The running total of tokens that were used, returned or have expired. */
  long used() {
    return used;
  }

  /** The part of {@link #used()} that was returned. */
  long returned() {
    return returned;
  }

  boolean hasUnreportedUse() {
    return used != reportedUsed;
  }

  void markReported() {
    reportedUsed = used;
  }

  /** Drops the tokens of the former quota owner and starts the totals again. */
  void reset() {
    batches.clear();
    used = 0;
    returned = 0;
    reportedUsed = 0;
  }

  void addWaiter(QuotaCache.Taker waiter) {
    waiters.addLast(waiter);
  }

  boolean hasWaiters() {
    return !waiters.isEmpty();
  }

  int waiterCount() {
    return waiters.size();
  }

  void removeCancelledWaiters() {
    waiters.removeIf(waiter -> !waiter.waits());
  }

  /** The next caller that still waits, or null; it stays in the queue. */
  QuotaCache.Taker nextWaiter() {
    while (hasWaiters() && !waiters.peekFirst().waits()) {
      waiters.pollFirst();
    }
    return waiters.peekFirst();
  }

  void removeFirstWaiter() {
    waiters.pollFirst();
  }

  List<QuotaCache.Taker> removeAllWaiters() {
    List<QuotaCache.Taker> removed = new ArrayList<>(waiters);
    waiters.clear();
    return removed;
  }
}
