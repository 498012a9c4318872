package org.otterpond.messaging.message;

import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * Names of a message and of what it belongs to.
 *
 * @param id the unique id, which begins with the number of its partition
 * @param tenant the tenant that submitted it, or null where there are no tenants
 * @param orderingKey messages of one key are delivered in the order of acceptance; null without one
 * @param operationKey equal for repeats of one submission; null without one
 */
public record MessageKeys(String id, String tenant, String orderingKey, String operationKey) {
  private static final String ID = "id";
  private static final String TENANT = "tenant";
  private static final String ORDERING_KEY = "order";
  private static final String OPERATION_KEY = "op";

  static MessageKeys of(WireRecord encoded) throws ProtocolException {
    return new MessageKeys(
        encoded.requiredText(ID),
        encoded.text(TENANT),
        encoded.text(ORDERING_KEY),
        encoded.text(OPERATION_KEY));
  }

  void addTo(WireRecord encoded) {
    encoded.with(ID, id);
    addScopeTo(encoded);
  }

  void addIdTo(WireRecord encoded) {
    encoded.with(ID, id);
  }

  void addScopeTo(WireRecord encoded) {
    encoded.with(TENANT, tenant).with(ORDERING_KEY, orderingKey).with(OPERATION_KEY, operationKey);
  }

  /** Returns the ordering key apart from equal keys of other tenants; null without one. */
  public String scopedOrderingKey() {
    return scoped(orderingKey);
  }

  /** Returns the operation key apart from equal keys of other tenants; null without one. */
  public String scopedOperationKey() {
    return scoped(operationKey);
  }

  private String scoped(String key) {
    return key == null ? null : (tenant == null ? "" : tenant) + "\n" + key;
  }
}
