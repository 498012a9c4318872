package org.otterpond.proxy;

import java.util.Random;
import org.apache.hc.core5.http.Header;
import org.otterpond.config.GatewayConfiguration;
import org.otterpond.config.Route;
import org.otterpond.config.Tenant;
import org.otterpond.keyrange.KeyLoad;
import org.otterpond.keyrange.KeyRange;
import org.otterpond.net.HttpMessage;
import org.otterpond.net.ServerExchange;

/** Finds the route and the service of a request and sets its time limits. */
final class RequestRouter {
  private static final long MIN_QUEUE_MICROS = 20_000;

  /** Part of a quarter of the latency target that is left for the response after the queue. */
  private static final long QUEUE_MARGIN_MICROS = 10_000;

  private final Random random;
  private final ServiceDirectory services;
  private final KeyLoad.Meter keyLoad;
  private final String incarnation;
  private long lastLockNumber;

  RequestRouter(Random random, ServiceDirectory services, KeyLoad.Meter keyLoad, long incarnation) {
    this.random = random;
    this.services = services;
    this.keyLoad = keyLoad;
    this.incarnation = Long.toHexString(incarnation);
  }

  /** Returns the route of a request, or null. */
  static Route route(HttpMessage request, GatewayConfiguration configuration) {
    String host = request.firstHeader("Host");
    return host == null ? null : configuration.route(host, request.path());
  }

  /**
   * Returns the context of a request to a synchronous route.
   *
   * @throws InvalidRequestException if a header that the route needs is missing or malformed
   */
  RequestContext contextOf(ServerExchange exchange, Route route, Tenant tenant)
      throws InvalidRequestException {
    HttpMessage request = exchange.request();
    long totalMicros =
        Math.min(route.timeoutMicros(), TimeRemaining.micros(request, route.timeoutMicros()));
    String serviceName = route.serviceFor((long) (random.nextDouble() * route.totalWeight()));
    ServiceEndpoints endpoints = services.service(serviceName);
    RequestContext context = new RequestContext(exchange, route, tenant, endpoints);
    if (endpoints.partitioned()) {
      context.partitionKey = partitionKey(request);
      keyLoad.asked(serviceName, context.partitionKey);
    }
    context.setTimeLimits(totalMicros, queueMicros(context, totalMicros));
    if (context.keyed()) {
      context.operationKey = operationKey(request, route, tenant);
      context.lockToken = incarnation + "-" + Long.toHexString(++lastLockNumber);
    }
    return context;
  }

  private static long queueMicros(RequestContext context, long totalMicros) {
    long target = LatencyTarget.micros(context.route);
    // A key range on its way to a new owner arrives in a moment, within the latency target.
    long limit =
        context.hasPartitionKey() && context.endpoints.ownerExpectedSoon(context.partitionKey)
            ? target * 6 / 10
            : target / 4 - QUEUE_MARGIN_MICROS;
    return Math.max(MIN_QUEUE_MICROS, Math.min(limit, totalMicros / 2));
  }

  private static int partitionKey(HttpMessage request) throws InvalidRequestException {
    Header[] given = request.headers().getHeaders(GatewayHeaders.PARTITION_KEY);
    if (given.length == 1 && given[0].getValue() != null) {
      try {
        int key = Integer.parseInt(given[0].getValue().trim());
        if (key >= 0 && key <= KeyRange.LAST_KEY) {
          return key;
        }
      } catch (NumberFormatException e) {
        throw invalidPartitionKey(e);
      }
    }
    throw invalidPartitionKey(null);
  }

  private static InvalidRequestException invalidPartitionKey(NumberFormatException cause) {
    return new InvalidRequestException(
        GatewayHeaders.PARTITION_KEY + ": must be a whole number from 0 to " + KeyRange.LAST_KEY,
        cause);
  }

  /** Returns the key of the client's operation, apart from equal keys of other tenants or hosts. */
  private static String operationKey(HttpMessage request, Route route, Tenant tenant)
      throws InvalidRequestException {
    String given = request.firstHeader(GatewayHeaders.OPERATION_KEY);
    if (given == null || given.isEmpty()) {
      throw new InvalidRequestException(GatewayHeaders.OPERATION_KEY + ": missing");
    }
    String scope = tenant == null ? "host " + route.host() : "tenant " + tenant.name();
    return scope + "\n" + given;
  }
}
