package org.otterpond.server;

import org.otterpond.control.message.StatusReply;
import org.otterpond.control.message.StatusRequest;
import org.otterpond.net.GatewayResponses;
import org.otterpond.net.ServerExchange;

/** Returns the status of the deployment as the primary knows it. */
final class StatusResource {
  private final PrimaryCaller primary;

  StatusResource(PrimaryCaller primary) {
    this.primary = primary;
  }

  /** Returns the status as a JSON object. */
  void read(ServerExchange exchange, String name) {
    primary.call(
        exchange,
        new StatusRequest(),
        PrimaryCaller.Timing.STANDARD,
        StatusReply::of,
        reply -> exchange.answer(GatewayResponses.json(200, StatusJson.of(reply).toString())));
  }
}
