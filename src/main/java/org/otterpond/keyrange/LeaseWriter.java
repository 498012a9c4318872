package org.otterpond.keyrange;

/** Writes leases to the replicated table of the core. */
final class LeaseWriter {
  private final KeyRangeRuntime runtime;
  private final KeyRangeLeases leases;

  LeaseWriter(KeyRangeRuntime runtime, KeyRangeLeases leases) {
    this.runtime = runtime;
    this.leases = leases;
  }

  /**
   * Writes a lease.
   *
   * @param then run once it is durable, unless the lease was replaced meanwhile
   */
  void write(KeyRangeLease lease, Runnable then) {
    lease.writing = true;
    runtime.assign(
        lease.toKeyRange(),
        () -> {
          lease.writing = false;
          if (leases.contains(lease)) {
            then.run();
          }
        });
  }

  /** Changes the state of a lease and writes it. */
  void changeState(KeyRangeLease lease, KeyRangeState state, Runnable then) {
    lease.state = state;
    write(lease, then);
  }
}
