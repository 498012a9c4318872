package org.otterpond.control.epoch;

import org.otterpond.control.epoch.message.RejectResponse;
import org.otterpond.control.epoch.message.SnapshotChunkRequest;
import org.otterpond.control.epoch.message.SnapshotChunkResponse;
import org.otterpond.control.epoch.message.SnapshotInstalled;
import org.otterpond.control.epoch.message.SnapshotRecord;
import org.otterpond.protocol.CompressedPayload;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * Takes the snapshot of a candidate that has chosen this member as a backup. The state is replaced
 * when all of the snapshot is there, and that is answered when it is durable.
 */
final class SnapshotInstaller {
  private final EpochContext context;
  private final EpochTransitions transitions;
  private final DurableVoteState votes;

  /** The snapshot being received, or null. */
  private SnapshotReceiver receiver;

  /** The number of the snapshot that was installed last. */
  private long installedSnapshot;

  SnapshotInstaller(EpochContext context, EpochTransitions transitions) {
    this.context = context;
    this.transitions = transitions;
    this.votes = transitions.votes();
  }

  void onChunk(SnapshotChunkRequest request) {
    if (!context.self().diskId().equals(request.targetDiskId())) {
      return;
    }
    if (request.epoch() < votes.promisedEpoch()) {
      context.send(
          request.replyAddress(),
          new RejectResponse(votes.promisedEpoch(), votes.acceptedRecord()));
      return;
    }
    votes.raisePromise(request.epoch());
    transitions.yieldTo("took_snapshot");
    transitions.timer().candidateActive();
    long snapshotNumber = request.chunk().snapshotNumber();
    if (snapshotNumber == installedSnapshot) {
      // The response was lost. This write follows that of the state.
      votes.writePromise(() -> respondInstalled(request));
      return;
    }
    receive(request, snapshotNumber);
  }

  private void receive(SnapshotChunkRequest request, long snapshotNumber) {
    if (receiver == null || !receiver.isFor(snapshotNumber)) {
      receiver = new SnapshotReceiver(snapshotNumber);
    }
    int received = receiver.receive(request.chunk());
    context.send(
        request.replyAddress(),
        new SnapshotChunkResponse(
            request.epoch(), context.self().diskId(), snapshotNumber, received));
    if (receiver.isComplete()) {
      byte[] packedState = receiver.packedState();
      receiver = null;
      install(request, packedState);
    }
  }

  private void install(SnapshotChunkRequest request, byte[] packedState) {
    WireRecord state;
    try {
      state = CompressedPayload.decompress(packedState);
    } catch (ProtocolException e) {
      // The state in force stays; the candidate gets no response and goes on without this member.
      context
          .runtime()
          .event("event=snapshot_unreadable epoch=" + request.epoch() + " cause=" + e.getMessage());
      return;
    }
    transitions.formerPrimaries().update(request.formerAuthority());
    context.state().load(state, context.now());
    transitions.configuration().update(context.state());
    installedSnapshot = request.chunk().snapshotNumber();
    votes.writePromise();
    transitions.log().append(new SnapshotRecord(packedState), () -> respondInstalled(request));
  }

  private void respondInstalled(SnapshotChunkRequest request) {
    context.send(
        request.replyAddress(), new SnapshotInstalled(request.epoch(), context.self().diskId()));
  }
}
