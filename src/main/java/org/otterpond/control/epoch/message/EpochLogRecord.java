package org.otterpond.control.epoch.message;

import org.otterpond.protocol.Encodable;

/** A record that a core member writes to its log about epochs. Replicated entries are not of it. */
public sealed interface EpochLogRecord extends Encodable
    permits AcceptRecord, BegunRecord, PromiseRecord, SnapshotRecord {}
