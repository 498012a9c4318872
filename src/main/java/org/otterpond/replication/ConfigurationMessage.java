package org.otterpond.replication;

import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/** Notifies another replica of an installed configuration that it may not know yet. */
public record ConfigurationMessage(int group, GroupConfiguration configuration)
    implements GroupMessage {
  /** The encoded kind. */
  public static final String KIND = "g.view";

  private static final String GROUP = "group";
  private static final String CONFIGURATION = "view";
  private static final String RECIPIENT = "to";

  /**
   * Reads a message.
   *
   * @throws ProtocolException if a required field is missing
   */
  public static ConfigurationMessage of(WireRecord encoded) throws ProtocolException {
    return new ConfigurationMessage(
        (int) encoded.requiredNumber(GROUP),
        GroupConfiguration.read(encoded.requiredNested(CONFIGURATION)));
  }

  @Override
  public WireRecord toWireRecord() {
    return withFields(new WireRecord(KIND));
  }

  /**
   * Returns the encoded form of the answer to an outdated beacon, in which the recipient is the
   * first field.
   */
  public WireRecord toBeaconAnswer(String recipient) {
    return withFields(new WireRecord(KIND).with(RECIPIENT, recipient));
  }

  private WireRecord withFields(WireRecord encoded) {
    return encoded.with(GROUP, group).with(CONFIGURATION, configuration.toNestedRecord());
  }
}
