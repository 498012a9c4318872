package org.otterpond.control.message;

import java.util.List;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * The part of a request by which a node asks the quota owner for tokens.
 *
 * @param demands what the node needs, one entry a tenant
 * @param incarnation identity of the node's process, to which the totals belong
 * @param term the owner's term to which the totals belong; with another owner they count from zero
 */
public record QuotaAccount(List<TokenDemand> demands, long incarnation, long term) {
  private static final String INCARNATION = "life";
  private static final String TERM = "term";

  /** Creates an account; the list is copied. */
  public QuotaAccount {
    demands = List.copyOf(demands);
  }

  static QuotaAccount of(WireRecord request, List<TokenDemand> demands) throws ProtocolException {
    return new QuotaAccount(
        demands, request.requiredNumber(INCARNATION), request.requiredNumber(TERM));
  }

  void addTo(WireRecord request) {
    request.with(INCARNATION, incarnation).with(TERM, term);
  }
}
