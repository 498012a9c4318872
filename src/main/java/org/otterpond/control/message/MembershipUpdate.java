package org.otterpond.control.message;

import org.otterpond.control.state.EpochRecord;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * The part of a poll response that names the epoch and the other nodes.
 *
 * @param epochRecord the epoch of the primary that answers
 * @param fleet the other nodes, as the receiver needs to know them
 */
public record MembershipUpdate(EpochRecord epochRecord, FleetSummary fleet) {
  private static final String EPOCH_RECORD = "record";
  private static final String FLEET = "fleet";

  static boolean isIn(WireRecord response) {
    return response.has(EPOCH_RECORD);
  }

  static MembershipUpdate of(WireRecord response) throws ProtocolException {
    return new MembershipUpdate(
        EpochRecord.of(response.requiredNested(EPOCH_RECORD)),
        FleetSummary.of(response.requiredNested(FLEET)));
  }

  void addTo(WireRecord response) {
    response.with(EPOCH_RECORD, epochRecord.toWireRecord()).with(FLEET, fleet.toWireRecord());
  }
}
