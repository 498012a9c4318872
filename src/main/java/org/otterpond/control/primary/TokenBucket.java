package org.otterpond.control.primary;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import org.otterpond.control.message.QuotaStatus;
import org.otterpond.control.message.TokenDemand;
import org.otterpond.control.message.TokenGrant;

/**
 * The token bucket of one tenant, or of the rate limit of one service, with the tokens that are
 * lent out of it.
 */
final class TokenBucket {
  private static final long LEDGER_RETENTION_MICROS = 600_000_000;
  private static final double NO_RATE_RETRY_SECONDS = 3600;
  private static final double MICROS_PER_SECOND = 1e6;

  private final String name;
  private final long lendingMicros;
  private double ratePerSecond;
  private double burst;
  private double maxOutstanding;
  private boolean configured;
  private double tokens;
  private long refilledAtMicros;
  private long outstanding;
  private long granted;
  private long denied;

  /** All loans, oldest first. */
  private final ArrayDeque<Loan> loans = new ArrayDeque<>();

  private final Map<Long, Ledger> ledgers = new HashMap<>();

  /**
   * Tokens lent at once to one incarnation of a node. Of all that it was lent, these are numbered
   * up to {@code endNumber}; the last {@code outstanding} of them are still outstanding.
   */
  private static final class Loan {
    private final long endNumber;
    private final long expiresAtMicros;
    private long outstanding;

    Loan(long endNumber, long count, long expiresAtMicros) {
      this.endNumber = endNumber;
      this.outstanding = count;
      this.expiresAtMicros = expiresAtMicros;
    }
  }

  /** The totals of one incarnation of a node, and what it was lent. */
  private static final class Ledger {
    private long granted;
    private long used;
    private long returned;
    private long heardAtMicros;
    private final ArrayDeque<Loan> loans = new ArrayDeque<>();
  }

  /**
   * Creates an empty bucket without a limit.
   *
   * @param lendingMicros how long lent tokens may be used
   */
  TokenBucket(String name, long lendingMicros, long nowMicros) {
    this.name = name;
    this.lendingMicros = lendingMicros;
    this.refilledAtMicros = nowMicros;
  }

  /**
   * Sets the limit.
   *
   * @param newMaxOutstanding how many tokens may be outstanding at once
   */
  void configure(double newRate, double newBurst, double newMaxOutstanding, long nowMicros) {
    refill(nowMicros);
    ratePerSecond = newRate;
    burst = newBurst;
    maxOutstanding = newMaxOutstanding;
    tokens = Math.min(tokens, burst);
    configured = true;
  }

  /** Notes, before new limits are set, that none is set yet. */
  void beginConfiguration() {
    configured = false;
  }

  /** Removes limit and tokens if no new limit was set. */
  void endConfiguration(double maxOutstandingWithoutLimit) {
    if (!configured) {
      ratePerSecond = 0;
      burst = 0;
      tokens = 0;
      maxOutstanding = maxOutstandingWithoutLimit;
    }
  }

  private void refill(long nowMicros) {
    double inflow = ratePerSecond * (nowMicros - refilledAtMicros) / MICROS_PER_SECOND;
    tokens = Math.min(capacity(), tokens + inflow);
    refilledAtMicros = nowMicros;
  }

  /** With a burst below one token none would ever be available: the bucket holds at least one. */
  private double capacity() {
    return Math.max(1, burst);
  }

  /** Takes a node's totals and lends it what it needs. */
  TokenGrant lend(long incarnation, TokenDemand demand, long nowMicros) {
    refill(nowMicros);
    expireLoans(nowMicros);
    Ledger ledger = ledgers.computeIfAbsent(incarnation, id -> newLedger(demand));
    ledger.heardAtMicros = nowMicros;
    takeTotals(ledger, demand);
    int count = available(demand);
    if (count > 0) {
      addLoan(ledger, count, nowMicros);
    }
    int missing = demand.needed() - count;
    if (missing <= 0) {
      return new TokenGrant(demand.tenant(), count, 0, false);
    }
    boolean overQuota = tokens < 1;
    denied += overQuota ? missing : 0;
    double seconds = ratePerSecond <= 0 ? NO_RATE_RETRY_SECONDS : missing / ratePerSecond;
    return new TokenGrant(demand.tenant(), count, (long) (MICROS_PER_SECOND * seconds), overQuota);
  }

