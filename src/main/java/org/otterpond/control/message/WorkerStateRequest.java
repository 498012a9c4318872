package org.otterpond.control.message;

import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * Reports the state of one worker that begins to drain or has ended. Answered by an {@link
 * AcknowledgedReply} once no node sends requests to the worker any more.
 *
 * @param worker the worker
 */
public record WorkerStateRequest(WorkerReport worker) implements PrimaryRequest {
  /** The encoded name of the operation. */
  public static final String OPERATION_NAME = "beat";

  private static final String WORKER = "vessel";

  /**
   * Reads a request.
   *
   * @throws ProtocolException if a required field is missing or a field has the wrong type
   */
  public static WorkerStateRequest of(WireRecord encoded) throws ProtocolException {
    return new WorkerStateRequest(WorkerReport.of(encoded.requiredNested(WORKER)));
  }

  @Override
  public WireRecord toWireRecord() {
    return PrimaryRequest.encoded(OPERATION_NAME).with(WORKER, worker.toWireRecord());
  }
}
