package org.otterpond.server;

import java.util.List;
import org.otterpond.config.ClientLimits;
import org.otterpond.config.ConfigException;
import org.otterpond.control.agent.ControlPlaneAgent;
import org.otterpond.net.GatewayResponses;
import org.otterpond.net.HttpMessage;
import org.otterpond.net.RequestHandler;
import org.otterpond.net.ServerExchange;
import org.otterpond.proxy.DepartureMetrics;

/** Dispatches the requests of the control point to the resources of the control API. */
final class ControlApiHandler implements RequestHandler {
  private static final int MAX_HEADER_BYTES = 32 * 1024;
  private static final long MAX_BODY_BYTES = 16L << 20;
  private static final long HEADER_TIMEOUT_MICROS = 5_000_000;
  private static final long IDLE_TIMEOUT_MICROS = 20_000_000;
  private static final ClientLimits LIMITS =
      new ClientLimits(
          MAX_HEADER_BYTES, MAX_BODY_BYTES, HEADER_TIMEOUT_MICROS, IDLE_TIMEOUT_MICROS);

  private final List<Route> routes;

  /**
   * One call of the API.
   *
   * @param method the HTTP method
   * @param path the whole path, or its prefix if a name follows
   * @param named whether a name follows the path
   * @param call serves the call
   */
  private record Route(String method, String path, boolean named, ControlApiCall call) {
    boolean matches(HttpMessage request) {
      return request.method().equals(method)
          && (named ? request.path().startsWith(path) : request.path().equals(path));
    }

    void handle(ServerExchange exchange) throws ConfigException {
      call.handle(exchange, exchange.request().path().substring(path.length()));
    }
  }

  /**
   * Creates the handler.
   *
   * @param departures this node's counters of clients that left
   * @param controlPoint address of the control point, {@code ip:port}
   */
  ControlApiHandler(
      ControlPlaneAgent agent,
      MetricsPage metrics,
      DepartureMetrics departures,
      String controlPoint) {
    ControlPoints controlPoints = new ControlPoints(controlPoint);
    PrimaryCaller primary = new PrimaryCaller(agent);
    HeartbeatResource heartbeats = new HeartbeatResource(agent, controlPoints);
    ConfigurationResource configuration = new ConfigurationResource(agent, primary, controlPoints);
    RetirementResource retirement = new RetirementResource(primary);
    StatusResource status = new StatusResource(primary, departures);
    routes =
        List.of(
            new Route("POST", "/-/Instances.Heartbeat/", true, heartbeats::heartbeat),
            new Route("POST", "/-/Instances.Deregister/", true, heartbeats::deregister),
            new Route("POST", "/-/Configuration.Replace", false, configuration::replace),
            new Route("POST", "/-/Configuration.Modify", false, configuration::modify),
            new Route("GET", "/-/Configuration.Read", false, configuration::read),
            new Route("POST", "/-/Retire.Begin/", true, retirement::begin),
            new Route("GET", "/-/Retire.Read/", true, retirement::read),
            new Route("GET", "/-/status", false, status::read),
            new Route("GET", "/-/metrics", false, metrics::read));
  }

  @Override
  public ClientLimits limits() {
    return LIMITS;
  }

  @Override
  public void handle(ServerExchange exchange) {
    for (Route route : routes) {
      if (route.matches(exchange.request())) {
        handle(route, exchange);
        return;
      }
    }
    exchange.answer(GatewayResponses.problem(404, "no such call"));
  }

  private static void handle(Route route, ServerExchange exchange) {
    try {
      route.handle(exchange);
    } catch (ConfigException e) {
      exchange.answer(GatewayResponses.problem(400, e.getMessage()));
    }
  }
}
