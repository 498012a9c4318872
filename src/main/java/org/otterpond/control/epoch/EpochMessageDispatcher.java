package org.otterpond.control.epoch;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.otterpond.control.epoch.message.AcceptRequest;
import org.otterpond.control.epoch.message.AcceptResponse;
import org.otterpond.control.epoch.message.EpochMessage;
import org.otterpond.control.epoch.message.LeaveNotice;
import org.otterpond.control.epoch.message.Ping;
import org.otterpond.control.epoch.message.Pong;
import org.otterpond.control.epoch.message.PrepareRequest;
import org.otterpond.control.epoch.message.PrepareResponse;
import org.otterpond.control.epoch.message.RecordGossip;
import org.otterpond.control.epoch.message.RejectResponse;
import org.otterpond.control.epoch.message.ReplicateReject;
import org.otterpond.control.epoch.message.ReplicateRequest;
import org.otterpond.control.epoch.message.ReplicateResponse;
import org.otterpond.control.epoch.message.ResignNotice;
import org.otterpond.control.epoch.message.SnapshotChunkRequest;
import org.otterpond.control.epoch.message.SnapshotChunkResponse;
import org.otterpond.control.epoch.message.SnapshotInstalled;
import org.otterpond.control.epoch.message.SnapshotProgress;

/** Hands each message to the role that handles its type. */
final class EpochMessageDispatcher {
  private final Map<Class<? extends EpochMessage>, BiConsumer<String, EpochMessage>> handlers =
      new HashMap<>();

  EpochMessageDispatcher(
      EpochTransitions transitions, Witness witness, SnapshotInstaller installer) {
    on(PrepareRequest.class, witness::onPrepareRequest);
    on(AcceptRequest.class, witness::onAcceptRequest);
    on(Ping.class, witness::onPing);
    on(RecordGossip.class, (RecordGossip gossip) -> transitions.learn(gossip.record()));

    CandidateRole candidate = transitions.candidate();
    on(PrepareResponse.class, candidate::onPrepareResponse);
    on(RejectResponse.class, candidate::onRejectResponse);
    on(SnapshotChunkResponse.class, candidate::onChunkResponse);
    on(SnapshotInstalled.class, candidate::onSnapshotInstalled);
    on(AcceptResponse.class, candidate::onAcceptResponse);

    PrimaryRole primary = transitions.primary();
    on(ReplicateResponse.class, primary::onReplicateResponse);
    on(ReplicateReject.class, primary::onReplicateReject);
    on(Pong.class, primary::onPong);
    on(LeaveNotice.class, primary::onLeaveNotice);

    BackupRole backup = transitions.backup();
    on(ReplicateRequest.class, backup::onReplicateRequest);
    on(ResignNotice.class, backup::onResignNotice);
    on(SnapshotProgress.class, backup::onSnapshotProgress);
    on(SnapshotChunkRequest.class, installer::onChunk);
  }

  private <T extends EpochMessage> void on(Class<T> type, Consumer<T> handler) {
    on(type, (from, message) -> handler.accept(message));
  }

  private <T extends EpochMessage> void on(Class<T> type, BiConsumer<String, T> handler) {
    handlers.put(type, (from, message) -> handler.accept(from, type.cast(message)));
  }

  /** Runs the handler of the message's type. */
  void dispatch(String from, EpochMessage message) {
    handlers.get(message.getClass()).accept(from, message);
  }

  /** Whether messages of the type are handled. */
  boolean handles(Class<?> type) {
    return handlers.containsKey(type);
  }
}
