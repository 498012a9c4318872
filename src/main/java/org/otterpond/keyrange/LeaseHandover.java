package org.otterpond.keyrange;

/**
 * Takes ranges from their owners and hands them to others: a range gets another owner only after
 * the present one has answered a release, or once its lease has expired.
 */
final class LeaseHandover {
  private static final String PATH = "/-/release";
  private static final long TIMEOUT_MICROS = 5_000_000;
  private static final long RETRY_MICROS = 300_000;
  private static final int OK = 200;

  /** Time between the change of the table and the release, so that nodes have stopped sending. */
  private static final long NOTICE_MICROS = 40_000;

  private final KeyRangeRuntime runtime;
  private final KeyRangeLeases leases;
  private final LeaseWriter writer;
  private final LeaseGrants grants;
  private final Receivers receivers;

  /** Chooses the next owners of ranges and their fencing tokens. */
  record Receivers(WorkerLoads loads, FencingTokens fences) {}

  LeaseHandover(
      KeyRangeRuntime runtime,
      KeyRangeLeases leases,
      LeaseWriter writer,
      LeaseGrants grants,
      Receivers receivers) {
    this.runtime = runtime;
    this.leases = leases;
    this.writer = writer;
    this.grants = grants;
    this.receivers = receivers;
  }

  /** Takes a range from its owner: the nodes are notified first, then the owner is asked. */
  void release(KeyRangeLease lease) {
    lease.nextCallAt = runtime.now() + NOTICE_MICROS;
    writer.changeState(lease, KeyRangeState.RELEASING, () -> askOwnerAfterNotice(lease));
  }

  private void askOwnerAfterNotice(KeyRangeLease lease) {
    lease.nextCallAt = runtime.now() + NOTICE_MICROS;
    runtime.after(
        NOTICE_MICROS,
        () -> {
          boolean releasing = lease.state == KeyRangeState.RELEASING && lease.isIdle();
          if (releasing && leases.contains(lease) && !lease.mayHaveCallInFlight(runtime.now())) {
            askOwner(lease);
          }
        });
  }

  /** Asks the owner again to release a range, if that is due. */
  void askOwnerIfDue(KeyRangeLease lease, long nowMicros) {
    if (lease.isIdle() && nowMicros >= lease.nextCallAt && !lease.mayHaveCallInFlight(nowMicros)) {
      askOwner(lease);
    }
  }

  private void askOwner(KeyRangeLease lease) {
    if (!runtime.hasAuthority()) {
      return;
    }
    lease.openCalls++;
    lease.nextCallAt = Long.MAX_VALUE;
    runtime.call(
        lease.address,
        lease.owner,
        PATH,
        LeaseCallBody.release(lease, leases.lastKey(lease)),
        TIMEOUT_MICROS,
        answer -> {
          lease.openCalls--;
          if (leases.contains(lease)) {
            onAnswer(lease, answer);
          }
        });
  }

  private void onAnswer(KeyRangeLease lease, KeyRangeRuntime.Answer answer) {
    lease.nextCallAt = runtime.now() + RETRY_MICROS;
    boolean releasing = lease.state == KeyRangeState.RELEASING && !lease.writing;
    if (answer.status() == OK && releasing) {
      assignToReceiver(lease, answer.token());
    }
  }

  /**
   * Hands a range that nobody has to the worker with the most room.
   *
   * @param handoverToken the token of the previous owner, or null
   */
  void assignToReceiver(KeyRangeLease lease, String handoverToken) {
    KeyRangeRuntime.Worker receiver = receivers.loads().receiver(lease.service);
    if (receiver == null || !runtime.hasAuthority()) {
      return;
    }
    lease.assignTo(receiver, receivers.fences().next(), handoverToken, runtime.now());
    writer.changeState(lease, KeyRangeState.GRANTING, () -> grants.grant(lease));
  }
}
