package org.otterpond.control.agent;

import java.util.List;
import org.otterpond.control.primary.DataPlane;
import org.otterpond.control.state.EpochRecord;
import org.otterpond.control.state.WorkerInstance;
import org.otterpond.protocol.WireRecord;
import org.otterpond.runtime.NodeRuntime;

/**
 * The long poll of one node at the primary. The poll carries the versions that the node has and is
 * answered with what is newer; it is also the node's lease. From the answers this type knows how
 * fresh the configuration in use is and whether the node is out of touch. Used by the owner thread
 * only.
 */
final class UpdatePoller {
  /** The primary answers within 0.7 s; a poll without an answer for this long is lost. */
  private static final long POLL_TIMEOUT_MICROS = 1_300_000;

  /** Longer than a change of primary takes. */
  private static final long OUT_OF_TOUCH_MICROS = 1_700_000;

  private final NodeRuntime runtime;
  private final NodeIdentity identity;
  private final CoreLocator locator;
  private final DataPlane dataPlane;
  private final WorkerRoster roster;
  private final ActiveConfiguration configuration;
  private final UpdateApplier applier;
  private final MembershipListener listener;

  private long pollNumber;
  private String polledAddress;
  private long polledAt;
  private boolean waiting;
  private boolean connectionLost;
  private long lastAnswerAt;

  /** The epoch of the last answer: within it the primary has compared the worker tables. */
  private long answeredEpoch;

  private long configurationFreshAt = Long.MIN_VALUE / 2;

  /** Receives what an answer says about the core and the fleet, before the rest is applied. */
  interface MembershipListener {
    /** The record of the primary's epoch, and the fleet digest for this node or null. */
    void onMembership(EpochRecord record, FleetUpdate fleet);
  }

  /** Creates a poller that has not polled yet. */
  UpdatePoller(
      NodeRuntime runtime,
      CoreLocator locator,
      DataPlane dataPlane,
      UpdateApplier applier,
      MembershipListener listener) {
    this.runtime = runtime;
    this.identity = locator.identity();
    this.locator = locator;
    this.dataPlane = dataPlane;
    this.roster = applier.roster();
    this.configuration = applier.configuration();
    this.applier = applier;
    this.listener = listener;
    // An answer to a poll of an earlier incarnation must not pass for one to this incarnation's.
    this.pollNumber = identity.requestIdBase();
  }

  /** Looks for the core while it is unknown or silent, and polls if no poll is waiting. */
  void tick(long now) {
    boolean overdue = waiting && now - polledAt > POLL_TIMEOUT_MICROS;
    if (locator.known() == null || overdue || connectionLost) {
      locator.hello(now);
    }
    if (locator.known() != null && (!waiting || overdue)) {
      poll();
    }
  }

  /**
   * Polls the new primary at once: it has not received the poll that is waiting, or has lost it.
   */
  void onPrimaryChanged() {
    waiting = false;
    runtime.after(0, this::pollUnlessWaiting);
  }

  /** Looks for the core again if the poll was sent to this node. */
  void onConnectionLost(String address) {
    if (waiting && address.equals(polledAddress)) {
      waiting = false;
      connectionLost = true;
    }
  }

  /** Whether the primary has been silent for longer than a change of primary takes. */
  boolean outOfTouch() {
    return runtime.now() - lastAnswerAt > OUT_OF_TOUCH_MICROS;
  }

  /**
   * The newest moment, on this node's monotonic clock in microseconds, at which the configuration
   * in use is known to have been the newest acknowledged one.
   */
  long configurationFreshAt() {
    return configurationFreshAt;
  }

  private void pollUnlessWaiting() {
    if (!waiting) {
      poll();
    }
  }

  private void poll() {
    waiting = true;
    polledAt = runtime.now();
    polledAddress = locator.primaryAddress();
    runtime.send(polledAddress, pollMessage());
  }

  private WireRecord pollMessage() {
    WireRecord poll =
        new WireRecord("poll")
            .with("addr", identity.address())
            .with("name", identity.name())
            .with("zone", identity.zone())
            .with("disk", identity.diskId())
            .with("life", identity.incarnation())
            .with("epoch", applier.tableEpoch())
            .with("table", applier.tableVersion())
            .with("cfg", configuration.newestReceived())
            .with("pn", ++pollNumber)
            .with("changes", configuration.needsFullText() ? null : true)
            .with("as", applier.assignmentNumber())
            .with("store", identity.storeId())
            .with("figures", dataPlane.figures());
    if (answeredEpoch != locator.known().epoch()) {
      poll.with("sum", roster.checksum());
    }
    List<WireRecord> keyLoad = dataPlane.heat();
    if (!keyLoad.isEmpty()) {
      poll.withRecords("heat", keyLoad);
    }
    List<WorkerInstance> reports = roster.takeUnreported();
    if (!reports.isEmpty()) {
      long now = runtime.now();
      poll.withRecords("tell", reports.stream().map(worker -> worker.toWireRecord(now)).toList());
    }
    return poll;
  }

  /** Applies the primary's answer to the poll that is waiting; any other is ignored. */
  void onAnswer(String from, WireRecord answer) {
    if (!from.equals(locator.primaryAddress())
        || answer.number("epoch") < locator.known().epoch()
        || answer.number("pn") != pollNumber) {
      return;
    }
    waiting = false;
    connectionLost = false;
    lastAnswerAt = runtime.now();
    if (answer.has("record")) {
      WireRecord fleet = answer.nested("fleet");
      listener.onMembership(
          EpochRecord.of(answer.nested("record")), fleet == null ? null : FleetUpdate.of(fleet));
    }
    answeredEpoch = answer.number("epoch");
    applier.applyConfiguration(answer);
    if (configuration.current().revision() >= answer.number("rev")) {
      configurationFreshAt = Math.max(configurationFreshAt, polledAt - answer.number("back"));
    }
    applier.applyWorkers(answer);
    applier.applyAssignments(answer);
    pollUnlessWaiting();
  }
}
