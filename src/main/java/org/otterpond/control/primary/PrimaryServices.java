package org.otterpond.control.primary;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.otterpond.config.GatewayConfiguration;
import org.otterpond.config.Service;
import org.otterpond.control.epoch.EpochReplica;
import org.otterpond.control.message.CandidateFailedRequest;
import org.otterpond.control.message.ClaimKeyRequest;
import org.otterpond.control.message.HeartbeatBatchRequest;
import org.otterpond.control.message.LendTokensRequest;
import org.otterpond.control.message.NodePoll;
import org.otterpond.control.message.NotPrimaryReply;
import org.otterpond.control.message.PrimaryReply;
import org.otterpond.control.message.PrimaryRequest;
import org.otterpond.control.message.ReadConfigurationRequest;
import org.otterpond.control.message.ReconfigureGroupRequest;
import org.otterpond.control.message.ReleaseKeyRequest;
import org.otterpond.control.message.RetireNodeRequest;
import org.otterpond.control.message.RetirementStatusRequest;
import org.otterpond.control.message.StatusRequest;
import org.otterpond.control.message.UnknownOperationReply;
import org.otterpond.control.message.UnknownRequest;
import org.otterpond.control.message.WorkerStateRequest;
import org.otterpond.control.message.WriteConfigurationRequest;
import org.otterpond.control.state.Assignments;
import org.otterpond.control.state.CoreMember;
import org.otterpond.control.state.EpochAnnouncement;
import org.otterpond.control.state.EpochRecord;
import org.otterpond.control.state.ParsedConfiguration;
import org.otterpond.control.state.WorkerInstance;
import org.otterpond.keyrange.KeyRange;
import org.otterpond.keyrange.KeyRangeManager;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;
import org.otterpond.runtime.NodeRuntime;

/**
 * The services of the core's primary, on each node with a core disk: assembles them, starts and
 * stops them with the epochs, and passes polls and requests to them. While this node is not the
 * primary, senders are redirected to the node that is.
 */
public final class PrimaryServices {
  /** After this time the backups have confirmed the new epoch, which poll responses rest on. */
  private static final long EPOCH_CONFIRMED_MICROS = 10_000;

  /** What is not known of the sender of a request. */
  private static final String UNKNOWN_SENDER = "unknown";

  private final NodeRuntime runtime;
  private final EpochReplica replica;
  private final CoreMember self;
  private final LeadershipProof proof;
  private final RequestDispatcher dispatcher = new RequestDispatcher();

  private final NodeLeaseTable leases;
  private final EarlyPolls earlyPolls;
  private final PollResponder responder;
  private final WorkerRegistry registry;
  private final CompressedWorkerTable workerTable;
  private final WorkerReportHandler workerReports;
  private final DrainAcknowledgements drains;
  private final ConfigurationChanges configuration;
  private final QuotaOwner quotaOwner;
  private final QuotaLending quotaLending;
  private final IdempotencyKeyLocks keyLocks;
  private final CommittedAssignments assignments;
  private final ReplicaPlacement placement;
  private final NodeRetirement retirement;
  private final GroupReconfiguration reconfiguration;
  private final CoreMembership membership;
  private final KeyRangeManager keyRanges;
  private final StatusReport statusReport;

  /**
   * Creates the services; they are idle until an epoch of this node begins.
   *
   * @param runtime the node's runtime
   * @param replica the node's replica of the core's state
   * @param self the node as a member of the core
   * @param dataPlane the node's data plane, which calls workers
   * @param settings settings of the control plane
   */
  public PrimaryServices(
      NodeRuntime runtime,
      EpochReplica replica,
      CoreMember self,
      DataPlane dataPlane,
      ControlPlaneSettings settings) {
    this.runtime = runtime;
    this.replica = replica;
    this.self = self;
    this.proof = replica::confirm;
    leases = new NodeLeaseTable(runtime);
    earlyPolls = new EarlyPolls(runtime);
    registry = new WorkerRegistry(settings.heartbeatMicros());
    workerTable = new CompressedWorkerTable(runtime, registry);
    drains = new DrainAcknowledgements(runtime, leases::smallestWorkerTableVersion);
    workerReports = new WorkerReportHandler(runtime, registry, drains, new WorkerReportCore());
    configuration = new ConfigurationChanges(runtime, replica, proof, new ConfigurationListener());
    quotaOwner = new QuotaOwner(settings.quota());
    quotaLending = new QuotaLending(runtime, new LendingAuthority(), quotaOwner);
    keyLocks = new IdempotencyKeyLocks(replica.hold(), replica::propose, proof, quotaLending);
    assignments = new CommittedAssignments(replica::propose, this::respondSoon);
    AvoidedMembers avoided = new AvoidedMembers();
    PrimaryAssignments assignmentState = new PrimaryAssignments();
    placement =
        new ReplicaPlacement(
            runtime,
            settings.losses().machines(),
            settings.losses().zones(),
            assignmentState,
            avoided);
    retirement = new NodeRetirement(runtime, assignmentState, proof, placement.replicas());
    reconfiguration =
        new GroupReconfiguration(runtime, assignmentState, proof, avoided, placement::stepSoon);
    membership = new CoreMembership(runtime, new MembershipCore(), settings.losses());
    keyRanges =
        new KeyRangeManager(
            new PrimaryKeyRangeRuntime(runtime, dataPlane, replica, registry, assignments),
            settings.hold());
    responder =
        new PollResponder(
            runtime,
            replica,
            leases,
            new PollResponder.Sources(registry, workerTable, configuration, assignments));
    statusReport =
        new StatusReport(
            runtime,
            replica,
            self,
            leases,
            new StatusReport.Sources(registry, quotaOwner, keyRanges, assignments));
    registerHandlers();
  }

