package org.otterpond.config;

/** What may be repeated on a route. */
public enum RouteType {
  IDEMPOTENT,
  NON_IDEMPOTENT,
  KEYED,
  ASYNCHRONOUS;

  static RouteType of(String word, String at) throws ConfigException {
    switch (word) {
      case "idempotent":
        return IDEMPOTENT;
      case "non_idempotent":
        return NON_IDEMPOTENT;
      case "keyed":
        return KEYED;
      case "asynchronous":
        return ASYNCHRONOUS;
      default:
        throw new ConfigException(
            at + ": idempotent, non_idempotent, keyed or asynchronous is wanted");
    }
  }
}
