package org.otterpond.control.message;

import java.util.List;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * Asks for the lock of an idempotency key, and for a quota token where the node has none left.
 * Answered by a {@link ClaimKeyReply}.
 *
 * @param key the idempotency key with its scope
 * @param token identity of the attempt that is to hold the lock
 * @param holder address of the node that executes the attempt
 * @param quota the quota account of the node with the one tenant that the token is needed for, or
 *     null if no token is needed
 */
public record ClaimKeyRequest(String key, String token, String holder, QuotaAccount quota)
    implements PrimaryRequest {
  /** The encoded name of the operation. */
  public static final String OPERATION_NAME = "claim";

  private static final String KEY = "key";
  private static final String TOKEN = "token";
  private static final String HOLDER = "holder";
  private static final String TENANT = "tenant";

  /**
   * Reads a request.
   *
   * @throws ProtocolException if a required field is missing or a field has the wrong type
   */
  public static ClaimKeyRequest of(WireRecord encoded) throws ProtocolException {
    return new ClaimKeyRequest(
        encoded.requiredText(KEY),
        encoded.requiredText(TOKEN),
        encoded.requiredText(HOLDER),
        encoded.has(TENANT) ? quotaOf(encoded) : null);
  }

  private static QuotaAccount quotaOf(WireRecord encoded) throws ProtocolException {
    return QuotaAccount.of(encoded, List.of(TokenDemand.of(encoded.requiredNested(TENANT))));
  }

  @Override
  public WireRecord toWireRecord() {
    WireRecord encoded =
        PrimaryRequest.encoded(OPERATION_NAME)
            .with(KEY, key)
            .with(TOKEN, token)
            .with(HOLDER, holder);
    if (quota != null) {
      quota.addTo(encoded);
      encoded.with(TENANT, quota.demands().get(0).toWireRecord());
    }
    return encoded;
  }
}
