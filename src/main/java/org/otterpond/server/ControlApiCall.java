package org.otterpond.server;

import org.otterpond.config.ConfigException;
import org.otterpond.net.ServerExchange;

/** Serves one call of the control API. */
@FunctionalInterface
interface ControlApiCall {
  /**
   * Answers the request now or later.
   *
   * @param name the part of the path after the call's prefix; empty for a call without a name
   * @throws ConfigException if the request is not valid; it is answered with status 400
   */
  void handle(ServerExchange exchange, String name) throws ConfigException;
}
