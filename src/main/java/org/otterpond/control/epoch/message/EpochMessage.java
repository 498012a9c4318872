package org.otterpond.control.epoch.message;

import org.otterpond.protocol.Encodable;

/** A message between core members about epochs: election, snapshots, replication and liveness. */
public sealed interface EpochMessage extends Encodable
    permits AcceptRequest,
        AcceptResponse,
        LeaveNotice,
        Ping,
        Pong,
        PrepareRequest,
        PrepareResponse,
        RecordGossip,
        RejectResponse,
        ReplicateReject,
        ReplicateRequest,
        ReplicateResponse,
        ResignNotice,
        SnapshotChunkRequest,
        SnapshotChunkResponse,
        SnapshotInstalled,
        SnapshotProgress {}
