package org.otterpond.control.state;

import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * Records a worker instance, so that a core that lost every process knows its workers before their
 * next heartbeats.
 *
 * @param worker the instance; its slow start counts from the moment the entry was written, which is
 *     time 0, as no clock is shared between nodes
 */
public record WorkerEntry(WorkerInstance worker) implements ReplicatedEntry {
  /** The encoded kind. */
  public static final String KIND = "worker";

  private static final long WRITTEN_AT_MICROS = 0;

  /** Returns the entry for an instance known at {@code nowMicros} of this node's clock. */
  public static WorkerEntry of(WorkerInstance worker, long nowMicros) {
    return new WorkerEntry(
        worker.withSlowStartEnd(
            Math.max(0, worker.slowStartEndMicros() - nowMicros) + WRITTEN_AT_MICROS));
  }

  /**
   * Reads an entry.
   *
   * @throws ProtocolException if a required field is missing
   */
  public static WorkerEntry of(WireRecord encoded) throws ProtocolException {
    return new WorkerEntry(WorkerInstance.decode(encoded, WRITTEN_AT_MICROS));
  }

  @Override
  public WireRecord toWireRecord() {
    return worker.toWireRecord(KIND, WRITTEN_AT_MICROS);
  }
}
