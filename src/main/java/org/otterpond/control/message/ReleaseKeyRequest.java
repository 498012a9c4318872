package org.otterpond.control.message;

import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * Releases the lock of an idempotency key whose attempt was not executed. Answered by an {@link
 * AcknowledgedReply}.
 *
 * @param key the idempotency key with its scope
 * @param token identity of the attempt that was to hold the lock; a lock of another attempt stays
 */
public record ReleaseKeyRequest(String key, String token) implements PrimaryRequest {
  /** The encoded name of the operation. */
  public static final String OPERATION_NAME = "free";

  private static final String KEY = "key";
  private static final String TOKEN = "token";

  /**
   * Reads a request.
   *
   * @throws ProtocolException if a required field is missing or a field has the wrong type
   */
  public static ReleaseKeyRequest of(WireRecord encoded) throws ProtocolException {
    return new ReleaseKeyRequest(encoded.requiredText(KEY), encoded.requiredText(TOKEN));
  }

  @Override
  public WireRecord toWireRecord() {
    return PrimaryRequest.encoded(OPERATION_NAME).with(KEY, key).with(TOKEN, token);
  }
}
