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

/** One request on its way: where it goes, what it may still try, and until when. */
final class RequestContext {
  final ServerExchange call;
  final Route route;

  /**
   * The tenant whose key came with the request; null on public routes and where there are no
   * tenants.
   */
  final Tenant tenant;

  final ServiceEndpoints endpoints;
  final Set<String> tried = new HashSet<>();
  private final long deadline;
  private final long refuseAt;

  /** Whether there are tenants, so that an access key is no worker's business. */
  boolean tenanted;

  int attempts;
  String key;

  /** The key by which a divided service is split, or -1. */
  int partitionKey = -1;

  String token;
  final List<Attempt> open = new ArrayList<>();
  EventLoop.Timer timer;
  EventLoop.Timer hedge;
  boolean finished;

  /** Whether the operation key is this request's. */
  boolean claimed;

  boolean freed;

  /** Whether a token of the tenant's quota is taken for the next run. */
  boolean paid;

  /** Whether the outcome of a keyed run, known or not, is kept for repeats. */
  boolean settled;

  /** True once a byte of the request may have reached a worker that has not disowned it. */
  boolean mayHaveRun;

  RequestContext(
      ServerExchange call,
      Route route,
      Tenant tenant,
      ServiceEndpoints endpoints,
      long deadline,
      long refuseAt) {
    this.call = call;
    this.tenant = tenant;
    this.route = route;
    this.endpoints = endpoints;
    this.deadline = deadline;
    this.refuseAt = refuseAt;
  }

  int priority() {
    return tenant == null ? route.priority() : tenant.priority();
  }

  /** Whether its runs are counted against a quota. */
  boolean counted() {
    return tenant != null && tenant.limited();
  }

  long deadline() {
    return deadline;
  }

  /** When to refuse it if no worker has been offered it by then. */
  long refuseAt() {
    return refuseAt;
  }

  boolean keyed() {
    return route.type() == RouteType.KEYED;
  }

  boolean repeatable() {
    return route.type() == RouteType.IDEMPOTENT;
  }
}
