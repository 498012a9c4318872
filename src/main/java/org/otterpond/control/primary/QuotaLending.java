package org.otterpond.control.primary;

import java.util.function.Consumer;
import org.otterpond.control.message.LendTokensReply;
import org.otterpond.control.message.LendTokensRequest;
import org.otterpond.control.message.PrimaryReply;
import org.otterpond.control.message.QuotaAccount;
import org.otterpond.control.message.TokenDemand;
import org.otterpond.control.message.TokenGrant;
import org.otterpond.runtime.NodeRuntime;

/** Lends quota tokens to nodes while this node has the authority to do so. */
final class QuotaLending {
  private static final long SHORTEST_RETRY_MICROS = 50_000;

  /** The buckets of a new owner are empty at first, so a lack of tokens says nothing yet. */
  private static final long INITIAL_REFILL_MICROS = 1_000_000;

  private static final long TICK_MICROS = 1_000_000;

  private final NodeRuntime runtime;
  private final Authority authority;
  private final QuotaOwner owner;
  private long term;
  private long tickedAtMicros;

  /** The primary's authority to lend tokens without asking its backups. */
  interface Authority {
    /** Whether tokens may be lent now: at most one earlier owner's tokens are still in use. */
    boolean mayLend();

    /** Returns when tokens may be lent at the earliest. */
    long lendingFromMicros();
  }

  QuotaLending(NodeRuntime runtime, Authority authority, QuotaOwner owner) {
    this.runtime = runtime;
    this.authority = authority;
    this.owner = owner;
  }

  /**
   * Begins a term: an uninterrupted time as the owner, to which the running totals of the nodes
   * belong.
   */
  void beginTerm(long newTerm) {
    term = newTerm;
    owner.reset();
  }

  /** Returns the current term. */
  long term() {
    return term;
  }

  /** Handles a request for tokens of some tenants. */
  void lend(LendTokensRequest request, Consumer<PrimaryReply> reply) {
    QuotaAccount account = request.quota();
    reply.accept(
        new LendTokensReply(
            term, account.demands().stream().map(demand -> lend(account, demand)).toList()));
  }

  /** Lends tokens of one tenant, as far as there are any. */
  TokenGrant lend(QuotaAccount account, TokenDemand demand) {
    long now = runtime.now();
    if (!authority.mayLend()) {
      long retryAfter = Math.max(SHORTEST_RETRY_MICROS, authority.lendingFromMicros() - now);
      return new TokenGrant(demand.tenant(), 0, retryAfter, false);
    }
    TokenDemand ofThisTerm =
        account.term() == term
            ? demand
            : new TokenDemand(demand.tenant(), 0, 0, demand.needed(), demand.spare());
    TokenGrant grant = owner.lend(account.incarnation(), ofThisTerm, now);
    boolean refilled = now - authority.lendingFromMicros() > INITIAL_REFILL_MICROS;
    return new TokenGrant(
        grant.tenant(), grant.count(), grant.retryAfterMicros(), grant.overQuota() && refilled);
  }

  /** Removes, from time to time, what no tokens are outstanding of. */
  void tick() {
    long now = runtime.now();
    if (now - tickedAtMicros > TICK_MICROS) {
      tickedAtMicros = now;
      owner.tick(now);
    }
  }
}
