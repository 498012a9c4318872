package org.otterpond.control.state;

import org.otterpond.protocol.Encodable;

/**
 * One entry of the replicated log, as proposed by the primary, written to the write-ahead log of
 * each group member and applied to {@link ReplicatedState}.
 */
public sealed interface ReplicatedEntry extends Encodable
    permits KeyLockEntry, KeyReleaseEntry, ConfigurationEntry, WorkerEntry, AssignmentEntry {}
