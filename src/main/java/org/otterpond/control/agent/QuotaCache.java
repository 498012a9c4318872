package org.otterpond.control.agent;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.otterpond.control.message.LendTokensReply;
import org.otterpond.control.message.LendTokensRequest;
import org.otterpond.control.message.QuotaAccount;
import org.otterpond.control.message.TokenDemand;
import org.otterpond.control.message.TokenGrant;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;
import org.otterpond.runtime.NodeRuntime;

/**
 * This node's cache of quota tokens, which the quota owner on the primary lends for a limited time.
 *
 * <p>One token admits one execution of one request. None is used later than the lending time after
 * it was asked for. Each request to the owner carries running totals of the tokens that were used,
 * returned or have expired, so the owner knows how many may be outstanding. Used by the owner
 * thread only.
 */
public final class QuotaCache {
  /** Requests for tokens are collected for this long. */
  private static final long COLLECT_MICROS = 2_000;

  private static final long REPORT_DELAY_MICROS = 150_000;
  private static final long REQUEST_TIMEOUT_MICROS = 300_000;
  private static final long REQUEST_RESEND_MICROS = 2 * REQUEST_TIMEOUT_MICROS;
  private static final long MIN_RETRY_MICROS = 20_000;
  private static final long MAX_RETRY_MICROS = 120_000;
  private static final double MIN_RETRY_AFTER_SECONDS = 0.3;
  private static final double MAX_RETRY_AFTER_SECONDS = 5;
  private static final double MICROS_PER_SECOND = 1e6;

  /** The result of a grant after which there is no reason to ask again. */
  private static final long NO_RETRY = Long.MAX_VALUE;

  /** The field of an encoded grant that says when to ask again, in microseconds. */
  private static final String RETRY_AFTER = "again";

  private final NodeRuntime runtime;
  private final ForwardedRequests requests;
  private final long incarnation;
  private final long lendingMicros;
  private final Map<String, TenantTokens> tenants = new LinkedHashMap<>();

  /** The owner's term to which the tokens and totals belong. */
  private long ownerTerm;

  private boolean requestPending;
  private boolean requestScheduled;
  private boolean reportScheduled;

  /** A caller that waits for a token. */
  public interface Taker {
    /** Whether the caller still wants a token. */
    boolean waits();

    /** A token has been used for the caller. */
    void taken();

    /** The tenant is over its quota; the caller should retry after this many seconds. */
    void over(double retryAfter);
  }

  /**
   * Creates an empty cache.
   *
   * @param incarnation names this process to the quota owner
   * @param lendingMicros for how long after the request a token may be used
   */
  QuotaCache(
      NodeRuntime runtime, ForwardedRequests requests, long incarnation, long lendingMicros) {
    this.runtime = runtime;
    this.requests = requests;
    this.incarnation = incarnation;
    this.lendingMicros = lendingMicros;
  }

  private TenantTokens tokens(String tenant) {
    return tenants.computeIfAbsent(tenant, TenantTokens::new);
  }

  /** Uses a cached token; false if there is none. */
  public boolean take(String tenant) {
    return take(tokens(tenant));
  }

  private boolean take(TenantTokens tokens) {
    boolean taken = tokens.take(runtime.now());
    if (taken) {
      scheduleReport();
    }
    return taken;
  }

  /** Gives back a token that was taken for a request which will not be executed. */
  public void giveBack(String tenant) {
    tokens(tenant).giveBack();
  }

  /** Uses a token for the caller as soon as there is one; at once if one is cached. */
  public void acquire(String tenant, Taker taker) {
    TenantTokens tokens = tokens(tenant);
    if (!tokens.hasWaiters() && take(tokens)) {
      taker.taken();
      return;
    }
    tokens.addWaiter(taker);
    scheduleRequest(COLLECT_MICROS);
  }

  private void scheduleRequest(long delayMicros) {
    if (!requestScheduled) {
      requestScheduled = true;
      runtime.after(
          delayMicros,
          () -> {
            requestScheduled = false;
            sendRequest();
          });
    }
  }

  private void scheduleReport() {
    if (!reportScheduled) {
      reportScheduled = true;
      runtime.after(
          REPORT_DELAY_MICROS,
          () -> {
            reportScheduled = false;
            if (tenants.values().stream().anyMatch(TenantTokens::hasUnreportedUse)) {
              sendRequest();
            }
          });
    }
  }

  /**
   * One tenant's part of a request to the quota owner: the totals, how many tokens are needed, and
   * how many are wanted as a reserve. The totals count as reported.
   */
  public TokenDemand demand(String tenant, int needed) {
    TenantTokens tokens = tokens(tenant);
    tokens.expire(runtime.now());
    tokens.markReported();
    return new TokenDemand(
        tenant, tokens.used(), tokens.returned(), needed, tokens.reserveWanted());
  }

  /** The part of a request to the quota owner that carries these demands. */
  public QuotaAccount account(List<TokenDemand> demands) {
    return new QuotaAccount(demands, incarnation, ownerTerm);
  }

  /** The encoded form of {@link #demand(String, int)}. */
  public WireRecord part(String tenant, int needed) {
    return demand(tenant, needed).toWireRecord();
  }

  /** Adds the fields of {@link #account(List)} to an encoded request. */
  public WireRecord addAccount(WireRecord request) {
    return request.with("life", incarnation).with("term", ownerTerm);
  }

