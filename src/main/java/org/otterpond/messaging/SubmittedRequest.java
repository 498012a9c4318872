package org.otterpond.messaging;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.apache.hc.core5.http.Header;
import org.otterpond.config.GatewayConfiguration;
import org.otterpond.config.Route;
import org.otterpond.config.Tenant;
import org.otterpond.messaging.message.AcceptedMessage;
import org.otterpond.messaging.message.MessageContent;
import org.otterpond.messaging.message.MessageDestination;
import org.otterpond.messaging.message.MessageKeys;
import org.otterpond.net.HttpMessage;
import org.otterpond.proxy.GatewayHeaders;
import org.otterpond.proxy.HeaderFilter;
import org.otterpond.proxy.InvalidRequestException;
import org.otterpond.proxy.TimeRemaining;

/** A client's request to an asynchronous route, checked, and the message that it makes. */
final class SubmittedRequest {
  private static final String ORDERING_KEY = "X-Otterpond-Ordering-Key";
  private static final String NOT_BEFORE = "X-Otterpond-Not-Before";
  private static final long DEFAULT_TIME_MICROS = 2_000_000;
  private static final long DEFAULT_RETENTION_MICROS = 3_600_000_000L;
  private static final long MAX_DELAY_MICROS = 30L * 86_400 * 1_000_000;
  private static final int MICROS_PER_MILLI = 1_000;

  private final HttpMessage request;
  private final Route route;
  private final String tenant;
  private final String orderingKey;
  private final String operationKey;
  private final long timeLeftMicros;
  private final long delayMicros;

  /**
   * Reads a request.
   *
   * @throws InvalidRequestException if a header is missing or malformed
   */
  SubmittedRequest(HttpMessage request, Route route, Tenant tenant) throws InvalidRequestException {
    this.request = request;
    this.route = route;
    this.tenant = tenant == null ? null : tenant.name();
    this.orderingKey = route.ordered() ? orderingKey(request) : null;
    this.timeLeftMicros = TimeRemaining.micros(request, DEFAULT_TIME_MICROS);
    this.delayMicros = delayMicros(request);
    this.operationKey = request.firstHeader(GatewayHeaders.OPERATION_KEY);
  }

  private static String orderingKey(HttpMessage request) throws InvalidRequestException {
    String key = request.firstHeader(ORDERING_KEY);
    if (key == null || key.isEmpty()) {
      throw new InvalidRequestException(ORDERING_KEY + ": missing on an ordered route");
    }
    return key;
  }

  private static long delayMicros(HttpMessage request) throws InvalidRequestException {
    String given = request.firstHeader(NOT_BEFORE);
    if (given == null) {
      return 0;
    }
    double micros;
    try {
      micros = MICROS_PER_MILLI * Double.parseDouble(given.trim());
    } catch (NumberFormatException e) {
      throw new InvalidRequestException(NOT_BEFORE + ": must be a number of milliseconds", e);
    }
    // Also false for NaN.
    boolean inRange = micros >= 0 && micros <= MAX_DELAY_MICROS;
    if (!inRange) {
      throw new InvalidRequestException(NOT_BEFORE + ": outside 0 to 30 days");
    }
    return (long) Math.ceil(micros);
  }

  String tenant() {
    return tenant;
  }

  /** Returns how long the client waits for the response. */
  long timeLeftMicros() {
    return timeLeftMicros;
  }

  /** Messages of one ordering key, and repeats of one operation, meet in one partition. */
  String placementKey(String uniqueId) {
    if (orderingKey != null) {
      return "order " + orderingKey;
    }
    return operationKey != null ? "operation " + operationKey : "id " + uniqueId;
  }

  /** Returns the message under the id given. */
  AcceptedMessage message(String id, GatewayConfiguration configuration) {
    return new AcceptedMessage(
        new MessageKeys(id, tenant, orderingKey, operationKey),
        new MessageDestination(
            request.firstHeader("Host").toLowerCase(Locale.ROOT),
            request.target(),
            configuration.revision()),
        new MessageContent(request.method(), headers(configuration.closed()), request.body()),
        delayMicros,
        route.retentionMicros() > 0 ? route.retentionMicros() : DEFAULT_RETENTION_MICROS);
  }

  /** Returns the headers that go to the worker, as name, value, name, value. */
  private List<String> headers(boolean accessKeyHidden) {
    HttpMessage forwarded = HttpMessage.request(request.method(), request.target());
    HeaderFilter.copyRequestHeaders(request, forwarded);
    if (accessKeyHidden) {
      forwarded.headers().removeHeaders(GatewayHeaders.AUTHORIZATION);
    }
    List<String> headers = new ArrayList<>();
    for (Header header : forwarded.headers().getHeaders()) {
      headers.add(header.getName());
      headers.add(header.getValue());
    }
    return headers;
  }
}
