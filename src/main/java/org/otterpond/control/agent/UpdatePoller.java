package org.otterpond.control.agent;

import java.util.OptionalLong;
import java.util.function.Consumer;
import org.otterpond.control.message.KnownVersions;
import org.otterpond.control.message.MembershipUpdate;
import org.otterpond.control.message.NodePoll;
import org.otterpond.control.message.PollReports;
import org.otterpond.control.message.PollResponse;
import org.otterpond.control.message.PollResponseHeader;
import org.otterpond.control.message.PollingNode;
import org.otterpond.control.message.WorkerReport;
import org.otterpond.control.primary.DataPlane;
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
  private final Consumer<MembershipUpdate> onMembership;

  private long pollNumber;
  private String polledAddress;
  private long polledAt;
  private boolean waiting;
  private boolean connectionLost;
  private long lastAnswerAt;

  /** The epoch of the last answer: within it the primary has compared the worker tables. */
  private long answeredEpoch;

  private long configurationFreshAt = Long.MIN_VALUE / 2;
  private long leaseConfirmedAt = Long.MIN_VALUE / 2;

  /**
   * Creates a poller that has not polled yet.
   *
   * @param onMembership called with the epoch and the fleet in an answer, before the rest of the
   *     answer is applied
   */
  UpdatePoller(
      NodeRuntime runtime,
      CoreLocator locator,
      DataPlane dataPlane,
      UpdateApplier applier,
      Consumer<MembershipUpdate> onMembership) {
    this.runtime = runtime;
    this.identity = locator.identity();
    this.locator = locator;
    this.dataPlane = dataPlane;
    this.roster = applier.roster();
    this.configuration = applier.configuration();
    this.applier = applier;
    this.onMembership = onMembership;
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

  /** The newest moment from which on the primary counts this node's lease. */
  long leaseConfirmedAt() {
    return leaseConfirmedAt;
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

  private NodePoll pollMessage() {
    PollingNode node =
        new PollingNode(
            identity.address(),
            identity.name(),
            identity.zone(),
            identity.diskId(),
            identity.incarnation(),
            identity.storeId());
    return new NodePoll(
        node, knownVersions(), ++pollNumber, !configuration.needsFullText(), reports());
  }

  private KnownVersions knownVersions() {
    boolean compareTables = answeredEpoch != locator.known().epoch();
    return new KnownVersions(
        applier.tableEpoch(),
        applier.tableVersion(),
        configuration.newestReceived(),
        applier.assignmentNumber(),
        compareTables ? OptionalLong.of(roster.checksum()) : OptionalLong.empty());
  }

  private PollReports reports() {
    return new PollReports(
        dataPlane.figures(),
        dataPlane.takeKeyLoads(),
        WorkerReport.of(roster.takeUnreported(), runtime.now()));
  }

  /** Applies the primary's answer to the poll that is waiting; any other is ignored. */
  void onAnswer(String from, PollResponse answer) {
    PollResponseHeader header = answer.header();
    if (!from.equals(locator.primaryAddress())
        || header.epoch() < locator.known().epoch()
        || header.pollNumber() != pollNumber) {
      return;
    }
    waiting = false;
    connectionLost = false;
    lastAnswerAt = runtime.now();
    answer.membership().ifPresent(onMembership);
    answeredEpoch = header.epoch();
    answer.configuration().ifPresent(applier::applyConfiguration);
    long confirmedAt = polledAt - header.authorityAgeMicros();
    leaseConfirmedAt = Math.max(leaseConfirmedAt, confirmedAt);
    if (configuration.current().revision() >= header.committedRevision()) {
      configurationFreshAt = Math.max(configurationFreshAt, confirmedAt);
    }
    applier.applyWorkers(answer);
    answer.assignments().ifPresent(applier::applyAssignments);
    pollUnlessWaiting();
  }
}
