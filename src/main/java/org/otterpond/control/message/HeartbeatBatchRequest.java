package org.otterpond.control.message;

import java.util.List;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * Forwards heartbeats of workers. Answered by an {@link AcknowledgedReply}.
 *
 * @param workers the workers, each in its newest state
 */
public record HeartbeatBatchRequest(List<WorkerReport> workers) implements PrimaryRequest {
  /** The encoded name of the operation. */
  public static final String OPERATION_NAME = "beats";

  private static final String WORKERS = "beats";

  /** Creates a request; the list is copied. */
  public HeartbeatBatchRequest {
    workers = List.copyOf(workers);
  }

  /**
   * Reads a request.
   *
   * @throws ProtocolException if a required field is missing or a field has the wrong type
   */
  public static HeartbeatBatchRequest of(WireRecord encoded) throws ProtocolException {
    return new HeartbeatBatchRequest(WorkerReport.listOf(encoded, WORKERS));
  }

  @Override
  public WireRecord toWireRecord() {
    return PrimaryRequest.encoded(OPERATION_NAME)
        .withRecords(WORKERS, WorkerReport.encode(workers));
  }
}
