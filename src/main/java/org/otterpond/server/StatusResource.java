package org.otterpond.server;

import com.google.gson.JsonObject;
import org.otterpond.control.message.StatusReply;
import org.otterpond.control.message.StatusRequest;
import org.otterpond.net.GatewayResponses;
import org.otterpond.net.ServerExchange;
import org.otterpond.proxy.DepartureMetrics;

/** Returns the status of the deployment as the primary knows it. */
final class StatusResource {
  private final PrimaryCaller primary;
  private final DepartureMetrics departures;

  StatusResource(PrimaryCaller primary, DepartureMetrics departures) {
    this.primary = primary;
    this.departures = departures;
  }

  /** Returns the status as a JSON object. */
  void read(ServerExchange exchange, String name) {
    primary.call(
        exchange,
        new StatusRequest(),
        PrimaryCaller.Timing.STANDARD,
        StatusReply::of,
        reply -> exchange.answer(GatewayResponses.json(200, json(reply).toString())));
  }

  /** Returns the status of the deployment with the figures of the node that answers. */
  private JsonObject json(StatusReply reply) {
    JsonObject clientsGone = new JsonObject();
    clientsGone.addProperty("cancelled", departures.cancelledTotal());
    clientsGone.addProperty("continued", departures.continuedTotal());
    clientsGone.addProperty("violations", departures.violations.sum());
    JsonObject json = StatusJson.of(reply);
    json.add("clients_gone_here", clientsGone);
    return json;
  }
}
