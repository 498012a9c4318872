package org.otterpond.net;

import org.otterpond.config.ClientLimits;

/** Serves the requests of one listening address, on the owner thread. */
public interface RequestHandler {
  /** Serves a request; it has to be responded to, now or later. */
  void handle(ServerExchange exchange);

  /** Returns the limits for clients as they are now. */
  default ClientLimits limits() {
    return ClientLimits.standard();
  }

  /** Whether the node is shutting down, so that each response should end its connection. */
  default boolean leaving() {
    return false;
  }
}
