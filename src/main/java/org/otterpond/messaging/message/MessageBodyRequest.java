package org.otterpond.messaging.message;

import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * Asks for the body of a message that is not completed.
 *
 * @param group the number of the partition
 * @param id the id of the message
 * @param tenant the tenant that asks, or null where there are no tenants
 */
public record MessageBodyRequest(int group, String id, String tenant)
    implements MessageStoreRequest {
  /** The encoded kind. */
  public static final String KIND = "m.body";

  private static final String GROUP = "group";
  private static final String ID = "id";
  private static final String TENANT = "tenant";

  /**
   * Reads a request.
   *
   * @throws ProtocolException if a required field is missing
   */
  public static MessageBodyRequest of(WireRecord encoded) throws ProtocolException {
    return new MessageBodyRequest(
        (int) encoded.requiredNumber(GROUP), encoded.requiredText(ID), encoded.text(TENANT));
  }

  @Override
  public WireRecord toWireRecord() {
    return new WireRecord(KIND).with(GROUP, group).with(ID, id).with(TENANT, tenant);
  }
}
