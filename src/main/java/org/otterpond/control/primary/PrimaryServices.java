package org.otterpond.control.primary;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import org.otterpond.config.GatewayConfiguration;
import org.otterpond.config.Service;
import org.otterpond.control.configuration.ParsedConfiguration;
import org.otterpond.control.epoch.EpochReplica;
import org.otterpond.control.message.ClaimKeyRequest;
import org.otterpond.control.message.LendTokensRequest;
import org.otterpond.control.message.NodePoll;
import org.otterpond.control.message.NotPrimaryReply;
import org.otterpond.control.message.PrimaryReply;
import org.otterpond.control.message.PrimaryRequest;
import org.otterpond.control.message.ReadConfigurationRequest;
import org.otterpond.control.message.ReleaseKeyRequest;
import org.otterpond.control.message.StatusRequest;
import org.otterpond.control.message.UnknownOperationReply;
import org.otterpond.control.message.UnknownRequest;
import org.otterpond.control.message.WriteConfigurationRequest;
import org.otterpond.control.state.CoreMember;
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
  /** The sender of a request is not known here. */
  private static final String UNKNOWN_SENDER = "unknown";

  private final NodeRuntime runtime;
  private final EpochReplica replica;
  private final RequestDispatcher dispatcher = new RequestDispatcher();
  private final NodeLeaseTable leases;
  private final CommittedAssignments assignments;
  private final WorkerServices workers;
  private final PartitionServices partitions;
  private final ConfigurationChanges configuration;
  private final QuotaOwner quotaOwner;
  private final QuotaLending quotaLending;
  private final IdempotencyKeyLocks keyLocks;
  private final CoreMembership membership;
  private final KeyRangeManager keyRanges;
  private final PollResponder responder;
  private final PollHandler polls;

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
    final LeadershipConfirmation proof = replica::confirm;
    final ReplicaAdapter core = new ReplicaAdapter(replica);
    leases = new NodeLeaseTable(runtime);
    assignments = new CommittedAssignments(replica::propose, this::respondSoon);
    workers =
        new WorkerServices(runtime, replica, leases, settings.heartbeatMicros(), this::respondSoon);
    partitions =
        new PartitionServices(runtime, replica, assignments, leases, settings.faultTolerance());
    configuration = new ConfigurationChanges(runtime, replica, proof, new ConfigurationListener());
    quotaOwner = new QuotaOwner(settings.quota());
    quotaLending = new QuotaLending(runtime, core, quotaOwner);
    keyLocks = new IdempotencyKeyLocks(replica.hold(), replica::propose, proof, quotaLending);
    membership = new CoreMembership(runtime, core, settings.faultTolerance());
    keyRanges = createKeyRanges(dataPlane, settings);
    responder = createResponder();
    polls =
        new PollHandler(
            runtime,
            replica,
            self,
            responder,
            new PollHandler.Services(leases, workers, keyRanges));
    registerHandlers();
    registerStatus(proof, self);
  }

  private KeyRangeManager createKeyRanges(DataPlane dataPlane, ControlPlaneSettings settings) {
    return new KeyRangeManager(
        new PrimaryKeyRangeRuntime(runtime, dataPlane, replica, workers.registry(), assignments),
        settings.hold());
  }

  private PollResponder createResponder() {
    return new PollResponder(
        runtime,
        replica,
        leases,
        new PollResponder.Sources(workers.registry(), workers.table(), configuration, assignments));
  }

  private void registerHandlers() {
    dispatcher.register(ClaimKeyRequest.class, keyLocks::keyLock);
    dispatcher.register(ReleaseKeyRequest.class, keyLocks::release);
    dispatcher.register(LendTokensRequest.class, quotaLending::lend);
    dispatcher.register(WriteConfigurationRequest.class, configuration::write);
    dispatcher.register(ReadConfigurationRequest.class, configuration::read);
    workers.registerWith(dispatcher);
    partitions.registerWith(dispatcher);
    dispatcher.register(
        UnknownRequest.class,
        (request, reply) -> reply.accept(new UnknownOperationReply("unknown operation")));
  }

  private void registerStatus(LeadershipConfirmation proof, CoreMember self) {
    StatusReport report =
        new StatusReport(
            runtime,
            replica,
            self,
            leases,
            new StatusReport.Sources(workers.registry(), quotaOwner, keyRanges, assignments));
    dispatcher.register(
        StatusRequest.class,
        (request, reply) -> proof.confirm(proved -> reply.accept(report.create(proved))));
  }

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
    partitions.began();
    configuration.began(active);
    workers.began();
    keyRanges.began(assignments.current().withPrefix(KeyRange.PREFIX), continued);
    polls.began();
  }

  /** Stops the services, as this node is not the primary any more. */
  public void steppedDown() {
    keyLocks.steppedDown();
    workers.steppedDown();
    configuration.steppedDown();
    polls.steppedDown();
  }

  /** Does what is due; called regularly. */
  public void tick() {
    if (!replica.leading()) {
      return;
    }
    leases.expire(responder::respondIfDue);
    workers.tick();
    membership.tick(leases.joinCandidates());
    keyRanges.tick();
    partitions.tick();
    quotaLending.tick();
  }

  /** Handles an encoded poll; a malformed one is logged and dropped. */
  public void onPoll(String from, WireRecord encoded) {
    try {
      NodePoll poll = NodePoll.of(encoded);
      if (replica.leading()) {
        polls.handle(from, poll);
      } else {
        polls.redirect(from, poll);
      }
    } catch (ProtocolException e) {
      runtime.malformedMessage(from, e);
    }
  }

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
    if (polls.isOtherPrimaryKnown()) {
      reply.accept(new NotPrimaryReply(replica.known()));
    }
  }

  /** Returns a revision in its parsed form if it is the newest and parsed here, else null. */
  public ParsedConfiguration read(long revision) {
    return configuration.parsed(revision);
  }

  private void respondSoon() {
    responder.respondSoon();
  }

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
}
