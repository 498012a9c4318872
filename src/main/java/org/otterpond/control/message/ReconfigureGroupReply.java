package org.otterpond.control.message;

import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;
import org.otterpond.replication.GroupConfiguration;

/**
 * The answer to a {@link ReconfigureGroupRequest}.
 *
 * @param installed whether the proposed configuration was installed
 * @param configuration the configuration in force, or null if the group is not known
 */
public record ReconfigureGroupReply(boolean installed, GroupConfiguration configuration)
    implements PrimaryReply {
  private static final String INSTALLED = "installed";
  private static final String CONFIGURATION = "view";

  /**
   * Reads a reply.
   *
   * @throws ProtocolException if a required field is missing or a field has the wrong type
   */
  public static ReconfigureGroupReply of(WireRecord encoded) throws ProtocolException {
    return new ReconfigureGroupReply(
        encoded.truth(INSTALLED),
        encoded.has(CONFIGURATION)
            ? GroupConfigurations.of(encoded.requiredNested(CONFIGURATION))
            : null);
  }

  @Override
  public WireRecord toWireRecord() {
    return PrimaryReply.encoded()
        .with(INSTALLED, installed ? true : null)
        .with(
            CONFIGURATION,
            configuration == null ? null : GroupConfigurations.encode(configuration));
  }
}
