package org.otterpond.proxy;

import org.otterpond.config.GatewayConfiguration;
import org.otterpond.config.Route;
import org.otterpond.config.Tenant;
import org.otterpond.net.ServerExchange;
import org.otterpond.protocol.WireRecord;

/**
 * Handles what clients send to asynchronous routes and their queries about stored messages. Called
 * on the owner thread.
 */
public interface MessageRequestHandler {
  /** Returns whether a path without its query asks for the state or body of a stored message. */
  boolean isMessageQuery(String path);

  /** Stores the request as a message and answers once that is durable or has failed. */
  void submit(
      ServerExchange exchange, Route route, Tenant tenant, GatewayConfiguration configuration);

  /** Answers a query about a stored message; the tenant is null where there are no tenants. */
  void query(ServerExchange exchange, Tenant tenant);

  /** Takes in an assignment of the control plane; those about other things are ignored. */
  void assigned(WireRecord entry);

  /** Returns the number of submitted messages that are not answered yet. */
  int inFlight();

  /** Answers every submitted message that is still in flight, as the node ends. */
  void endAll();
}
