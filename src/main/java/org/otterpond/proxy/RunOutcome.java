package org.otterpond.proxy;

import org.otterpond.protocol.Encodable;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * What the node that locked an idempotency key knows of the operation's execution under that lock.
 * Stored by that node and sent to the one that meets a repeat.
 */
sealed interface RunOutcome extends Encodable {
  /**
   * Reads an outcome.
   *
   * @throws ProtocolException if the kind is none of an outcome or a required field is missing
   */
  static RunOutcome of(WireRecord encoded) throws ProtocolException {
    return switch (encoded.kind()) {
      case StoredResponse.KIND -> StoredResponse.of(encoded);
      case Unknown.KIND -> new Unknown();
      case NotExecuted.KIND -> new NotExecuted();
      case InProgress.KIND -> new InProgress();
      default -> throw new ProtocolException("kind " + encoded.kind() + " is no run outcome");
    };
  }

  /**
   * The worker has executed the operation and answered.
   *
   * @param status the HTTP status of the response
   * @param body the bytes of its body
   * @param serverSeal the worker's seal, or null if the response has none
   * @param contentType the type of the body, or null if the response has none
   */
  // The body is written once and shared, as in HttpMessage; the record is never compared.
  @SuppressWarnings("ArrayRecordComponent")
  record StoredResponse(int status, byte[] body, String serverSeal, String contentType)
      implements RunOutcome {
    static final String KIND = "answer";

    private static final String STATUS = "status";
    private static final String BODY = "body";
    private static final String SERVER_SEAL = "seal";
    private static final String CONTENT_TYPE = "type";

    static StoredResponse of(WireRecord encoded) throws ProtocolException {
      return new StoredResponse(
          (int) encoded.requiredNumber(STATUS),
          encoded.requiredBytes(BODY),
          encoded.text(SERVER_SEAL),
          encoded.text(CONTENT_TYPE));
    }

    @Override
    public WireRecord toWireRecord() {
      return new WireRecord(KIND)
          .with(STATUS, status)
          .with(BODY, body)
          .with(SERVER_SEAL, serverSeal)
          .with(CONTENT_TYPE, contentType);
    }
  }

  /** The operation may have been executed, but its response is not known. */
  record Unknown() implements RunOutcome {
    static final String KIND = "unknown";

    @Override
    public WireRecord toWireRecord() {
      return new WireRecord(KIND);
    }
  }

  /** The operation was not executed under this lock and never will be. */
  record NotExecuted() implements RunOutcome {
    static final String KIND = "unrun";

    @Override
    public WireRecord toWireRecord() {
      return new WireRecord(KIND);
    }
  }

  /** The request that locked the key has not ended yet. */
  record InProgress() implements RunOutcome {
    static final String KIND = "working";

    @Override
    public WireRecord toWireRecord() {
      return new WireRecord(KIND);
    }
  }
}
