package org.otterpond.server;

import org.otterpond.config.ConfigException;
import org.otterpond.control.message.RetireNodeReply;
import org.otterpond.control.message.RetireNodeRequest;
import org.otterpond.control.message.RetirementStatusReply;
import org.otterpond.control.message.RetirementStatusRequest;
import org.otterpond.net.GatewayResponses;
import org.otterpond.net.HttpMessage;
import org.otterpond.net.ServerExchange;

/** Retires storage nodes: their message replicas are moved to other nodes. */
final class RetirementResource {
  private static final String COMPLETED = "{\"state\":\"completed\"}";
  private static final String IN_PROGRESS = "{\"state\":\"in_progress\"}";

  private final PrimaryCaller primary;

  RetirementResource(PrimaryCaller primary) {
    this.primary = primary;
  }

  /**
   * Begins to retire a node. A deadline in the body is validated but not enforced: watching the
   * progress is left to the operator.
   */
  void begin(ServerExchange exchange, String node) throws ConfigException {
    if (exchange.request().body().length > 0) {
      RequestBodies.json(exchange).real("deadline_s", 0, 0);
    }
    primary.call(
        exchange,
        new RetireNodeRequest(node),
        PrimaryCaller.Timing.STANDARD,
        RetireNodeReply::of,
        reply -> exchange.answer(beginResponse(reply)));
  }

  private static HttpMessage beginResponse(RetireNodeReply reply) {
    return switch (reply.status()) {
      case RetireNodeReply.ACCEPTED -> GatewayResponses.json(200, "{}");
      case RetireNodeReply.UNKNOWN_NODE -> GatewayResponses.problem(404, "no such storage machine");
      default -> GatewayResponses.problem(409, "too few storage machines would be left");
    };
  }

  /** Returns whether a node's retirement is complete. */
  void read(ServerExchange exchange, String node) {
    primary.call(
        exchange,
        new RetirementStatusRequest(node),
        PrimaryCaller.Timing.STANDARD,
        RetirementStatusReply::of,
        reply -> exchange.answer(statusResponse(reply)));
  }

  private static HttpMessage statusResponse(RetirementStatusReply reply) {
    if (!reply.known()) {
      return GatewayResponses.problem(404, "no such retirement");
    }
    return GatewayResponses.json(200, reply.completed() ? COMPLETED : IN_PROGRESS);
  }
}
