package org.otterpond.control.agent;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.otterpond.control.epoch.EpochListener;
import org.otterpond.control.message.FetchOutcomeReply;
import org.otterpond.control.message.FetchOutcomeRequest;
import org.otterpond.control.message.FleetSummary;
import org.otterpond.control.message.MembershipUpdate;
import org.otterpond.control.message.NodeHello;
import org.otterpond.control.message.NodePoll;
import org.otterpond.control.message.NotPrimaryReply;
import org.otterpond.control.message.PollResponse;
import org.otterpond.control.message.PrimaryReply;
import org.otterpond.control.message.PrimaryRequest;
import org.otterpond.control.primary.ControlPlaneSettings;
import org.otterpond.control.primary.DataPlane;
import org.otterpond.control.state.EpochAnnouncement;
import org.otterpond.control.state.EpochRecord;
import org.otterpond.control.state.WorkerInstance;
import org.otterpond.protocol.Encodable;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;
import org.otterpond.runtime.NodeRuntime;

/**
 * The control plane of one node. It assembles the parts that find the core, poll the primary for
 * updates, forward heartbeats and requests and cache quota tokens; on a node with a disk for the
 * core's state it also runs a core member. All methods are called on the owner thread.
 */
public final class ControlPlaneAgent implements EpochListener {
  private static final long TICK_MICROS = 100_000;
  private static final long QUOTA_SWEEP_MICROS = 500_000;

  /** A fetch of an outcome is sent this many times within its time-out. */
  private static final int FETCH_ATTEMPTS = 3;

  private final NodeRuntime runtime;
  private final NodeIdentity identity;
  private final DataPlane dataPlane;
  private final LocalCore core;
  private final CoreLocator locator;
  private final WorkerRoster roster;
  private final ActiveConfiguration configuration;
  private final UpdatePoller poller;
  private final ForwardedRequests requests;
  private final HeartbeatForwarder heartbeats;
  private final QuotaCache quotaCache;
  private final Map<String, MessageHandler> messageHandlers;
  private long quotaSweptAt;

  /** Handles the messages of one kind. */
  private interface MessageHandler {
    void handle(String from, WireRecord encoded) throws ProtocolException;
  }

  /**
   * Assembles the control plane of one node; {@link #start()} sets it going.
   *
   * @param settings what the deployment demands of the control plane
   */
  public ControlPlaneAgent(
      NodeRuntime runtime,
      NodeIdentity identity,
      DataPlane dataPlane,
      ControlPlaneSettings settings) {
    this.runtime = runtime;
    this.identity = identity;
    this.dataPlane = dataPlane;
    this.core = new LocalCore(runtime, identity, dataPlane, settings, this);
    this.locator = new CoreLocator(runtime, identity, core.bootstrap(), core::bootstrapDisk);
    this.roster = new WorkerRoster(runtime, dataPlane::worker);
    this.configuration = new ActiveConfiguration(runtime, dataPlane::configured);
    this.poller =
        new UpdatePoller(
            runtime,
            locator,
            dataPlane,
            new UpdateApplier(runtime, dataPlane, roster, configuration, core::parsedConfiguration),
            this::onMembership);
    this.requests =
        new ForwardedRequests(runtime, locator::primaryAddress, identity.requestIdBase());
    this.heartbeats = new HeartbeatForwarder(runtime, roster, requests, poller::outOfTouch);
    this.quotaCache =
        new QuotaCache(
            runtime,
            requests,
            identity.incarnation(),
            settings.quota().tokenLeaseMicros() - ControlPlaneSettings.LENT_MARGIN);
    this.messageHandlers =
        Map.of(
            NodeHello.KIND, (from, encoded) -> locator.onHello(from, NodeHello.of(encoded)),
            EpochAnnouncement.KIND, this::onEpochAnnouncement,
            NodePoll.KIND, this::onPoll,
            PollResponse.KIND, (from, encoded) -> poller.onAnswer(from, PollResponse.of(encoded)),
            PrimaryRequest.KIND, this::onRequest,
            FetchOutcomeRequest.KIND, this::onFetch,
            PrimaryReply.KIND, this::onReply);
  }

  /** Replays the whole write-ahead log; call before {@link #start()}. */
  public void replay(List<WireRecord> journal) {
    journal.forEach(this::replay);
    replayed();
  }

  /** Replays one record of the write-ahead log; {@link #replayed()} follows the last. */
  public void replay(WireRecord record) {
    core.replay(record);
  }

