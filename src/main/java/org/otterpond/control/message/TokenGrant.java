package org.otterpond.control.message;

import org.otterpond.protocol.Encodable;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * The quota owner's answer to a {@link TokenDemand}.
 *
 * @param tenant name of the tenant, or of the rate limit of a service
 * @param count number of tokens lent
 * @param retryAfterMicros how long to wait before asking for tokens that could not be lent
 * @param overQuota whether tokens are lacking because the tenant uses up its quota, so that waiting
 *     requests are to be rejected
 */
public record TokenGrant(String tenant, int count, long retryAfterMicros, boolean overQuota)
    implements Encodable {
  /** The encoded kind. */
  public static final String KIND = "lent";

  private static final String TENANT = "tenant";
  private static final String COUNT = "count";
  private static final String RETRY_AFTER = "again";
  private static final String OVER_QUOTA = "over";

  /**
   * Reads a grant.
   *
   * @throws ProtocolException if a required field is missing
   */
  public static TokenGrant of(WireRecord encoded) throws ProtocolException {
    return new TokenGrant(
        encoded.requiredText(TENANT),
        (int) encoded.requiredNumber(COUNT),
        encoded.requiredNumber(RETRY_AFTER),
        encoded.truth(OVER_QUOTA));
  }

  @Override
  public WireRecord toWireRecord() {
    return new WireRecord(KIND)
        .with(TENANT, tenant)
        .with(COUNT, count)
        .with(RETRY_AFTER, retryAfterMicros)
        .with(OVER_QUOTA, overQuota ? true : null);
  }
}
