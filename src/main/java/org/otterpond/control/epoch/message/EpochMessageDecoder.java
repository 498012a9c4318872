package org.otterpond.control.epoch.message;

import java.util.Map;
import java.util.Optional;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/** Reads the messages of the family by their encoded kind. */
public final class EpochMessageDecoder {
  private interface Reader {
    EpochMessage read(WireRecord encoded) throws ProtocolException;
  }

  private static final Map<String, Reader> READERS =
      Map.ofEntries(
          Map.entry(AcceptRequest.KIND, AcceptRequest::of),
          Map.entry(AcceptResponse.KIND, AcceptResponse::of),
          Map.entry(LeaveNotice.KIND, LeaveNotice::of),
          Map.entry(Ping.KIND, Ping::of),
          Map.entry(Pong.KIND, Pong::of),
          Map.entry(PrepareRequest.KIND, PrepareRequest::of),
          Map.entry(PrepareResponse.KIND, PrepareResponse::of),
          Map.entry(RecordGossip.KIND, RecordGossip::of),
          Map.entry(RejectResponse.KIND, RejectResponse::of),
          Map.entry(ReplicateReject.KIND, ReplicateReject::of),
          Map.entry(ReplicateRequest.KIND, ReplicateRequest::of),
          Map.entry(ReplicateResponse.KIND, ReplicateResponse::of),
          Map.entry(ResignNotice.KIND, ResignNotice::of),
          Map.entry(SnapshotChunkRequest.KIND, SnapshotChunkRequest::of),
          Map.entry(SnapshotChunkResponse.KIND, SnapshotChunkResponse::of),
          Map.entry(SnapshotInstalled.KIND, SnapshotInstalled::of),
          Map.entry(SnapshotProgress.KIND, SnapshotProgress::of));

  private EpochMessageDecoder() {}

  /**
   * Reads a message; empty if its kind is not of this family.
   *
   * @throws ProtocolException if a required field is missing; the message names kind and field
   */
  public static Optional<EpochMessage> decode(WireRecord encoded) throws ProtocolException {
    Reader reader = READERS.get(encoded.kind());
    return reader == null ? Optional.empty() : Optional.of(reader.read(encoded));
  }
}
