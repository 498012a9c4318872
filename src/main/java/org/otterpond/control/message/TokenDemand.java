package org.otterpond.control.message;

import org.otterpond.protocol.Encodable;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * What a node needs of a tenant's quota, with the totals that it reports.
 *
 * @param tenant name of the tenant, or of the rate limit of a service
 * @param used total of the tokens that the node used, returned or let expire in this term
 * @param returned total of the tokens among them that were returned unused
 * @param needed number of tokens that requests wait for
 * @param spare number of further tokens that the node would keep in reserve
 */
public record TokenDemand(String tenant, long used, long returned, int needed, int spare)
    implements Encodable {
  /** The encoded kind. */
  public static final String KIND = "part";

  private static final String TENANT = "tenant";
  private static final String USED = "used";
  private static final String RETURNED = "returned";
  private static final String NEEDED = "need";
  private static final String SPARE = "spare";

  /**
   * Reads a demand.
   *
   * @throws ProtocolException if a field is missing
   */
  public static TokenDemand of(WireRecord encoded) throws ProtocolException {
    return new TokenDemand(
        encoded.requiredText(TENANT),
        encoded.requiredNumber(USED),
        encoded.requiredNumber(RETURNED),
        (int) encoded.requiredNumber(NEEDED),
        (int) encoded.requiredNumber(SPARE));
  }

  @Override
  public WireRecord toWireRecord() {
    return new WireRecord(KIND)
        .with(TENANT, tenant)
        .with(USED, used)
        .with(RETURNED, returned)
        .with(NEEDED, needed)
        .with(SPARE, spare);
  }
}
