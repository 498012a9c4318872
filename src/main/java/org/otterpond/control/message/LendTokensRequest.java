package org.otterpond.control.message;

import java.util.ArrayList;
import java.util.List;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * Asks for quota tokens of one or more tenants. Answered by a {@link LendTokensReply}.
 *
 * @param quota the quota account of the node with what it needs of each tenant
 */
public record LendTokensRequest(QuotaAccount quota) implements PrimaryRequest {
  /** The encoded name of the operation. */
  public static final String OPERATION_NAME = "lend";

  private static final String TENANTS = "tenants";

  /**
   * Reads a request.
   *
   * @throws ProtocolException if a required field is missing or a field has the wrong type
   */
  public static LendTokensRequest of(WireRecord encoded) throws ProtocolException {
    List<TokenDemand> demands = new ArrayList<>();
    for (WireRecord demand : MessageFields.nestedList(encoded, TENANTS)) {
      demands.add(TokenDemand.of(demand));
    }
    return new LendTokensRequest(QuotaAccount.of(encoded, demands));
  }

  @Override
  public WireRecord toWireRecord() {
    WireRecord encoded =
        PrimaryRequest.encoded(OPERATION_NAME)
            .withRecords(TENANTS, quota.demands().stream().map(TokenDemand::toWireRecord).toList());
    quota.addTo(encoded);
    return encoded;
  }
}
