package org.otterpond.server;

import java.nio.charset.StandardCharsets;
import org.otterpond.config.ConfigException;
import org.otterpond.config.JsonFields;
import org.otterpond.net.ServerExchange;

/** Reads the bodies of control API requests. */
final class RequestBodies {
  private RequestBodies() {}

  /** Returns the body as text. */
  static String text(ServerExchange exchange) {
    return new String(exchange.request().body(), StandardCharsets.UTF_8);
  }

  /**
   * Returns the body as a JSON object.
   *
   * @throws ConfigException if it is none
   */
  static JsonFields json(ServerExchange exchange) throws ConfigException {
    return JsonFields.of(JsonFields.parse(text(exchange)), "");
  }
}
