package org.otterpond.cargo;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.otterpond.chart.Route;
import org.otterpond.chart.RouteType;
import org.otterpond.chart.Shipper;
import org.otterpond.quay.Call;
import org.otterpond.quay.Quay;

/** One request on its way: where it goes, what it may still try, and until when. */
final class Passage {
  final Call call;
  final Route route;

  /**
   * The tenant whose key came with the request; null on public routes and where there are no
   * tenants.
   */
  final Shipper shipper;

  final Fairway fairway;
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
  Quay.Timer timer;
  Quay.Timer hedge;
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

  Passage(Call call, Route route, Shipper shipper, Fairway fairway, long deadline, long refuseAt) {
    this.call = call;
    this.shipper = shipper;
    this.route = route;
    this.fairway = fairway;
    this.deadline = deadline;
    this.refuseAt = refuseAt;
  }

  int priority() {
    return shipper == null ? route.priority() : shipper.priority();
  }

  /** Whether its runs are counted against a quota. */
  boolean counted() {
    return shipper != null && shipper.limited();
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
