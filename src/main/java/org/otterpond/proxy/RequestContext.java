package org.otterpond.proxy;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.otterpond.config.Route;
import org.otterpond.config.RouteType;
import org.otterpond.config.Tenant;
import org.otterpond.net.EventLoop;
import org.otterpond.net.ServerExchange;

/** The state of one request from its admission until the last of its attempts has ended. */
final class RequestContext {
  /** The partition key of requests to services that are not partitioned. */
  static final int NO_PARTITION_KEY = -1;

  /** Shortest rest of a request's time in which an attempt is worth beginning. */
  static final long MIN_TIME_LEFT_MICROS = 5_000;

  final ServerExchange exchange;
  final Route route;

  /** Whose access key came with the request; null on public routes and without tenants. */
  final Tenant tenant;

  final ServiceEndpoints endpoints;
  final Set<String> triedInstances = new HashSet<>();
  final List<Attempt> openAttempts = new ArrayList<>();
  private final List<Attempt> attempts = new ArrayList<>(1);
  private long deadlineMicros;
  private long rejectAtMicros;

  /** Whether the configuration has tenants, so that the access key is not for the worker. */
  boolean accessKeyHidden;

  int partitionKey = NO_PARTITION_KEY;

  /** The idempotency key with the tenant or host that it belongs to; null on other routes. */
  String operationKey;

  /** Names this request in the lock on its idempotency key. */
  String lockToken;

  EventLoop.Timer deadlineTimer;
  EventLoop.Timer hedgeTimer;

  /** Whether the client has its response; from then on no attempt may begin. */
  boolean finished;

  /** Whether the lock on the idempotency key was granted. */
  boolean keyLocked;

  boolean keyReleased;

  /** Whether a token of the tenant's quota is reserved for the next attempt. */
  boolean quotaTokenReserved;

  /** Whether the outcome of a keyed operation, known or not, is stored for repeats. */
  boolean outcomeStored;

  /** Set once a worker may have executed the request; never cleared. */
  boolean mayHaveExecuted;

  RequestContext(ServerExchange exchange, Route route, Tenant tenant, ServiceEndpoints endpoints) {
    this.exchange = exchange;
    this.route = route;
    this.tenant = tenant;
    this.endpoints = endpoints;
  }

  /**
   * Sets until when the request may take and until when it may wait for its first worker, both in
   * microseconds from its arrival.
   */
  void setTimeLimits(long totalMicros, long queueMicros) {
    deadlineMicros = exchange.receivedAtMicros() + totalMicros;
    rejectAtMicros = exchange.receivedAtMicros() + queueMicros;
  }

  long deadlineMicros() {
    return deadlineMicros;
  }

  /** Returns when the request is rejected if no worker could take it by then. */
  long rejectAtMicros() {
    return rejectAtMicros;
  }

  long timeLeftMicros(long now) {
    return deadlineMicros - now;
  }

  /** Returns whether more than half of the time of the request is left. */
  boolean moreThanHalfLeft(long now) {
    return timeLeftMicros(now) > timeLeftMicros(exchange.receivedAtMicros()) / 2;
  }

  /** Notes that an attempt begins. */
  void begin(Attempt attempt) {
    attempts.add(attempt);
    openAttempts.add(attempt);
    triedInstances.add(attempt.endpoint.id());
  }

  /** Returns all attempts, the open ones and those that have ended. */
  List<Attempt> attempts() {
    return attempts;
  }

  int attemptCount() {
    return attempts.size();
  }

  /** Returns the rank in queues; lower values go first. */
  int priority() {
    return tenant == null ? route.priority() : tenant.priority();
  }

  /** Returns whether attempts of the request count against a quota. */
  boolean countsAgainstQuota() {
    return tenant != null && tenant.hasRateLimit();
  }

  /** Returns what the request waits for. */
  RequestStage stage() {
    if (finished) {
      return RequestStage.RESPONSE;
    }
    if (!openAttempts.isEmpty()) {
      return RequestStage.ATTEMPT;
    }
    if (endpoints.queue().contains(this)) {
      return RequestStage.QUEUE;
    }
    return attemptCount() > 0 ? RequestStage.RETRY : RequestStage.ADMISSION;
  }

  boolean keyed() {
    return route.type() == RouteType.KEYED;
  }

  boolean idempotent() {
    return route.type() == RouteType.IDEMPOTENT;
  }

  /**
   * Returns whether the client has left and nobody needs the result: no attempt may begin any more.
   * The result of a keyed request is kept for a repeat of it.
   */
  boolean abandoned() {
    return exchange.clientGone() && !keyed();
  }

  /** Returns whether a worker may have received the request in one of the open attempts. */
  boolean atWorker() {
    return openAttempts.stream().anyMatch(Attempt::mayHaveReachedWorker);
  }

  boolean hasPartitionKey() {
    return partitionKey != NO_PARTITION_KEY;
  }
}
