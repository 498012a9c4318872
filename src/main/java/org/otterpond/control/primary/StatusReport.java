package org.otterpond.control.primary;

import java.util.ArrayList;
import java.util.List;
import org.otterpond.control.epoch.EpochReplica;
import org.otterpond.control.message.NodeStatus;
import org.otterpond.control.message.PollingNode;
import org.otterpond.control.message.StatusReply;
import org.otterpond.control.message.WorkerReport;
import org.otterpond.control.state.CoreMember;
import org.otterpond.keyrange.KeyRangeManager;
import org.otterpond.runtime.NodeRuntime;

/** Collects the state of the fleet for operators. */
final class StatusReport {
  private static final long MICROS_PER_MILLI = 1000;

  private final NodeRuntime runtime;
  private final EpochReplica replica;
  private final CoreMember self;
  private final NodeLeaseTable leases;
  private final Sources sources;

  /**
   * Where the figures are taken from, besides the core and the leases.
   *
   * @param registry the workers
   * @param quotas the quotas
   * @param keyRanges the key ranges
   * @param assignments the message partitions
   */
  record Sources(
      WorkerRegistry registry,
      QuotaOwner quotas,
      KeyRangeManager keyRanges,
      CommittedAssignments assignments) {}

  StatusReport(
      NodeRuntime runtime,
      EpochReplica replica,
      CoreMember self,
      NodeLeaseTable leases,
      Sources sources) {
    this.runtime = runtime;
    this.replica = replica;
    this.self = self;
    this.leases = leases;
    this.sources = sources;
  }

  /**
   * Returns the report.
   *
   * @param confirmed whether it is proved that this node is the primary
   */
  StatusReply create(boolean confirmed) {
    return new StatusReply(
        confirmed,
        new StatusReply.Core(replica.record(), silentMembers()),
        new StatusReply.State(replica.committedRevision(), replica.hold().keyLockCount()),
        fleet(),
        new StatusReply.Resources(
            sources.quotas().status(runtime.now()),
            sources.keyRanges().status(),
            PartitionStatistics.of(sources.assignments().current())));
  }

  private List<String> silentMembers() {
    return replica.record().members().stream()
        .filter(member -> !member.diskId().equals(self.diskId()))
        .filter(member -> replica.silent(member, CoreMembership.DEAD_AFTER_MICROS))
        .map(CoreMember::name)
        .toList();
  }

  private StatusReply.Fleet fleet() {
    List<NodeStatus> nodes = new ArrayList<>();
    List<NodeStatus> stores = new ArrayList<>();
    leases.forEach(
        (address, lease) -> {
          boolean isStore = lease.poll().node().storesMessages();
          (isStore ? stores : nodes).add(nodeStatus(address, lease));
        });
    return new StatusReply.Fleet(
        nodes, stores, WorkerReport.of(sources.registry().newerThan(0), runtime.now()));
  }

  private NodeStatus nodeStatus(String address, NodeLease lease) {
    PollingNode node = lease.poll().node();
    long silentMicros = Math.max(0, runtime.now() - lease.polledAtMicros());
    return new NodeStatus(
        node.name(),
        address,
        node.zone(),
        lease.poll().known().configurationRevision(),
        silentMicros / MICROS_PER_MILLI,
        lease.poll().reports().messageStoreFigures());
  }
}
