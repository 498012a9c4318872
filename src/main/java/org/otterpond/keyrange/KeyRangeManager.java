package org.otterpond.keyrange;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * The only granter of key ranges, on the core's primary. An owner and its fencing token are durable
 * before a grant is sent; a range gets another owner only after the present one has answered a
 * release, or once every grant that it may have got has expired on the slowest clock.
 */
public final class KeyRangeManager {
  private static final long STEP_MICROS = 100_000;

  /** After a change of the primary the renewals are spread over this time. */
  private static final long FIRST_RENEWALS_MICROS = 4 * STEP_MICROS;

  private final KeyRangeRuntime runtime;
  private final KeyRangeLeaseSettings settings;
  private final FencingTokens fences = new FencingTokens();
  private final KeyRangeLeases leases = new KeyRangeLeases();
  private final WorkerLoads loads;
  private final TakeoverDelay takeoverDelay;
  private final LeaseGrants grants;
  private final LeaseStep leaseStep;
  private final InitialDivision initialDivision;
  private final KeyRangeBalancer balancer;
  private Set<String> partitionedServices = Set.of();
  private long steppedAtMicros;

  /** Creates a manager without ranges; {@link #began} follows when this node is the primary. */
  public KeyRangeManager(KeyRangeRuntime runtime, KeyRangeLeaseSettings settings) {
    this.runtime = runtime;
    this.settings = settings;
    this.loads = new WorkerLoads(runtime, leases);
    this.takeoverDelay = new TakeoverDelay(runtime);
    LeaseWriter writer = new LeaseWriter(runtime, leases);
    this.grants = new LeaseGrants(runtime, settings, leases, writer, fences);
    LeaseHandover handover =
        new LeaseHandover(
            runtime, leases, writer, grants, new LeaseHandover.Receivers(loads, fences));
    this.leaseStep = new LeaseStep(runtime, writer, grants, handover, takeoverDelay);
    this.initialDivision = new InitialDivision(runtime, leases, writer, grants, fences);
    KeyRangeDivision division = new KeyRangeDivision(runtime, leases, writer);
    this.balancer = new KeyRangeBalancer(leases, loads, division, handover);
  }

  /**
   * Begins an epoch as primary. The ranges are taken as they are written, whoever was primary
   * before: a write of this node that was in progress when an epoch ended may be lost.
   *
   * @param written the entries of the replicated table
   * @param continued whether no other node was primary since; then the request rates are kept
   */
  public void began(List<WireRecord> written, boolean continued) {
    leases.clear();
    initialDivision.clear();
    if (!continued) {
      loads.clear();
    }
    long nowMicros = runtime.now();
    long mayBeHeldUntil =
        Math.max(nowMicros, runtime.predecessorAuthorityEndsAt())
            + settings.longestOfPredecessorMicros();
    for (WireRecord entry : written) {
      KeyRangeLease lease = new KeyRangeLease(KeyRange.of(entry));
      lease.mayBeHeldUntil = mayBeHeldUntil;
      // A call that this node made in an epoch before may still be open.
      lease.givenUpAt = nowMicros + KeyRangeLeaseSettings.GRANT_TIMEOUT_MICROS;
      lease.nextCallAt = nowMicros + runtime.random(FIRST_RENEWALS_MICROS);
      leases.put(lease);
      fences.observe(lease.fence);
    }
  }

  /** Sets the services whose keys are partitioned. */
  public void configured(Set<String> services) {
    partitionedServices = Set.copyOf(services);
  }

  /** Takes a node's report of requests by key; a malformed one is logged and dropped. */
  public void onLoadReport(WireRecord encoded) {
    try {
      KeyLoadReport report = KeyLoadReport.of(encoded);
      loads.keyLoad(report.service()).add(report);
    } catch (ProtocolException e) {
      runtime.event("event=key_load_malformed cause=" + e.getMessage());
    }
  }

  /** Advances all leases; to be called at least every 0.1 s. */
  public void tick() {
    long nowMicros = runtime.now();
    if (nowMicros - steppedAtMicros < STEP_MICROS || partitionedServices.isEmpty()) {
      return;
    }
    steppedAtMicros = nowMicros;
    if (!runtime.hasAuthority()) {
      return;
    }
    grants.beginStep();
    for (String service : partitionedServices) {
      step(service, nowMicros);
    }
  }

  private void step(String service, long nowMicros) {
    boolean mayMove = takeoverDelay.isOver(nowMicros);
    List<KeyRangeLease> current = leases.snapshot(service);
    if (current.isEmpty()) {
      initialDivision.divideOnceSettled(service, mayMove, nowMicros);
      return;
    }
    loads.keyLoad(service).decay(nowMicros);
    current.forEach(lease -> leaseStep.run(lease, nowMicros));
    if (mayMove) {
      balancer.balanceIfDue(service, nowMicros);
    }
  }

  /** Returns the ranges and states of each service for the operators. */
  public List<WireRecord> status() {
    List<WireRecord> status = new ArrayList<>();
    for (String service : leases.services()) {
      status.add(KeyRangeStatus.of(service, leases.of(service), fences.greatest()).toWireRecord());
    }
    return status;
  }
}
