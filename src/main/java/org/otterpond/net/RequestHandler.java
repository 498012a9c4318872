package org.otterpond.net;

import org.otterpond.config.ClientLimits;

/** Serves the calls of one listening point. */
public interface RequestHandler {
  void handle(ServerExchange call);

  default ClientLimits limits() {
    return ClientLimits.standard();
  }

  /** Whether answers should ask clients to go elsewhere. */
  default boolean leaving() {
    return false;
  }
}
