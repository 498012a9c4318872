package org.otterpond.control.message;

import java.util.Map;
import org.otterpond.protocol.Encodable;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * A request to the primary of the core. It is answered at most once, by a reply of its own type; an
 * unanswered request may be sent again, as each is idempotent.
 *
 * <p>All requests share one encoded kind and differ by the operation. The sender adds the number of
 * the request as the last field, and the receiver adds it to the reply.
 */
public sealed interface PrimaryRequest extends Encodable
    permits CandidateFailedRequest,
        ClaimKeyRequest,
        HeartbeatBatchRequest,
        LendTokensRequest,
        ReadConfigurationRequest,
        ReconfigureGroupRequest,
        ReleaseKeyRequest,
        RetireNodeRequest,
        RetirementStatusRequest,
        StatusRequest,
        UnknownRequest,
        WorkerStateRequest,
        WriteConfigurationRequest {
  /** The encoded kind. */
  String KIND = "ask";

  /** The field that names the operation. */
  String OPERATION = "op";

  /** The field of requests and replies that holds the number of the request. */
  String REQUEST_ID = "rid";

  /** Reads a request of one operation. */
  @FunctionalInterface
  interface Decoder {
    /**
     * Reads a request.
     *
     * @throws ProtocolException if a required field is missing or a field has the wrong type
     */
    PrimaryRequest decode(WireRecord encoded) throws ProtocolException;
  }

  /** The decoder of each operation. */
  Map<String, Decoder> DECODERS =
      Map.ofEntries(
          Map.entry(CandidateFailedRequest.OPERATION_NAME, CandidateFailedRequest::of),
          Map.entry(ClaimKeyRequest.OPERATION_NAME, ClaimKeyRequest::of),
          Map.entry(HeartbeatBatchRequest.OPERATION_NAME, HeartbeatBatchRequest::of),
          Map.entry(LendTokensRequest.OPERATION_NAME, LendTokensRequest::of),
          Map.entry(ReadConfigurationRequest.OPERATION_NAME, ReadConfigurationRequest::of),
          Map.entry(ReconfigureGroupRequest.OPERATION_NAME, ReconfigureGroupRequest::of),
          Map.entry(ReleaseKeyRequest.OPERATION_NAME, ReleaseKeyRequest::of),
          Map.entry(RetireNodeRequest.OPERATION_NAME, RetireNodeRequest::of),
          Map.entry(RetirementStatusRequest.OPERATION_NAME, RetirementStatusRequest::of),
          Map.entry(StatusRequest.OPERATION_NAME, StatusRequest::of),
          Map.entry(WorkerStateRequest.OPERATION_NAME, WorkerStateRequest::of),
          Map.entry(WriteConfigurationRequest.OPERATION_NAME, WriteConfigurationRequest::of));

  /**
   * Reads a request of any operation; one of an operation that this version does not know is an
   * {@link UnknownRequest}.
   *
   * @throws ProtocolException if a required field is missing or a field has the wrong type
   */
  static PrimaryRequest of(WireRecord encoded) throws ProtocolException {
    Decoder decoder = DECODERS.get(encoded.requiredText(OPERATION));
    return decoder == null ? UnknownRequest.of(encoded) : decoder.decode(encoded);
  }

  /** Returns an encoded request of an operation, without its fields. */
  static WireRecord encoded(String operation) {
    return new WireRecord(KIND).with(OPERATION, operation);
  }
}
