package org.otterpond.proxy;

import java.util.function.Consumer;
import org.otterpond.config.NodeSettings;
import org.otterpond.control.agent.ControlPlaneAgent;
import org.otterpond.control.agent.QuotaCache;
import org.otterpond.control.message.ClaimKeyReply;
import org.otterpond.control.message.ClaimKeyRequest;
import org.otterpond.net.EventLoop;
import org.otterpond.net.GatewayResponses;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Locks the idempotency key of a request at the core before its first attempt. Where another
 * request has the lock, the outcome is fetched from the node of that one and replayed.
 */
final class IdempotencyKeyLocking {
  private static final Logger LOG = LoggerFactory.getLogger(IdempotencyKeyLocking.class);
  private static final long LOCK_RESEND_MICROS = 200_000;
  private static final long MAX_FETCH_MICROS = 400_000;
  private static final long RETRY_IN_PROGRESS_MICROS = 100_000;
  private static final long RETRY_RELEASED_MICROS = 10_000;
  private static final double MICROS_PER_SECOND = 1e6;
  private static final double MIN_RETRY_AFTER_SECONDS = 0.05;

  /** Fraction of a request's rest after which its client may retry, in microseconds a second. */
  private static final double RETRY_AFTER_DIVISOR = 3.5e6;

  private final EventLoop eventLoop;
  private final ControlPlaneAgent agent;
  private final String ownAddress;
  private final QuotaCache quotaCache;
  private final QuotaAdmission quota;
  private final IdempotencyKeys keys;
  private final RequestCompletion completion;
  private final Consumer<RequestContext> locked;

  /**
   * Creates the locking over the parts of the data path.
   *
   * @param locked gets a request once its key is locked and a token of its quota reserved
   */
  IdempotencyKeyLocking(
      DataPathServices services,
      NodeSettings settings,
      RequestCompletion completion,
      Consumer<RequestContext> locked) {
    this.eventLoop = services.eventLoop();
    this.agent = services.agent();
    this.ownAddress = settings.internalAddress();
    this.quotaCache = agent.stores();
    this.quota = services.quota();
    this.keys = services.keys();
    this.completion = completion;
    this.locked = locked;
  }

  /** Requests the lock; together with it a token of the quota where none is available here. */
  void lock(RequestContext request) {
    WireRecord ask =
        new ClaimKeyRequest(request.operationKey, request.lockToken, ownAddress, null)
            .toWireRecord();
    if (request.countsAgainstQuota() && !request.quotaTokenReserved && !quota.tryReserve(request)) {
      quotaCache.addAccount(ask).with("tenant", quotaCache.part(request.tenant.name(), 1));
    }
    long askedAtMicros = EventLoop.now();
    keys.lockRequested(request);
    agent.ask(
        ask,
        quota.coreWaitMicros(request),
        LOCK_RESEND_MICROS,
        reply -> answered(request, reply, askedAtMicros));
  }

  private void answered(RequestContext request, WireRecord encoded, long askedAtMicros) {
    ClaimKeyReply reply = decodedReply(encoded);
    if (reply == null) {
      keys.release(request);
      if (!request.finished) {
        rejectWithoutLock(request);
      }
      return;
    }
    WireRecord lent = reply.grant() == null ? null : reply.grant().toWireRecord();
    if (lent != null) {
      quotaCache.lent(reply.quotaTerm().orElse(0), lent, askedAtMicros, false);
    }
    if (reply.granted()) {
      granted(request);
      return;
    }
    keys.lockDenied(request);
    if (request.finished) {
      return;
    }
    if (lent != null) {
      withoutQuotaToken(request, reply.grant().overQuota(), lent);
    } else {
      replayFrom(request, reply.holder(), reply.holdingToken());
    }
  }

  /** Returns null where the core gave no answer that can be read. */
  private static ClaimKeyReply decodedReply(WireRecord encoded) {
    try {
      return encoded == null ? null : ClaimKeyReply.of(encoded);
    } catch (ProtocolException e) {
      LOG.warn("event=malformed_message from=primary cause=\"{}\"", e.getMessage());
      return null;
    }
  }

