package org.otterpond.messaging.message;

import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * Asks what has become of a message.
 *
 * @param group the number of the partition
 * @param id the id of the message
 * @param tenant the tenant that asks, or null where there are no tenants
 */
public record MessageStateRequest(int group, String id, String tenant)
    implements MessageStoreRequest {
  /** The encoded kind. */
  public static final String KIND = "m.state";

  private static final String GROUP = "group";
  private static final String ID = "id";
  private static final String TENANT = "tenant";

  /**
   * Reads a request.
   *
   * @throws ProtocolException if a required field is missing
   */
  public static MessageStateRequest of(WireRecord encoded) throws ProtocolException {
    return new MessageStateRequest(
        (int) encoded.requiredNumber(GROUP), encoded.requiredText(ID), encoded.text(TENANT));
  }

  @Override
  public WireRecord toWireRecord() {
    return new WireRecord(KIND).with(GROUP, group).with(ID, id).with(TENANT, tenant);
  }
}
