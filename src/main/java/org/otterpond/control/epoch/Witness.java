package org.otterpond.control.epoch;

import java.util.OptionalLong;
import org.otterpond.control.epoch.message.AcceptRequest;
import org.otterpond.control.epoch.message.AcceptResponse;
import org.otterpond.control.epoch.message.MemberStatus;
import org.otterpond.control.epoch.message.Ping;
import org.otterpond.control.epoch.message.Pong;
import org.otterpond.control.epoch.message.PrepareRequest;
import org.otterpond.control.epoch.message.PrepareResponse;
import org.otterpond.control.epoch.message.RejectResponse;
import org.otterpond.control.state.EpochRecord;

/** What every member does: promises epochs, accepts records and answers pings. */
final class Witness {
  private final EpochContext context;
  private final EpochTransitions transitions;
  private final DurableVoteState votes;

  Witness(EpochContext context, EpochTransitions transitions) {
    this.context = context;
    this.transitions = transitions;
    this.votes = transitions.votes();
  }

  void onPrepareRequest(PrepareRequest request) {
    if (!isMeant(request.targetDiskId()) || !isOfThisFleet(request.fleetId())) {
      return;
    }
    long epoch = request.epoch();
    boolean baseIsCurrent = votes.acceptedEpoch() <= request.baseEpoch();
    if (votes.hasGranted(epoch) && baseIsCurrent) {
      // Asked again: the first response may still wait for the disk; this one follows it.
      respondPromised(request);
      return;
    }
    if (epoch <= votes.promisedEpoch() || !baseIsCurrent) {
      reject(request.replyAddress());
      return;
    }
    votes.grant(epoch);
    transitions.yieldTo("promised_higher");
    transitions.timer().promised();
    respondPromised(request);
  }

  private boolean isMeant(String diskId) {
    return context.self().diskId().equals(diskId);
  }

  private boolean isOfThisFleet(String fleetId) {
    EpochRecord accepted = votes.acceptedRecord();
    return accepted == null || accepted.fleet().equals(fleetId);
  }

  private void respondPromised(PrepareRequest request) {
    votes.writePromise(
        () ->
            context.send(
                request.replyAddress(),
                new PrepareResponse(
                    request.epoch(),
                    context.self().diskId(),
                    transitions.leave().isLeaving(),
                    votes.acceptedRecord())));
  }

  private void reject(String address) {
    context.send(address, new RejectResponse(votes.promisedEpoch(), votes.acceptedRecord()));
  }

  void onAcceptRequest(AcceptRequest request) {
    EpochRecord record = request.record();
    if (!isMeant(request.targetDiskId()) || !isOfThisFleet(record.fleet())) {
      return;
    }
    if (record.epoch() < votes.promisedEpoch()) {
      reject(request.replyAddress());
      return;
    }
    Runnable respond =
        () ->
            context.send(
                request.replyAddress(),
                new AcceptResponse(record.epoch(), context.self().diskId()));
    if (votes.acceptedRecord() != null && votes.acceptedEpoch() == record.epoch()) {
      transitions.dropCandidacy();
      votes.writePromise(respond);
    } else {
      transitions.yieldTo("accepted_newer");
      transitions.acceptRecordOfOther(record, respond);
      transitions.learn(record);
    }
  }

  void onPing(String from, Ping ping) {
    EpochRecord accepted = votes.acceptedRecord();
    if (accepted == null) {
      context.send(from, Pong.withoutRecord(context.self().diskId()));
      return;
    }
    if (!isOfThisFleet(ping.fleetId())) {
      return;
    }
    boolean follows = votes.follows(ping.epoch());
    if (ping.epoch() == accepted.epoch()) {
      // Only a primary whose epoch has begun pings in its name.
      votes.markBegun(ping.epoch());
      transitions.timer().heardPrimary();
    }
    if (follows) {
      transitions.formerPrimaries().followed();
      transitions.backup().onPingOfFollowedEpoch(from, ping.epoch());
    }
    context.send(from, pong(ping, accepted, follows));
  }

  private Pong pong(Ping ping, EpochRecord accepted, boolean follows) {
    MemberStatus status =
        new MemberStatus(
            context.self().diskId(), transitions.log().isFailed(), transitions.leave().isLeaving());
    return new Pong(
        follows ? OptionalLong.of(ping.sentAtMicros()) : OptionalLong.empty(),
        status,
        accepted.epoch(),
        OptionalLong.of(votes.promisedEpoch()),
        accepted.epoch() > ping.epoch() ? accepted : null);
  }
}
