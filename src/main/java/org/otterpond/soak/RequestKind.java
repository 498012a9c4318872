package org.otterpond.soak;

/** The kinds of requests, each with a route of its own. */
enum RequestKind {
  IDEMPOTENT("idempotent", "/i/"),
  NON_IDEMPOTENT("non_idempotent", "/n/"),
  KEYED("keyed", "/k/");

  private final String routeType;
  private final String prefix;

  RequestKind(String routeType, String prefix) {
    this.routeType = routeType;
    this.prefix = prefix;
  }

  /** The type of the route in the configuration. */
  String routeType() {
    return routeType;
  }

  /** The prefix of the route's paths. */
  String prefix() {
    return prefix;
  }
}
