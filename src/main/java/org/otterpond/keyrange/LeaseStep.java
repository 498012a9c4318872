package org.otterpond.keyrange;

/** The periodic step of one lease: the transitions between its states. */
final class LeaseStep {
  private final KeyRangeRuntime runtime;
  private final LeaseWriter writer;
  private final LeaseGrants grants;
  private final LeaseHandover handover;
  private final TakeoverDelay takeoverDelay;

  LeaseStep(
      KeyRangeRuntime runtime,
      LeaseWriter writer,
      LeaseGrants grants,
      LeaseHandover handover,
      TakeoverDelay takeoverDelay) {
    this.runtime = runtime;
    this.writer = writer;
    this.grants = grants;
    this.handover = handover;
    this.takeoverDelay = takeoverDelay;
  }

  /** Advances a lease: renews it, takes it back, or gives it to another worker. */
  void run(KeyRangeLease lease, long nowMicros) {
    if (lease.writing) {
      return;
    }
    KeyRangeRuntime.Worker owner = runtime.worker(lease.owner);
    boolean alive = owner != null && owner.alive();
    if (!alive && lease.state != KeyRangeState.EXPIRING) {
      beginExpiry(lease, owner);
      return;
    }
    switch (lease.state) {
      case GRANTING, HELD -> keepOrRelease(lease, owner, nowMicros);
      case RELEASING -> awaitRelease(lease, nowMicros);
      case EXPIRING -> awaitExpiry(lease, owner, nowMicros);
      default -> throw new IllegalStateException("state of a lease: " + lease.state);
    }
  }

  private static boolean hasEnded(KeyRangeRuntime.Worker worker) {
    return worker != null && worker.surelyOver();
  }

  private void beginExpiry(KeyRangeLease lease, KeyRangeRuntime.Worker owner) {
    if (lease.openCalls == 0 && hasEnded(owner)) {
      // Another process registered at its address: nobody has these keys.
      lease.mayBeHeldUntil = 0;
    }
    writer.changeState(lease, KeyRangeState.EXPIRING, () -> {});
  }

  private void keepOrRelease(KeyRangeLease lease, KeyRangeRuntime.Worker owner, long nowMicros) {
    if (owner.inService()) {
      grants.renewIfDue(lease, nowMicros);
    } else if (lease.isIdle() && takeoverDelay.isOver(nowMicros)) {
      handover.release(lease);
    }
  }

  private void awaitRelease(KeyRangeLease lease, long nowMicros) {
    if (takeoverDelay.isOver(nowMicros)) {
      handover.askOwnerIfDue(lease, nowMicros);
    }
    if (lease.hasExpired(nowMicros)) {
      handover.assignToReceiver(lease, null);
    }
  }

  private void awaitExpiry(KeyRangeLease lease, KeyRangeRuntime.Worker owner, long nowMicros) {
    if (owner != null && owner.alive() && owner.inService()) {
      // Only its heartbeats were late.
      writer.changeState(lease, KeyRangeState.GRANTING, () -> grants.grant(lease));
      return;
    }
    boolean nobodyHasIt = lease.hasExpired(nowMicros) || (hasEnded(owner) && lease.openCalls == 0);
    if (nobodyHasIt && takeoverDelay.isOver(nowMicros)) {
      handover.assignToReceiver(lease, null);
    }
  }
}
