package org.otterpond.replication;

import java.util.List;
import java.util.OptionalLong;
import org.otterpond.protocol.WireRecord;

/**
 * A secondary in one version of the configuration: it prepares the primary's entries, acknowledges
 * its beacons, and proposes itself when no beacon came for the grace period (PacificA, section
 * "Leases and Failure Detection").
 */
final class SecondaryRole implements ReplicaRole {
  /**
   * Later secondaries wait longer by this part of the grace period, so that they do not compete.
   */
  private static final int STAGGER_DIVISOR = 4;

  private final LocalReplica replica;
  private final ConfigurationProposer proposer;

  /** The version whose primary's prepared list this one was reconciled with; 0 if none. */
  private long reconciledVersion;

  private long lastBeaconAtMicros;
  private boolean proposedItself;

  SecondaryRole(LocalReplica replica, ConfigurationProposer proposer, long reconciledVersion) {
    this.replica = replica;
    this.proposer = proposer;
    this.reconciledVersion = reconciledVersion;
    this.lastBeaconAtMicros = replica.now();
  }

  private boolean canPrepare() {
    return replica.isComplete() && !replica.hasDiskFailed();
  }

  private boolean isReconciled() {
    return replica.isInVersion(reconciledVersion);
  }

  /**
   * Handles a beacon of the primary.
   *
   * @param primary the sender, a member name
   * @param committedPoint the primary's committed point
   * @return whether the beacon is acknowledged
   */
  boolean onBeacon(String primary, long version, long committedPoint) {
    boolean fromPrimary =
        replica.isInVersion(version) && replica.configuration().primary().equals(primary);
    if (!fromPrimary || proposedItself || !canPrepare()) {
      return false;
    }
    lastBeaconAtMicros = replica.now();
    if (isReconciled()) {
      replica.preparedList().commit(committedPoint);
    }
    return true;
  }

  @Override
  public void tick(long nowMicros) {
    if (!replica.isComplete()) {
      return;
    }
    GroupConfiguration configuration = replica.configuration();
    long graceMicros = replica.timeouts().gracePeriodMicros();
    int position = configuration.secondaries().indexOf(replica.member());
    long patienceMicros = graceMicros + position * graceMicros / STAGGER_DIVISOR;
    if (nowMicros - lastBeaconAtMicros > patienceMicros) {
      proposedItself = true;
      proposer.propose(configuration.withPrimary(replica.member()));
    }
  }

  @Override
  public void onPrepare(PrepareMessage message) {
    if (replica.hasDiskFailed() || !replica.isInVersion(message.version()) || !isReconciled()) {
      return;
    }
    GroupConfiguration preparedIn = replica.configuration();
    PreparedEntries.insert(replica, message, () -> acknowledge(preparedIn));
  }

  @Override
  public void onReconcile(ReconcileMessage message) {
    if (proposedItself || !canPrepare()) {
      // An acknowledgement counts as one of a beacon: the primary would take it for a lease.
      return;
    }
    GroupConfiguration configuration = message.configuration();
    lastBeaconAtMicros = replica.now();
    if (isReconciled()) {
      acknowledge(configuration);
      return;
    }
    PreparedList preparedList = replica.preparedList();
    if (preparedList.lastSerial() < message.committedPoint()) {
      // The commit invariant excludes this; a missing entry must not be skipped.
      replica
          .runtime()
          .event(
              "event=group_gap group="
                  + replica.group()
                  + " last="
                  + preparedList.lastSerial()
                  + " point="
                  + message.committedPoint());
      return;
    }
    long kept = Math.max(message.committedPoint(), preparedList.committedPoint());
    preparedList.truncate(kept);
    reconciledVersion = configuration.version();
    replica.append(new GroupLogRecord.ListReconciled(replica.group(), reconciledVersion));
    insertAfter(kept, message);
  }

  private void insertAfter(long kept, ReconcileMessage message) {
    GroupConfiguration configuration = message.configuration();
    int known = (int) Math.min(kept - message.committedPoint(), message.entries().size());
    List<WireRecord> missing = message.entries().subList(known, message.entries().size());
    if (missing.isEmpty()) {
      acknowledge(configuration);
    }
    for (WireRecord entry : missing) {
      replica
          .preparedList()
          .insert(
              entry,
              configuration.version(),
              () -> acknowledge(configuration),
              replica::onWriteFailed);
    }
  }

  private void acknowledge(GroupConfiguration preparedIn) {
    if (!replica.isInVersion(preparedIn.version())) {
      return;
    }
    replica
        .runtime()
        .send(
            preparedIn.primary(),
            new PreparedMessage(
                replica.group(),
                preparedIn.version(),
                replica.member(),
                replica.preparedList().durableSerial(),
                OptionalLong.empty(),
                false));
  }

  @Override
  public String toString() {
    return "secondary reconciledVersion=" + reconciledVersion + " proposedItself=" + proposedItself;
  }
}