  private void sendRequest() {
    if (requestPending) {
      return;
    }
    List<TokenDemand> demands = demands();
    if (demands.isEmpty()) {
      return;
    }
    requestPending = true;
    long requestedAt = runtime.now();
    requests.toPrimary(
        new LendTokensRequest(account(demands)),
        REQUEST_TIMEOUT_MICROS,
        REQUEST_RESEND_MICROS,
        reply -> onReply(reply, requestedAt));
  }

  private List<TokenDemand> demands() {
    List<TokenDemand> demands = new ArrayList<>();
    for (TenantTokens tokens : tenants.values()) {
      tokens.removeCancelledWaiters();
      if (tokens.hasWaiters() || tokens.hasUnreportedUse()) {
        demands.add(demand(tokens.tenant, tokens.waiterCount()));
      }
    }
    return demands;
  }

  private void onReply(WireRecord encoded, long requestedAt) {
    requestPending = false;
    LendTokensReply reply = encoded == null ? null : decode(encoded, LendTokensReply::of);
    if (reply == null) {
      // Tokens in a lost reply are never used: the owner counts them until they expire.
      scheduleRequest(COLLECT_MICROS);
      return;
    }
    long retryMicros = NO_RETRY;
    for (TokenGrant grant : reply.grants()) {
      retryMicros = Math.min(retryMicros, lent(reply.term(), grant, requestedAt, true));
    }
    if (retryMicros < NO_RETRY) {
      scheduleRequest(retryDelay(retryMicros));
    } else if (tenants.values().stream().anyMatch(TenantTokens::hasWaiters)) {
      scheduleRequest(COLLECT_MICROS);
    }
  }

  /** Reads a part of a message; throws {@code ProtocolException} if it is malformed. */
  private interface Decoder<T> {
    T decode(WireRecord encoded) throws ProtocolException;
  }

  private <T> T decode(WireRecord encoded, Decoder<T> decoder) {
    try {
      return decoder.decode(encoded);
    } catch (ProtocolException e) {
      runtime.malformedMessage("primary", e);
      return null;
    }
  }

  /**
   * Adds the tokens of one grant.
   *
   * @param term the term of the owner that granted them
   * @param grant one tenant's grant
   * @param requestedAt when the tokens were requested, in microseconds of the monotonic clock
   * @param serveWaiters whether waiting callers get the tokens
   * @return after how many microseconds to ask again for the callers that still wait, {@link
   *     Long#MAX_VALUE} if there are none
   */
  public long lent(long term, TokenGrant grant, long requestedAt, boolean serveWaiters) {
    if (term != ownerTerm) {
      // Another owner: the totals start again, and the former owner's tokens are left to expire.
      ownerTerm = term;
      tenants.values().forEach(TenantTokens::reset);
    }
    TenantTokens tokens = tokens(grant.tenant());
    tokens.add(grant.count(), requestedAt + lendingMicros);
    return serveWaiters ? serveWaiters(tokens, grant) : NO_RETRY;
  }

  /** Adds the tokens of an encoded grant; one that is malformed is logged and adds none. */
  public long lent(long term, WireRecord encoded, long requestedAt, boolean serveWaiters) {
    TokenGrant grant = decode(encoded, TokenGrant::of);
    return grant == null ? NO_RETRY : lent(term, grant, requestedAt, serveWaiters);
  }

  private long serveWaiters(TenantTokens tokens, TokenGrant grant) {
    Taker waiter = tokens.nextWaiter();
    while (waiter != null && take(tokens)) {
      tokens.removeFirstWaiter();
      waiter.taken();
      waiter = tokens.nextWaiter();
    }
    if (waiter == null) {
      return NO_RETRY;
    }
    if (grant.overQuota()) {
      double seconds = retryAfterSeconds(grant.retryAfterMicros());
      tokens.removeAllWaiters().forEach(denied -> denied.over(seconds));
      return NO_RETRY;
    }
    return grant.retryAfterMicros();
  }

  /** After how many seconds a caller over its quota should retry, by the owner's encoded grant. */
  public static double retryAfter(WireRecord grant) {
    return retryAfterSeconds(grant.number(RETRY_AFTER));
  }

  /** After how many seconds a caller over its quota should retry, by the owner's grant. */
  public static double retryAfter(TokenGrant grant) {
    return retryAfterSeconds(grant.retryAfterMicros());
  }

  private static double retryAfterSeconds(long micros) {
    double seconds = micros / MICROS_PER_SECOND;
    return Math.max(MIN_RETRY_AFTER_SECONDS, Math.min(MAX_RETRY_AFTER_SECONDS, seconds));
  }

  /** After how many microseconds to ask again, by an encoded grant without tokens. */
  public static long pause(WireRecord grant) {
    return retryDelay(grant.number(RETRY_AFTER));
  }

  /** After how many microseconds to ask again, by a grant without tokens. */
  public static long pause(TokenGrant grant) {
    return retryDelay(grant.retryAfterMicros());
  }

  private static long retryDelay(long wantedMicros) {
    return Math.max(MIN_RETRY_MICROS, Math.min(MAX_RETRY_MICROS, wantedMicros));
  }

  /** Drops expired tokens, and gives idle ones back while another node may still use them. */
  void sweep() {
    long now = runtime.now();
    for (TenantTokens tokens : tenants.values()) {
      tokens.expire(now);
      tokens.returnIdle(now, lendingMicros / 2);
      if (tokens.hasUnreportedUse()) {
        scheduleReport();
      }
    }
  }
}