  /** Ends the replay: the newest epoch record in the log is known from now on. */
  public void replayed() {
    EpochRecord accepted = core.acceptedRecord();
    if (accepted != null) {
      onRecordLearned(accepted);
    }
  }

  /** The records with which a new write-ahead log begins; only on a node with a core member. */
  public List<WireRecord> journalBase() {
    return core.journalBase();
  }

  /** Starts the periodic work. */
  public void start() {
    tick();
  }

  private void tick() {
    long now = runtime.now();
    EpochRecord first = core.tickBootstrap();
    if (first != null) {
      onEpochRecord(first);
    }
    core.tick();
    poller.tick(now);
    requests.resendOverdue(now);
    if (now - quotaSweptAt > QUOTA_SWEEP_MICROS) {
      quotaSweptAt = now;
      quotaCache.sweep();
    }
    roster.removeTombstones(now);
    runtime.after(TICK_MICROS, this::tick);
  }

  private void onEpochRecord(EpochRecord record) {
    core.learn(record);
    onRecordLearned(record);
  }

  @Override
  public void onRecordLearned(EpochRecord record) {
    if (locator.adopt(record)) {
      poller.onPrimaryChanged();
      requests.resendToPrimary();
      locator.announceToNeighbours();
    }
  }

  @Override
  public void began(EpochRecord record, boolean continued) {
    core.began(continued, configuration.current());
    onRecordLearned(record);
    locator.announceToContacts();
    requests.resendToPrimary();
  }

  @Override
  public void steppedDown() {
    core.steppedDown();
  }

  private void onMembership(MembershipUpdate update) {
    onEpochRecord(update.epochRecord());
    FleetSummary fleet = update.fleet();
    locator.setNeighbours(fleet.contacts());
    fleet.coreNodeZones().keySet().forEach(locator::addContact);
    heartbeats.setTargets(fleet.coreNodeZones());
    dataPlane.fleet(fleet.nodesByZone(), fleet.rank());
  }

  /**
   * The newest moment, on this node's monotonic clock in microseconds, at which the configuration
   * in use is known to have been the newest acknowledged one.
   */
  public long configurationConfirmedAt() {
    return poller.configurationFreshAt();
  }

  /**
   * The newest moment, on this node's monotonic clock in microseconds, from which on the primary
   * counts this node's lease; {@link ControlPlaneSettings#NODE_LEASE_MICROS} later the lease may
   * have ended.
   */
  public long leaseConfirmedAt() {
    return poller.leaseConfirmedAt();
  }

  /**
   * The node to which a worker should send its heartbeats: one with a disk, in the worker's zone if
   * there is any, and always the same one for one instance.
   *
   * @param zone the worker's zone
   * @param instance the worker's instance, or an empty string for a random choice
   * @return an address, or null if the worker should stay: this node has a disk itself, knows of no
   *     better node, or is out of touch
   */
  public String beacon(String zone, String instance) {
    return identity.diskId() == null ? heartbeats.target(zone, instance) : null;
  }

  /** The newest epoch record that this node knows, or null. */
  public EpochRecord known() {
    return locator.known();
  }

  /** The approximate length of the text of the configuration in use, in characters. */
  public int configurationSize() {
    return configuration.current().textLength();
  }

  /** The revision of the configuration in use, 0 before the first. */
  public long revision() {
    return configuration.current().revision();
  }

  /**
   * Takes a worker's heartbeat, or its notice that it drains or ends.
   *
   * @param acknowledged called once with whether it is acknowledged; if not, the worker should try
   *     another node
   */
  public void beat(WorkerInstance worker, Consumer<Boolean> acknowledged) {
    heartbeats.onHeartbeat(worker, acknowledged);
  }

  /** The newest state known of a worker instance, or null. */
  public WorkerInstance worker(String id) {
    return roster.get(id);
  }

  /**
   * Sends a request to the primary, also across changes of primary.
   *
   * @param timeoutMicros after this time the answer is null: nothing is known of the outcome
   * @param resendMicros the request is sent again after each such interval
   * @param answer called once with the reply or null
   */
  public void ask(
      Encodable request, long timeoutMicros, long resendMicros, Consumer<WireRecord> answer) {
    requests.toPrimary(request, timeoutMicros, resendMicros, answer);
  }

