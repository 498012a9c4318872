package org.otterpond.control.message;

import java.util.OptionalLong;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * The answer to a {@link ClaimKeyRequest}: the lock is granted, or held by another attempt, or no
 * quota token was available. If the lock was lost to another attempt that is gone already, none of
 * these is set.
 *
 * @param granted whether the attempt of the request holds the lock
 * @param holder address of the node that executes the attempt that holds the lock, or null
 * @param holdingToken identity of the attempt that holds the lock, or null
 * @param quotaTerm the quota owner's term, left out where no token was asked for at this request
 * @param grant the quota tokens lent with the answer, or null if none were asked for
 */
public record ClaimKeyReply(
    boolean granted, String holder, String holdingToken, OptionalLong quotaTerm, TokenGrant grant)
    implements PrimaryReply {
  private static final String GRANTED = "granted";
  private static final String HOLDER = "holder";
  private static final String HOLDING_TOKEN = "run";
  private static final String QUOTA_TERM = "term";
  private static final String GRANT = "lent";

  /** The lock was granted by an earlier request of the same attempt. */
  public static ClaimKeyReply alreadyGranted() {
    return new ClaimKeyReply(true, null, null, OptionalLong.empty(), null);
  }

  /** The lock is granted; {@code grant} is null if no token was asked for. */
  public static ClaimKeyReply granted(long quotaTerm, TokenGrant grant) {
    return new ClaimKeyReply(true, null, null, OptionalLong.of(quotaTerm), grant);
  }

  /** Another attempt holds the lock; both are null if it is free again. */
  public static ClaimKeyReply heldBy(String holder, String holdingToken) {
    return new ClaimKeyReply(false, holder, holdingToken, OptionalLong.empty(), null);
  }

  /** The lock is free, but no token could be lent. */
  public static ClaimKeyReply withoutTokens(long quotaTerm, TokenGrant grant) {
    return new ClaimKeyReply(false, null, null, OptionalLong.of(quotaTerm), grant);
  }

  /**
   * Reads a reply.
   *
   * @throws ProtocolException if a required field is missing or a field has the wrong type
   */
  public static ClaimKeyReply of(WireRecord encoded) throws ProtocolException {
    return new ClaimKeyReply(
        encoded.truth(GRANTED),
        MessageFields.optionalText(encoded, HOLDER),
        MessageFields.optionalText(encoded, HOLDING_TOKEN),
        encoded.has(QUOTA_TERM)
            ? OptionalLong.of(encoded.requiredNumber(QUOTA_TERM))
            : OptionalLong.empty(),
        encoded.has(GRANT) ? TokenGrant.of(encoded.requiredNested(GRANT)) : null);
  }

  @Override
  public WireRecord toWireRecord() {
    return PrimaryReply.encoded()
        .with(GRANTED, granted ? true : null)
        .with(HOLDER, holder)
        .with(HOLDING_TOKEN, holdingToken)
        .with(QUOTA_TERM, quotaTerm.isPresent() ? quotaTerm.getAsLong() : null)
        .with(GRANT, grant == null ? null : grant.toWireRecord());
  }
}
