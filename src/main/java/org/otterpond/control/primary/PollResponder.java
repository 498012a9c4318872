package org.otterpond.control.primary;

import java.util.List;
import java.util.Optional;
import org.otterpond.control.epoch.EpochReplica;
import org.otterpond.control.message.AssignmentUpdate;
import org.otterpond.control.message.ConfigurationChange;
import org.otterpond.control.message.ConfigurationUpdate;
import org.otterpond.control.message.KnownVersions;
import org.otterpond.control.message.MembershipUpdate;
import org.otterpond.control.message.NodePoll;
import org.otterpond.control.message.PollResponse;
import org.otterpond.control.message.PollResponseHeader;
import org.otterpond.control.message.WorkerReport;
import org.otterpond.control.message.WorkerTableUpdate;
import org.otterpond.runtime.NodeRuntime;

/**
 * Answers the polls of the nodes: at once if there are updates for the sender, otherwise when there
 * are some or after the longest polling time.
 */
final class PollResponder {
  /** A poll without updates is answered after this time. */
  private static final long LONGEST_POLL_MICROS = 700_000;

  /** Updates of this span go to the nodes together. */
  private static final long BATCH_MICROS = 5_000;

  /**
   * A response that rests on authority older than this is followed by another as soon as there is
   * newer authority.
   */
  private static final long DOUBTFUL_AUTHORITY_MICROS = 500_000;

  private final NodeRuntime runtime;
  private final EpochReplica replica;
  private final NodeLeaseTable leases;
  private final Sources sources;
  private final FleetDigests fleetDigests;
  private boolean scheduled;

  /**
   * Where updates are taken from.
   *
   * @param registry the workers
   * @param workerTable the workers as a compressed table
   * @param configuration the configuration changes
   * @param assignments the committed assignments
   */
  record Sources(
      WorkerRegistry registry,
      CompressedWorkerTable workerTable,
      ConfigurationChanges configuration,
      CommittedAssignments assignments) {}

  PollResponder(NodeRuntime runtime, EpochReplica replica, NodeLeaseTable leases, Sources sources) {
    this.runtime = runtime;
    this.replica = replica;
    this.leases = leases;
    this.sources = sources;
    this.fleetDigests = new FleetDigests(leases);
  }

  /** Takes the version of the worker table that a node has, as its newest poll says. */
  void noteKnownWorkers(NodeLease lease) {
    KnownVersions known = lease.poll().known();
    if (known.epoch() == replica.record().epoch()) {
      lease.workerTableVersion(known.workerTableVersion());
      return;
    }
    // Most nodes have the table that the new primary has: then nothing need be transferred.
    boolean equal = known.workerTableChecksum().orElse(0) == sources.registry().checksum();
    lease.workerTableVersion(equal ? sources.registry().version() : 0);
  }

  /** Answers soon all polls of nodes for which there are updates. */
  void respondSoon() {
    if (scheduled) {
      return;
    }
    scheduled = true;
    runtime.after(
        BATCH_MICROS,
        () -> {
          scheduled = false;
          if (replica.leading()) {
            leases.forEach(this::respondIfUpdated);
          }
        });
  }

  /** Answers a poll that waited for the longest time, or whose last answer was doubtful. */
  void respondIfDue(String address, NodeLease lease) {
    long now = runtime.now();
    boolean authorityImproved =
        lease.isAuthorityDoubtful()
            && now - replica.leadershipProvedAt() < DOUBTFUL_AUTHORITY_MICROS;
    if (lease.isResponsePending()
        && (authorityImproved || now - lease.polledAtMicros() > LONGEST_POLL_MICROS)) {
      respond(address, lease);
    }
  }

  /** Answers a poll if there are updates for the node. */
  void respondIfUpdated(String address, NodeLease lease) {
    if (lease.isResponsePending() && hasUpdates(lease)) {
      respond(address, lease);
    }
  }

  /** A change of the membership alone is no reason: it is sent with the next response. */
  private boolean hasUpdates(NodeLease lease) {
    return lease.isUnanswered()
        || lacksEpoch(lease)
        || lacksConfiguration(lease)
        || lacksWorkers(lease)
        || lacksAssignments(lease);
  }

  private boolean lacksEpoch(NodeLease lease) {
    return lease.poll().known().epoch() != replica.record().epoch();
  }

  private boolean lacksConfiguration(NodeLease lease) {
    return replica.committedRevision() > lease.poll().known().configurationRevision();
  }

  private boolean lacksWorkers(NodeLease lease) {
    return sources.registry().version() > lease.workerTableVersion();
  }

  private boolean lacksAssignments(NodeLease lease) {
    return sources.assignments().current().number() > lease.poll().known().assignmentNumber();
  }

  private void respond(String address, NodeLease lease) {
    long authorityAge = Math.max(0, lease.polledAtMicros() - replica.leadershipProvedAt());
    PollResponse response =
        new PollResponse(
            header(lease, authorityAge),
            membership(address, lease),
            lacksConfiguration(lease) ? Optional.of(configuration(lease)) : Optional.empty(),
            lacksWorkers(lease) ? Optional.of(workers(lease)) : Optional.empty(),
            lacksAssignments(lease) ? Optional.of(assignments(lease)) : Optional.empty());
    lease.responded(leases.membershipVersion(), authorityAge > DOUBTFUL_AUTHORITY_MICROS);
    runtime.send(address, response);
  }

  private PollResponseHeader header(NodeLease lease, long authorityAge) {
    return new PollResponseHeader(
        replica.record().epoch(),
        sources.registry().version(),
        lease.poll().pollNumber(),
        replica.committedRevision(),
        authorityAge);
  }

  private Optional<MembershipUpdate> membership(String address, NodeLease lease) {
    if (!lacksEpoch(lease) && !lease.lacksMembership(leases.membershipVersion())) {
      return Optional.empty();
    }
    return Optional.of(
        new MembershipUpdate(
            replica.record(), fleetDigests.summaryFor(address, lease.poll().node())));
  }

  private ConfigurationUpdate configuration(NodeLease lease) {
    NodePoll poll = lease.poll();
    byte[] text = replica.compressedConfiguration();
    long revision = replica.committedRevision();
    List<ConfigurationChange> changes =
        poll.acceptsChanges()
            ? sources
                .configuration()
                .changesBetween(poll.known().configurationRevision(), revision, text.length)
            : List.of();
    return changes.isEmpty()
        ? ConfigurationUpdate.complete(revision, text)
        : ConfigurationUpdate.incremental(revision, changes);
  }

  private WorkerTableUpdate workers(NodeLease lease) {
    long known = lease.workerTableVersion();
    if (known > 0) {
      return WorkerTableUpdate.incremental(
          WorkerReport.of(sources.registry().newerThan(known), runtime.now()));
    }
    boolean nodeHasWorkers = lease.poll().known().workerTableChecksum().orElse(0) != 0;
    return WorkerTableUpdate.complete(sources.workerTable().get(), nodeHasWorkers);
  }

  private AssignmentUpdate assignments(NodeLease lease) {
    return sources.assignments().updateSince(lease.poll().known().assignmentNumber());
  }
}
