package org.otterpond.server;

import org.otterpond.net.GatewayResponses;
import org.otterpond.net.RequestHandler;
import org.otterpond.net.ServerExchange;
import org.otterpond.proxy.ProxyHandler;

/** Answers readiness probes: whether the node serves requests. */
final class ReadinessHandler implements RequestHandler {
  private static final String PATH = "/-/readiness";

  private final ProxyHandler proxy;

  ReadinessHandler(ProxyHandler proxy) {
    this.proxy = proxy;
  }

  @Override
  public void handle(ServerExchange exchange) {
    if (!exchange.request().path().equals(PATH)) {
      exchange.answer(GatewayResponses.problem(404, "no such call"));
    } else if (proxy.ready()) {
      exchange.answer(GatewayResponses.json(200, "{\"ready\":true}"));
    } else {
      exchange.answer(GatewayResponses.json(503, "{\"ready\":false}"));
    }
  }
}
