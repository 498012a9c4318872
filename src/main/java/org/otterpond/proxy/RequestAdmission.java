package org.otterpond.proxy;

import java.util.Random;
import org.apache.hc.core5.http.Header;
import org.otterpond.config.GatewayConfiguration;
import org.otterpond.config.NodeSettings;
import org.otterpond.config.Tenant;
import org.otterpond.control.agent.ControlPlaneAgent;
import org.otterpond.net.EventLoop;
import org.otterpond.net.GatewayResponses;
import org.otterpond.net.HttpMessage;
import org.otterpond.net.ServerExchange;

/** Checks the access keys of requests, and that the configuration is fresh enough to do so. */
final class RequestAdmission {
  private static final String BEARER = "Bearer ";
  private static final long MIN_REVOCATION_MARGIN_MICROS = 250_000;
  private static final int REVOCATION_MARGIN_DIVISOR = 20;
  private static final double MIN_RETRY_AFTER_SECONDS = 0.2;
  private static final double RETRY_AFTER_SPREAD_SECONDS = 0.2;

  private final ControlPlaneAgent agent;
  private final Random random;
  private final ProxyMetrics metrics;
  private final boolean freshnessRequired;

  /** How old the newest confirmed configuration may be for its access keys to be trusted. */
  private final long maxConfigurationAgeMicros;

  RequestAdmission(
      ControlPlaneAgent agent, NodeSettings settings, Random random, ProxyMetrics metrics) {
    this.agent = agent;
    this.random = random;
    this.metrics = metrics;
    this.freshnessRequired = settings.revocationGlobal();
    long revocationMicros = settings.revokeMicros();
    this.maxConfigurationAgeMicros =
        revocationMicros
            - Math.max(MIN_REVOCATION_MARGIN_MICROS, revocationMicros / REVOCATION_MARGIN_DIVISOR);
  }

  /**
   * Returns the tenant whose access key came with a request. Returns null after answering the
   * request if there is none or if the access keys known here may be out of date.
   */
  Tenant authenticate(ServerExchange exchange, GatewayConfiguration configuration) {
    if (!accessKeysFresh()) {
      rejectAsStale(exchange);
      return null;
    }
    Tenant tenant = tenantByKey(exchange.request(), configuration);
    if (tenant == null && agent.outOfTouch()) {
      // The key may have come with a revision that has not reached this node.
      rejectAsStale(exchange);
    } else if (tenant == null) {
      rejectAsUnauthorized(exchange);
    }
    return tenant;
  }

  /** As {@link #authenticate}, but an unknown key is unauthorized also while out of touch. */
  Tenant authenticateMessageQuery(ServerExchange exchange, GatewayConfiguration configuration) {
    if (!accessKeysFresh()) {
      rejectAsStale(exchange);
      return null;
    }
    Tenant tenant = tenantByKey(exchange.request(), configuration);
    if (tenant == null) {
      rejectAsUnauthorized(exchange);
    }
    return tenant;
  }

  /**
   * Returns whether no revocation of an access key that must be in force can be unknown here. A
   * request admitted now was sent before now, so this check is the one that counts; time spent
   * suspended makes the configuration older.
   */
  boolean accessKeysFresh() {
    return !freshnessRequired
        || EventLoop.now() - agent.configurationConfirmedAt() < maxConfigurationAgeMicros;
  }

  /** Returns the tenant of the one well-formed access key of the request, or null. */
  private static Tenant tenantByKey(HttpMessage request, GatewayConfiguration configuration) {
    Header[] given = request.headers().getHeaders(GatewayHeaders.AUTHORIZATION);
    if (given.length != 1 || given[0].getValue() == null) {
      return null;
    }
    String value = given[0].getValue().trim();
    return value.regionMatches(true, 0, BEARER, 0, BEARER.length())
        ? configuration.tenantByKey(value.substring(BEARER.length()).trim())
        : null;
  }

  private void rejectAsStale(ServerExchange exchange) {
    metrics.staleAccessKeys.increment();
    exchange.answer(
        GatewayResponses.unavailable(
            "the access keys known here may be out of date",
            MIN_RETRY_AFTER_SECONDS + RETRY_AFTER_SPREAD_SECONDS * random.nextDouble()));
  }

  private void rejectAsUnauthorized(ServerExchange exchange) {
    metrics.unauthorized.increment();
    exchange.answer(
        GatewayResponses.problem(
                401, GatewayHeaders.AUTHORIZATION + ": no tenant has such an access key")
            .header("WWW-Authenticate", "Bearer"));
  }
}
