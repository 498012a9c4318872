package org.otterpond.control.message;

import org.otterpond.protocol.Encodable;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * One quota bucket in a {@link StatusReply}.
 *
 * @param name name of the tenant, or of the rate limit of a service
 * @param limit its limit
 * @param tokens whole tokens in the bucket
 * @param outstanding tokens lent and neither reported used nor expired
 * @param totals tokens lent and denied since the owner's term began
 */
public record QuotaStatus(String name, Limit limit, long tokens, long outstanding, Totals totals)
    implements Encodable {
  /** The encoded kind. */
  public static final String KIND = "quota";

  private static final String NAME = "name";
  private static final String RATE = "rate";
  private static final String BURST = "burst";
  private static final String TOKENS = "tokens";
  private static final String OUTSTANDING = "out";
  private static final String GRANTED = "granted";
  private static final String DENIED = "denied";

  /**
   * A bucket's limit.
   *
   * @param ratePerSecond tokens that flow in each second
   * @param burst size of the bucket in tokens
   */
  public record Limit(double ratePerSecond, double burst) {}

  /**
   * Totals of a bucket.
   *
   * @param granted tokens lent
   * @param denied tokens asked for beyond the quota
   */
  public record Totals(long granted, long denied) {}

  /**
   * Reads a row.
   *
   * @throws ProtocolException if a field is missing
   */
  public static QuotaStatus of(WireRecord encoded) throws ProtocolException {
    return new QuotaStatus(
        encoded.requiredText(NAME),
        new Limit(
            MessageFields.requiredDecimal(encoded, RATE),
            MessageFields.requiredDecimal(encoded, BURST)),
        encoded.requiredNumber(TOKENS),
        encoded.requiredNumber(OUTSTANDING),
        new Totals(encoded.requiredNumber(GRANTED), encoded.requiredNumber(DENIED)));
  }

  @Override
  public WireRecord toWireRecord() {
    return new WireRecord(KIND)
        .with(NAME, name)
        .with(RATE, limit.ratePerSecond())
        .with(BURST, limit.burst())
        .with(TOKENS, tokens)
        .with(OUTSTANDING, outstanding)
        .with(GRANTED, totals.granted())
        .with(DENIED, totals.denied());
  }
}
