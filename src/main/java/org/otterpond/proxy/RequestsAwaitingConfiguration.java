package org.otterpond.proxy;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.otterpond.net.EventLoop;
import org.otterpond.net.GatewayResponses;
import org.otterpond.net.HttpMessage;
import org.otterpond.net.ServerExchange;

/**
 * Requests that arrive before the first configuration. A node that has just started gets it in a
 * moment; a request waits for it during a part of its time.
 */
final class RequestsAwaitingConfiguration {
  private static final long MAX_WAIT_MICROS = 600_000;
  private static final double RETRY_AFTER_SECONDS = 0.3;

  private final EventLoop eventLoop;
  private final DepartureMetrics departures;
  private final Set<ServerExchange> waiting = new LinkedHashSet<>();

  RequestsAwaitingConfiguration(EventLoop eventLoop, DepartureMetrics departures) {
    this.eventLoop = eventLoop;
    this.departures = departures;
  }

  void add(ServerExchange exchange) {
    waiting.add(exchange);
    exchange.onClientGone(() -> cancel(exchange));
    long waitMicros = Math.min(MAX_WAIT_MICROS, timeLeftMicros(exchange.request()) * 3 / 10);
    eventLoop.after(waitMicros, () -> expire(exchange));
  }

  private static long timeLeftMicros(HttpMessage request) {
    try {
      return TimeRemaining.micros(request, LatencyTarget.DEFAULT_MICROS);
    } catch (InvalidRequestException e) {
      // Rejected at once: nothing says how long the client waits.
      return 0;
    }
  }

  /** The client has left. Nothing is begun of the request, whose kind is not known yet. */
  private void cancel(ServerExchange exchange) {
    if (waiting.remove(exchange)) {
      departures.cancelledUnrouted(RequestStage.CONFIGURATION);
      exchange.abandon();
    }
  }

  private void expire(ServerExchange exchange) {
    if (waiting.remove(exchange)) {
      exchange.answer(GatewayResponses.unavailable("no configuration yet", RETRY_AFTER_SECONDS));
    }
  }

  /** Removes and returns all requests in the order of their arrival. */
  List<ServerExchange> removeAll() {
    List<ServerExchange> all = new ArrayList<>(waiting);
    waiting.clear();
    return all;
  }
}
