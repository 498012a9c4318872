package org.otterpond.config;

import java.util.Map;

/** Which requests of a route may be retried, and how. */
public enum RouteType {
  /** Every request may be retried. */
  IDEMPOTENT,
  /** A request may be retried only if it provably did not reach a worker. */
  NON_IDEMPOTENT,
  /** Each idempotency key is executed at most once within its window. */
  KEYED,
  /** Requests are messages: accepted durably and delivered later. */
  ASYNCHRONOUS;

  private static final Map<String, RouteType> BY_SETTING =
      Map.of(
          "idempotent", IDEMPOTENT,
          "non_idempotent", NON_IDEMPOTENT,
          "keyed", KEYED,
          "asynchronous", ASYNCHRONOUS);

  /**
   * Returns the type of a {@code route_type} field.
   *
   * @param path path of the field, for the error
   */
  static RouteType of(String setting, String path) throws ConfigException {
    RouteType type = BY_SETTING.get(setting);
    if (type == null) {
      throw new ConfigException(
          path + ": must be idempotent, non_idempotent, keyed or asynchronous");
    }
    return type;
  }
}