  private void registerHandlers() {
    dispatcher.register(ClaimKeyRequest.class, keyLocks::claim);
    dispatcher.register(ReleaseKeyRequest.class, keyLocks::release);
    dispatcher.register(LendTokensRequest.class, quotaLending::lend);
    dispatcher.register(WorkerStateRequest.class, workerReports::workerState);
    dispatcher.register(HeartbeatBatchRequest.class, workerReports::heartbeats);
    dispatcher.register(ReconfigureGroupRequest.class, reconfiguration::reconfigure);
    dispatcher.register(CandidateFailedRequest.class, reconfiguration::candidateFailed);
    dispatcher.register(
        RetireNodeRequest.class,
        (request, reply) -> retirement.retire(request, leases.storageNodes(), reply));
    dispatcher.register(RetirementStatusRequest.class, retirement::status);
    dispatcher.register(WriteConfigurationRequest.class, configuration::write);
    dispatcher.register(ReadConfigurationRequest.class, configuration::read);
    dispatcher.register(
        StatusRequest.class,
        (request, reply) -> proof.confirm(proved -> reply.accept(statusReport.create(proved))));
    dispatcher.register(
        UnknownRequest.class,
        (request, reply) -> reply.accept(new UnknownOperationReply("unknown operation")));
  }

  // ---------------------------------------------------------------- epochs

  /**
   * Starts the services in an epoch whose primary is this node.
   *
   * @param continued whether this node was the primary of the epoch before, too
   * @param active the configuration in force on this node
   */
  public void began(boolean continued, ParsedConfiguration active) {
    if (!continued) {
      quotaLending.beginTerm(replica.record().epoch());
    }
    assignments.reset(replica.hold().assignments());
    placement.began();
    configuration.began(active);
    loadWorkers();
    keyRanges.began(assignments.current().under(KeyRange.PREFIX), continued);
    endFormerLeases();
    drains.began();
    handleEarlyPolls();
  }

  private void loadWorkers() {
    long now = runtime.now();
    registry.reset(now);
    workerTable.reset();
    replica
        .hold()
        .workers()
        .forEach(worker -> registry.update(WorkerInstance.of(worker, now), now));
  }

  /** Polls of the epoch before are not answered; their senders poll again in the new one. */
  private void endFormerLeases() {
    EpochAnnouncement announcement = new EpochAnnouncement(replica.record());
    leases.forEach((address, lease) -> runtime.send(address, announcement));
    leases.clear();
  }

  private void handleEarlyPolls() {
    Map<String, NodePoll> polls = earlyPolls.removeAll();
    runtime.after(
        EPOCH_CONFIRMED_MICROS,
        () ->
            polls.forEach(
                (address, poll) -> {
                  if (!leases.contains(address)) {
                    handlePoll(address, poll);
                  }
                }));
  }

  /** Stops the services, as this node is not the primary any more. */
  public void steppedDown() {
    keyLocks.steppedDown();
    drains.clear();
    configuration.steppedDown();
    EpochAnnouncement announcement = new EpochAnnouncement(replica.known());
    leases.forEach(
        (address, lease) -> {
          if (lease.isResponsePending()) {
            runtime.send(address, announcement);
          }
        });
    leases.clear();
  }

  /** Does what is due; called regularly. */
  public void tick() {
    if (!replica.leading()) {
      return;
    }
    leases.expire(responder::respondIfDue);
    workerReports.expire();
    drains.sendDue();
    membership.tick(leases.joinCandidates());
    keyRanges.tick();
    placement.tick(leases.storageNodes());
    quotaLending.tick();
  }

