package org.otterpond.control.message;

import org.otterpond.protocol.Encodable;
import org.otterpond.protocol.WireRecord;

/**
 * The primary's reply to a {@link PrimaryRequest}. All replies share one encoded kind; the request
 * tells how its reply is read. The sender adds the number of the request as the last field.
 */
public sealed interface PrimaryReply extends Encodable
    permits AcknowledgedReply,
        ClaimKeyReply,
        LendTokensReply,
        NotPrimaryReply,
        ReadConfigurationReply,
        ReconfigureGroupReply,
        RetireNodeReply,
        RetirementStatusReply,
        StatusReply,
        UnknownOperationReply,
        WriteConfigurationReply {
  /** The encoded kind of all replies. */
  String KIND = "reply";

  /** Returns an encoded reply without fields. */
  static WireRecord encoded() {
    return new WireRecord(KIND);
  }
}
