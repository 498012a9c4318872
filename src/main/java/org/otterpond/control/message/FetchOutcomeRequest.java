package org.otterpond.control.message;

import org.otterpond.protocol.Encodable;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * Asks the node that holds the lock of an idempotency key for the outcome of the execution.
 * Answered by a {@link FetchOutcomeReply}. The sender adds the number of the request as the last
 * field.
 *
 * @param key the idempotency key with its scope
 * @param token identity of the attempt that holds the lock
 */
public record FetchOutcomeRequest(String key, String token) implements Encodable {
  /** The encoded kind. */
  public static final String KIND = "fetch";

  private static final String KEY = "key";
  private static final String TOKEN = "token";

  /**
   * Reads a request.
   *
   * @throws ProtocolException if a field is missing
   */
  public static FetchOutcomeRequest of(WireRecord encoded) throws ProtocolException {
    return new FetchOutcomeRequest(encoded.requiredText(KEY), encoded.requiredText(TOKEN));
  }

  @Override
  public WireRecord toWireRecord() {
    return new WireRecord(KIND).with(KEY, key).with(TOKEN, token);
  }
}
