package org.otterpond.proxy;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import org.otterpond.config.NodeSettings;
import org.otterpond.control.agent.ControlPlaneAgent;
import org.otterpond.control.message.ReleaseKeyRequest;
import org.otterpond.net.EventLoop;
import org.otterpond.net.HttpMessage;
import org.otterpond.protocol.WireRecord;

/**
 * The idempotency keys that this node has locked at the core: which operations are in progress,
 * what is known of those that have ended, and the release of locks under which nothing was
 * executed.
 */
final class IdempotencyKeys {
  private static final long RETENTION_MARGIN_MICROS = 10_000_000;
  private static final int CACHE_FRACTION_OF_HEAP = 4;
  private static final long RELEASE_TIMEOUT_MICROS = 3_000_000;
  private static final long RELEASE_RESEND_MICROS = 400_000;

  private final ControlPlaneAgent agent;
  private final IdempotentResponseCache responses;
  private final UnexecutedKeys unexecuted;

  /** The lock tokens of requests whose outcome is not settled yet. */
  private final Set<String> tokensInProgress = new HashSet<>();

  IdempotencyKeys(ControlPlaneAgent agent, NodeSettings settings) {
    this.agent = agent;
    long retentionMicros = settings.keyWindowMicros() + RETENTION_MARGIN_MICROS;
    long maxBytes = Runtime.getRuntime().maxMemory() / CACHE_FRACTION_OF_HEAP;
    this.responses = new IdempotentResponseCache(retentionMicros, maxBytes);
    this.unexecuted = new UnexecutedKeys(retentionMicros);
  }

  /** Returns what is known of the execution under a lock of this node; null if nothing is. */
  RunOutcome outcome(String key, String token) {
    RunOutcome stored = responses.get(key, token);
    if (stored != null) {
      return stored;
    }
    if (tokensInProgress.contains(token)) {
      return new RunOutcome.InProgress();
    }
    return unexecuted.contains(token) ? new RunOutcome.NotExecuted() : null;
  }

  /** Notes that the lock is being requested. */
  void lockRequested(RequestContext request) {
    tokensInProgress.add(request.lockToken);
  }

  /** Notes that the lock was not granted. */
  void lockDenied(RequestContext request) {
    tokensInProgress.remove(request.lockToken);
  }

  /** Notes that the request has ended; without an outcome nothing was or will be executed. */
  void requestEnded(RequestContext request) {
    if (!request.outcomeStored) {
      unexecuted.add(request.lockToken, EventLoop.now());
    }
  }

  /** Stores the response of the worker for repeats. */
  void storeResponse(RequestContext request, HttpMessage response) {
    store(
        request,
        new RunOutcome.StoredResponse(
            response.status(),
            response.body(),
            response.firstHeader(GatewayHeaders.SERVER_SEAL),
            response.firstHeader("Content-Type")));
  }

  /** Stores that the operation may have been executed, with an unknown response. */
  void storeUnknown(RequestContext request) {
    store(request, new RunOutcome.Unknown());
  }

  private void store(RequestContext request, RunOutcome outcome) {
    request.outcomeStored = true;
    responses.put(request.operationKey, request.lockToken, outcome, EventLoop.now());
    tokensInProgress.remove(request.lockToken);
  }

  /** Ends an operation without a response: unknown if it may have been executed, else released. */
  void settleWithoutResponse(RequestContext request) {
    if (request.mayHaveExecuted) {
      storeUnknown(request);
    } else {
      release(request);
    }
  }

  /** Releases the lock of a request under which nothing was executed. */
  void release(RequestContext request) {
    request.keyReleased = true;
    release(
        request.operationKey,
        request.lockToken,
        reply -> tokensInProgress.remove(request.lockToken));
  }

  /** Releases a lock under which nothing was executed; a lock under another token stays. */
  void release(String key, String token, Consumer<WireRecord> answered) {
    agent.ask(
        new ReleaseKeyRequest(key, token).toWireRecord(),
        RELEASE_TIMEOUT_MICROS,
        RELEASE_RESEND_MICROS,
        answered);
  }
}
