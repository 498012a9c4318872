package org.otterpond.keyrange;

/** Grants and renews leases; both are the same call to the owner. */
final class LeaseGrants {
  private static final String PATH = "/-/grant";
  private static final long RETRY_MICROS = 250_000;
  private static final int CALLS_PER_STEP = 64;
  private static final int OK = 200;

  /** The owner knows a greater fencing token for some of the keys. */
  private static final int CONFLICT = 409;

  private final KeyRangeRuntime runtime;
  private final KeyRangeLeaseSettings settings;
  private final KeyRangeLeases leases;
  private final LeaseWriter writer;
  private final FencingTokens fences;
  private int callsInStep;

  LeaseGrants(
      KeyRangeRuntime runtime,
      KeyRangeLeaseSettings settings,
      KeyRangeLeases leases,
      LeaseWriter writer,
      FencingTokens fences) {
    this.runtime = runtime;
    this.settings = settings;
    this.leases = leases;
    this.writer = writer;
    this.fences = fences;
  }

  /** Begins a step of the manager, in which a number of renewals is allowed. */
  void beginStep() {
    callsInStep = 0;
  }

  /** Renews a lease if that is due and the step allows it. */
  void renewIfDue(KeyRangeLease lease, long nowMicros) {
    if (lease.isIdle() && nowMicros >= lease.nextCallAt && callsInStep < CALLS_PER_STEP) {
      grant(lease);
    }
  }

  /** Grants or renews a lease, whose owner and fencing token are durable. */
  void grant(KeyRangeLease lease) {
    boolean grantable = lease.state == KeyRangeState.GRANTING || lease.state == KeyRangeState.HELD;
    if (!runtime.hasAuthority() || lease.writing || !grantable) {
      return;
    }
    callsInStep++;
    lease.openCalls++;
    lease.nextCallAt = Long.MAX_VALUE;
    runtime.call(
        lease.address,
        lease.owner,
        PATH,
        LeaseCallBody.grant(lease, leases.lastKey(lease), settings.holdMicros()),
        KeyRangeLeaseSettings.GRANT_TIMEOUT_MICROS,
        answer -> {
          lease.openCalls--;
          if (leases.contains(lease)) {
            onAnswer(lease, answer, runtime.now());
          }
        });
  }

  private void onAnswer(KeyRangeLease lease, KeyRangeRuntime.Answer answer, long nowMicros) {
    if (answer.status() == OK) {
      onGranted(lease, nowMicros);
      return;
    }
    lease.nextCallAt = nowMicros + RETRY_MICROS;
    if (answer.status() == CONFLICT) {
      raiseFence(lease);
    } else if (answer.mayHaveArrived()) {
      lease.mayBeHeldUntil =
          Math.max(lease.mayBeHeldUntil, nowMicros + settings.longestUnansweredMicros());
      lease.givenUpAt = nowMicros;
    }
  }

  private void onGranted(KeyRangeLease lease, long nowMicros) {
    lease.mayBeHeldUntil =
        Math.max(lease.mayBeHeldUntil, nowMicros + settings.longestAnsweredMicros());
    lease.nextCallAt = nowMicros + jitteredRenewalMicros();
    if (lease.state == KeyRangeState.GRANTING && !lease.writing) {
      lease.handoverToken = null;
      writer.changeState(lease, KeyRangeState.HELD, () -> {});
    }
  }

  /** Returns a time between two renewals that varies by 15 per cent, so that renewals spread. */
  private long jitteredRenewalMicros() {
    long renewalMicros = settings.renewalMicros();
    return renewalMicros * 85 / 100 + runtime.random(renewalMicros * 3 / 10);
  }

  private void raiseFence(KeyRangeLease lease) {
    if (lease.writing) {
      return;
    }
    runtime.event(
        "event=grant_outfenced service="
            + lease.service
            + " from="
            + lease.firstKey
            + " fence="
            + lease.fence);
    fences.observe(lease.fence);
    lease.fence = fences.next();
    writer.changeState(lease, KeyRangeState.GRANTING, () -> grant(lease));
  }
}