  /**
   * Asks the node that executes a request under an idempotency key for the outcome.
   *
   * @param holder the address of the node that holds the key's lock
   * @param token the lock's token
   * @param answer called once with the outcome, null if the node does not know or answer
   */
  public void fetchOutcome(
      String holder, String key, String token, long timeoutMicros, Consumer<WireRecord> answer) {
    requests.toNode(
        holder,
        new FetchOutcomeRequest(key, token),
        timeoutMicros,
        timeoutMicros / FETCH_ATTEMPTS + 1,
        reply -> answer.accept(reply == null ? null : outcomeIn(holder, reply)));
  }

  private WireRecord outcomeIn(String holder, WireRecord reply) {
    try {
      return FetchOutcomeReply.of(reply).outcome();
    } catch (ProtocolException e) {
      runtime.malformedMessage(holder, e);
      return null;
    }
  }

  /**
   * Sends a request to one node, a single time.
   *
   * @param answer called once with the reply, with {@code no} = {@code unsent} if the request
   *     certainly did not arrive, or with null if nothing is known of the outcome
   */
  public void requestNodeOnce(
      String node, Encodable request, long timeoutMicros, Consumer<WireRecord> answer) {
    requests.toNodeOnce(node, request, timeoutMicros, answer);
  }

  /** Sends a message that needs no reply to one node. */
  public void send(String node, Encodable message) {
    runtime.send(node, message);
  }

  /** This node's tokens of the tenants' quotas. */
  public QuotaCache stores() {
    return quotaCache;
  }

  /** The number that names this process among those of the same address. */
  public long incarnation() {
    return identity.incarnation();
  }

  /**
   * The connection to another node has failed; its process has probably ended.
   *
   * @param neverUp whether the connection never opened, so that nothing sent on it has arrived
   * @param connection the connection as {@link NodeRuntime#connection(String)} names it
   */
  public void peerLost(String address, boolean neverUp, long connection) {
    if (neverUp) {
      requests.connectionNeverOpened(address, connection);
    }
    peerLost(address, neverUp);
  }

  /** The connection to another node has failed, and it is unknown what was sent on it. */
  public void peerLost(String address, boolean neverUp) {
    if (!neverUp) {
      core.onConnectionClosed(address);
    }
    dataPlane.peerLost(address);
    if (!neverUp) {
      requests.connectionClosed(address);
    }
    poller.onConnectionLost(address);
  }

  /**
   * Whether the primary has been silent for longer than a change of primary takes: this node is
   * probably partitioned from the core.
   */
  public boolean outOfTouch() {
    return poller.outOfTouch();
  }

  /** Takes a message of another node, or of this node to itself; a malformed one is dropped. */
  public void onMessage(String from, WireRecord message) {
    MessageHandler handler = messageHandlers.get(message.kind());
    try {
      if (handler != null) {
        handler.handle(from, message);
      } else if (!core.onMessage(from, message)) {
        dataPlane.message(from, message, replyTo(from, message));
      }
    } catch (ProtocolException e) {
      runtime.malformedMessage(from, e);
    }
  }

  private Consumer<WireRecord> replyTo(String from, WireRecord request) {
    long requestId = request.number(PrimaryRequest.REQUEST_ID);
    return reply -> runtime.send(from, reply.with(PrimaryRequest.REQUEST_ID, requestId));
  }

  private void onEpochAnnouncement(String from, WireRecord encoded) throws ProtocolException {
    onEpochRecord(EpochAnnouncement.of(encoded).record());
  }

  private void onPoll(String from, WireRecord poll) {
    if (!core.onPoll(from, poll)) {
      locator.announceTo(from);
    }
  }

  private void onRequest(String from, WireRecord request) {
    core.onRequest(request, replyTo(from, request));
  }

  private void onFetch(String from, WireRecord encoded) throws ProtocolException {
    FetchOutcomeRequest request = FetchOutcomeRequest.of(encoded);
    WireRecord outcome = dataPlane.outcome(request.key(), request.token());
    runtime.send(from, new FetchOutcomeReply(encoded.number(PrimaryRequest.REQUEST_ID), outcome));
  }

  private void onReply(String from, WireRecord reply) throws ProtocolException {
    if (NotPrimaryReply.isIn(reply)) {
      onEpochRecord(NotPrimaryReply.of(reply).epochRecord());
    } else {
      requests.onReply(reply);
    }
  }

  /** Whether this node is the primary. */
  public boolean leading() {
    return core.isPrimary();
  }

  /** Hands over this node's roles in the core before a planned shutdown. */
  public void retire() {
    core.retire();
  }

  /** Whether the core still depends on this node's copy of the state, so it should keep running. */
  public boolean needed() {
    return core.isNeeded();
  }
}
