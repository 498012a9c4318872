package org.otterpond.replication;

/**
 * The role of a replica that left a group which is not fully replicated. It keeps its copy, which
 * holds everything that was acknowledged, and offers to lead: the configuration manager takes the
 * offer only once the disks of all members are lost.
 */
final class RetainedCopyRole implements ReplicaRole {
  private static final long OFFER_INTERVAL_MICROS = 1_000_000;

  private final LocalReplica replica;
  private final ConfigurationProposer proposer;
  private long offeredAtMicros;

  RetainedCopyRole(LocalReplica replica, ConfigurationProposer proposer) {
    this.replica = replica;
    this.proposer = proposer;
    this.offeredAtMicros = replica.now();
  }

  @Override
  public void tick(long nowMicros) {
    boolean due = nowMicros - offeredAtMicros >= OFFER_INTERVAL_MICROS;
    if (due && replica.isComplete() && !replica.hasDiskFailed()) {
      offeredAtMicros = nowMicros;
      proposer.propose(replica.configuration().withPrimaryAlone(replica.member()));
    }
  }

  @Override
  public String toString() {
    return "retained-copy";
  }
}
