package org.otterpond.control.primary;

import java.util.Map;
import org.otterpond.control.epoch.EpochReplica;
import org.otterpond.control.message.NodePoll;
import org.otterpond.control.state.CoreMember;
import org.otterpond.control.state.EpochAnnouncement;
import org.otterpond.control.state.EpochRecord;
import org.otterpond.keyrange.KeyRangeManager;
import org.otterpond.runtime.NodeRuntime;

/**
 * Handles the polls of the nodes: renews their leases, takes what they report, and has them
 * answered.
 */
final class PollHandler {
  /** After this time the backups have confirmed the new epoch, which poll responses rest on. */
  private static final long EPOCH_CONFIRMED_MICROS = 10_000;

  private final NodeRuntime runtime;
  private final EpochReplica replica;
  private final CoreMember self;
  private final NodeLeaseTable leases;
  private final PollResponder responder;
  private final Services services;
  private final EarlyPolls earlyPolls;

  /**
   * The services that polls are passed to.
   *
   * @param leases the leases that polls renew
   * @param workers takes the workers
   * @param keyRanges takes the load by key
   */
  record Services(NodeLeaseTable leases, WorkerServices workers, KeyRangeManager keyRanges) {}

  PollHandler(
      NodeRuntime runtime,
      EpochReplica replica,
      CoreMember self,
      PollResponder responder,
      Services services) {
    this.runtime = runtime;
    this.replica = replica;
    this.self = self;
    this.leases = services.leases();
    this.responder = responder;
    this.services = services;
    this.earlyPolls = new EarlyPolls(runtime);
  }

  /**
   * Begins an epoch. Polls of the epoch before are not answered; their senders poll again in the
   * new one.
   */
  void began() {
    EpochAnnouncement announcement = new EpochAnnouncement(replica.record());
    leases.forEach((address, lease) -> runtime.send(address, announcement));
    leases.clear();
    Map<String, NodePoll> polls = earlyPolls.removeAll();
    runtime.after(EPOCH_CONFIRMED_MICROS, () -> polls.forEach(this::handleEarly));
  }

  private void handleEarly(String address, NodePoll poll) {
    if (leases.contains(address)) {
      return;
    }
    if (replica.leading()) {
      handle(address, poll);
    } else {
      redirect(address, poll);
    }
  }

  /** Redirects the nodes whose polls await a response, as this node is not the primary any more. */
  void steppedDown() {
    EpochAnnouncement announcement = new EpochAnnouncement(replica.known());
    leases.forEach(
        (address, lease) -> {
          if (lease.isResponsePending()) {
            runtime.send(address, announcement);
          }
        });
    leases.clear();
  }

  /** Handles a poll as the primary. */
  void handle(String from, NodePoll poll) {
    NodeLease lease = leases.renew(from, poll);
    poll.reports().keyLoads().forEach(services.keyRanges()::onLoadReport);
    services.workers().reports().report(poll.reports().workers());
    responder.noteKnownWorkers(lease);
    services.workers().drains().sendDue();
    responder.respondIfUpdated(from, lease);
  }

  /** Handles a poll while this node is not the primary. */
  void redirect(String from, NodePoll poll) {
    if (isOtherPrimaryKnown()) {
      runtime.send(from, new EpochAnnouncement(replica.known()));
    } else {
      // This node may be about to become the primary.
      earlyPolls.add(from, poll);
    }
  }

  /** Whether the newest epoch that this node knows has another primary. */
  boolean isOtherPrimaryKnown() {
    EpochRecord known = replica.known();
    return known != null && !known.primary().diskId().equals(self.diskId());
  }
}