  // ----------------------------------------------------------------- polls

  /** Handles an encoded poll; a malformed one is logged and dropped. */
  public void onPoll(String from, WireRecord encoded) {
    try {
      handlePoll(from, NodePoll.of(encoded));
    } catch (ProtocolException e) {
      runtime.malformedMessage(from, e);
    }
  }

  private void handlePoll(String from, NodePoll poll) {
    if (!replica.leading()) {
      redirectPoll(from, poll);
      return;
    }
    NodeLease lease = leases.renew(from, poll);
    poll.reports().keyLoads().forEach(keyRanges::reported);
    workerReports.report(poll.reports().workers());
    responder.noteKnownWorkers(lease);
    drains.sendDue();
    responder.respondIfUpdated(from, lease);
  }

  private void redirectPoll(String from, NodePoll poll) {
    if (isOtherPrimaryKnown()) {
      runtime.send(from, new EpochAnnouncement(replica.known()));
    } else {
      // This node may be about to become the primary.
      earlyPolls.add(from, poll);
    }
  }

  private boolean isOtherPrimaryKnown() {
    EpochRecord known = replica.known();
    return known != null && !known.primary().diskId().equals(self.diskId());
  }

  private void respondSoon() {
    responder.respondSoon();
  }

  // -------------------------------------------------------------- requests

  /**
   * Handles an encoded request; a malformed one is logged and dropped.
   *
   * @param reply gets the reply at once, later, or never if this node ceases to be the primary
   */
  public void serve(WireRecord encoded, Consumer<WireRecord> reply) {
    Consumer<PrimaryReply> typedReply = message -> reply.accept(message.toWireRecord());
    if (!replica.leading()) {
      redirectRequest(typedReply);
      return;
    }
    try {
      dispatcher.dispatch(PrimaryRequest.of(encoded), typedReply);
    } catch (ProtocolException e) {
      runtime.malformedMessage(UNKNOWN_SENDER, e);
    }
  }

  /** While the epoch is changing there is no reply, and the sender repeats the request. */
  private void redirectRequest(Consumer<PrimaryReply> reply) {
    if (isOtherPrimaryKnown()) {
      reply.accept(new NotPrimaryReply(replica.known()));
    }
  }

  /** Returns a revision in its parsed form if it is the newest and parsed here, else null. */
  public ParsedConfiguration read(long revision) {
    return configuration.parsed(revision);
  }

  // --------------------------------------------- what the services are given

  /** Enforces configurations. */
  private final class ConfigurationListener implements ConfigurationChanges.Listener {
    @Override
    public void inForce(GatewayConfiguration active) {
      quotaOwner.configure(active, runtime.now());
      Set<String> partitionedServices = new HashSet<>();
      for (Service service : active.services().values()) {
        if (service.partitioned()) {
          partitionedServices.add(service.name());
        }
      }
      keyRanges.configured(partitionedServices);
    }

    @Override
    public void committed() {
      respondSoon();
    }
  }

  /** The core as the handler of worker reports sees it. */
  private final class WorkerReportCore implements WorkerReportHandler.Core {
    @Override
    public StateWriter writer() {
      return replica::propose;
    }

    @Override
    public LeadershipProof proof() {
      return proof;
    }

    @Override
    public LeadershipProof laterProof() {
      return replica::confirmLater;
    }

    @Override
    public void workersChanged() {
      respondSoon();
    }
  }

  /** The authority to lend tokens. */
  private final class LendingAuthority implements QuotaLending.Authority {
    @Override
    public boolean mayLend() {
      return replica.mayGive();
    }

    @Override
    public long lendingFromMicros() {
      return replica.givingFrom();
    }
  }

  /** The assignments of the replicated state. */
  private final class PrimaryAssignments implements AssignmentState {
    @Override
    public Assignments replicated() {
      return replica.hold().assignments();
    }

    @Override
    public Assignments committed() {
      return assignments.current();
    }

    @Override
    public AssignmentWriter writer() {
      return assignments;
    }
  }

  /** The core as the membership service sees it. */
  private final class MembershipCore implements CoreMembership.Core {
    @Override
    public EpochRecord record() {
      return replica.record();
    }

    @Override
    public boolean isSilent(CoreMember member, long micros) {
      return replica.silent(member, micros);
    }

    @Override
    public boolean isLeaving(CoreMember member) {
      return replica.leaving(member);
    }

    @Override
    public void changeMembers(List<CoreMember> members) {
      replica.changeMembers(members);
    }
  }
}