  /** A node that is out of touch sends the client elsewhere at once; else the core is soon back. */
  private void rejectWithoutLock(RequestContext request) {
    double retryAfterSeconds =
        agent.outOfTouch()
            ? QuotaAdmission.minWaitMicros() / MICROS_PER_SECOND
            : Math.max(
                MIN_RETRY_AFTER_SECONDS,
                request.timeLeftMicros(EventLoop.now()) / RETRY_AFTER_DIVISOR);
    completion.reject(
        request,
        GatewayResponses.unavailable("the key could not be locked in time", retryAfterSeconds));
  }

  private void granted(RequestContext request) {
    if (request.finished) {
      keys.release(request);
      return;
    }
    request.keyLocked = true;
    if (!request.countsAgainstQuota() || request.quotaTokenReserved || quota.tryReserve(request)) {
      locked.accept(request);
    } else {
      quota.reserve(
          request,
          () -> locked.accept(request),
          retryAfterSeconds -> completion.rejectOverQuota(request, retryAfterSeconds));
    }
  }

  /** The key is not locked, but the owner of the quota lent no token for the attempt. */
  private void withoutQuotaToken(RequestContext request, boolean overQuota, WireRecord lent) {
    if (overQuota) {
      completion.rejectOverQuota(request, QuotaCache.retryAfter(lent));
    } else if (request.moreThanHalfLeft(EventLoop.now())) {
      eventLoop.after(QuotaCache.pause(lent), () -> lockAgain(request));
    } else {
      completion.rejectOverQuota(request, QuotaAdmission.NO_ANSWER);
    }
  }

  private void lockAgain(RequestContext request) {
    if (!request.finished) {
      lock(request);
    }
  }

  /** Another request has the lock: the node of that one knows the outcome. */
  private void replayFrom(RequestContext request, String holder, String token) {
    if (holder == null || holder.isEmpty() || holder.equals(ownAddress)) {
      replay(request, token, keys.outcome(request.operationKey, token));
      return;
    }
    long rest = request.timeLeftMicros(EventLoop.now()) - RequestContext.MIN_TIME_LEFT_MICROS;
    agent.fetchOutcome(
        holder,
        request.operationKey,
        token,
        Math.min(MAX_FETCH_MICROS, Math.max(RequestContext.MIN_TIME_LEFT_MICROS, rest)),
        encoded -> replay(request, token, decoded(encoded, holder)));
  }

  private static RunOutcome decoded(WireRecord encoded, String holder) {
    try {
      return encoded == null ? null : RunOutcome.of(encoded);
    } catch (ProtocolException e) {
      LOG.warn("event=malformed_message from={} cause=\"{}\"", holder, e.getMessage());
      return null;
    }
  }

  private void replay(RequestContext request, String token, RunOutcome outcome) {
    if (request.finished) {
      return;
    }
    if (outcome instanceof RunOutcome.NotExecuted) {
      // The core has a lock that its own node has given up. It is released first, on the connection
      // that lock requests go on.
      keys.release(request.operationKey, token, reply -> {});
      eventLoop.after(RETRY_RELEASED_MICROS, () -> lockAgain(request));
    } else if (outcome instanceof RunOutcome.StoredResponse response) {
      completion.replay(request, response);
    } else if (!(outcome instanceof RunOutcome.InProgress)) {
      completion.finish(
          request,
          GatewayResponses.problem(
              502, "an earlier attempt of this operation has no known outcome"));
    } else if (request.moreThanHalfLeft(EventLoop.now())) {
      // Locked again, as that attempt may turn out not to have been executed.
      eventLoop.after(RETRY_IN_PROGRESS_MICROS, () -> lockAgain(request));
    } else {
      completion.finish(
          request,
          GatewayResponses.problem(409, "the operation is in progress")
              .header("Retry-After", "0.1"));
    }
  }
}