  private static Ledger newLedger(TokenDemand demand) {
    Ledger ledger = new Ledger();
    ledger.granted = demand.used();
    ledger.used = demand.used();
    ledger.returned = demand.returned();
    return ledger;
  }

  /** Returns how many tokens are lent: what is needed, and a reserve while few are outstanding. */
  private int available(TokenDemand demand) {
    int room = (int) Math.max(0, maxOutstanding - outstanding);
    int count = (int) Math.min(demand.needed(), Math.min(tokens, room));
    if (count < demand.needed() || demand.spare() <= 0) {
      return count;
    }
    int reserveRoom = room - (int) maxOutstanding / 2;
    double lendable = Math.min(tokens / 2, reserveRoom);
    return count + (int) Math.max(0, Math.min(demand.spare(), lendable - count));
  }

  private void addLoan(Ledger ledger, int count, long nowMicros) {
    tokens -= count;
    outstanding += count;
    granted += count;
    ledger.granted += count;
    Loan loan = new Loan(ledger.granted, count, nowMicros + lendingMicros);
    ledger.loans.addLast(loan);
    loans.addLast(loan);
  }

  private void expireLoans(long nowMicros) {
    while (!loans.isEmpty()
        && (loans.peekFirst().outstanding == 0 || loans.peekFirst().expiresAtMicros <= nowMicros)) {
      Loan expired = loans.pollFirst();
      outstanding -= expired.outstanding;
      expired.outstanding = 0;
    }
  }

  /** Takes a node's running totals; late or repeated ones change nothing. */
  private void takeTotals(Ledger ledger, TokenDemand totals) {
    if (totals.used() <= ledger.used || totals.used() > ledger.granted) {
      return;
    }
    long settled = settleLoans(ledger, totals.used());
    outstanding -= settled;
    long returned = Math.max(0, Math.min(totals.returned() - ledger.returned, settled));
    tokens = Math.min(capacity(), tokens + returned);
    ledger.used = totals.used();
    ledger.returned = Math.max(ledger.returned, totals.returned());
  }

  /** Takes used tokens off the oldest loans, as nodes use the oldest first. */
  private static long settleLoans(Ledger ledger, long used) {
    long settled = 0;
    while (!ledger.loans.isEmpty()) {
      Loan loan = ledger.loans.peekFirst();
      long rest = Math.min(loan.outstanding, Math.max(0, loan.endNumber - used));
      settled += loan.outstanding - rest;
      loan.outstanding = rest;
      if (rest > 0) {
        break;
      }
      ledger.loans.pollFirst();
    }
    return settled;
  }

  /** Removes expired loans and the ledgers of nodes that are silent for long. */
  void removeExpired(long nowMicros) {
    expireLoans(nowMicros);
    ledgers.values().removeIf(ledger -> nowMicros - ledger.heardAtMicros > LEDGER_RETENTION_MICROS);
  }

  /** Whether the bucket has no limit any more and none of its tokens is outstanding. */
  boolean isRemovable() {
    return !configured && outstanding == 0;
  }

  /** Returns the bucket's figures. */
  QuotaStatus status(long nowMicros) {
    refill(nowMicros);
    expireLoans(nowMicros);
    return new QuotaStatus(
        name,
        new QuotaStatus.Limit(ratePerSecond, burst),
        (long) tokens,
        outstanding,
        new QuotaStatus.Totals(granted, denied));
  }
}
