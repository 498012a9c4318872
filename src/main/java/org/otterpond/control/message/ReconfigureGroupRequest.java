package org.otterpond.control.message;

import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;
import org.otterpond.replication.GroupConfiguration;

/**
 * Proposes the next configuration of a replica group. Answered by a {@link ReconfigureGroupReply}.
 *
 * @param configuration the proposed configuration, its version one above the current
 */
public record ReconfigureGroupRequest(GroupConfiguration configuration) implements PrimaryRequest {
  /** The encoded name of the operation. */
  public static final String OPERATION_NAME = "reconfigure";

  private static final String CONFIGURATION = "view";

  /**
   * Reads a request.
   *
   * @throws ProtocolException if a required field is missing or a field has the wrong type
   */
  public static ReconfigureGroupRequest of(WireRecord encoded) throws ProtocolException {
    return new ReconfigureGroupRequest(
        GroupConfigurations.of(encoded.requiredNested(CONFIGURATION)));
  }

  @Override
  public WireRecord toWireRecord() {
    return PrimaryRequest.encoded(OPERATION_NAME)
        .with(CONFIGURATION, GroupConfigurations.encode(configuration));
  }
}
