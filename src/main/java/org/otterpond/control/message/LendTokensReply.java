package org.otterpond.control.message;

import java.util.ArrayList;
import java.util.List;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * The answer to a {@link LendTokensRequest}.
 *
 * @param term the owner's term, to which the lent tokens belong
 * @param grants one entry for each tenant of the request
 */
public record LendTokensReply(long term, List<TokenGrant> grants) implements PrimaryReply {
  private static final String TERM = "term";
  private static final String GRANTS = "lent";

  /** Creates a reply; the list is copied. */
  public LendTokensReply {
    grants = List.copyOf(grants);
  }

  /**
   * Reads a reply.
   *
   * @throws ProtocolException if a required field is missing or a field has the wrong type
   */
  public static LendTokensReply of(WireRecord encoded) throws ProtocolException {
    List<TokenGrant> grants = new ArrayList<>();
    for (WireRecord grant : MessageFields.nestedList(encoded, GRANTS)) {
      grants.add(TokenGrant.of(grant));
    }
    return new LendTokensReply(encoded.requiredNumber(TERM), grants);
  }

  @Override
  public WireRecord toWireRecord() {
    return PrimaryReply.encoded()
        .with(TERM, term)
        .withRecords(GRANTS, grants.stream().map(TokenGrant::toWireRecord).toList());
  }
}
