package org.otterpond.server;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.LongAdder;
import org.otterpond.control.agent.ControlPlaneAgent;
import org.otterpond.net.EventLoop;
import org.otterpond.net.HttpMessage;
import org.otterpond.net.ServerExchange;
import org.otterpond.proxy.DepartureMetrics;
import org.otterpond.proxy.ProxyHandler;
import org.otterpond.proxy.ProxyMetrics;

/**
 * The metrics in the text format of Prometheus. The registry is created by the first request, which
 * keeps a node that nobody scrapes small.
 */
final class MetricsPage {
  private static final String CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";
  private static final double MICROS_PER_SECOND = 1e6;

  private final ProxyMetrics metrics;
  private final ProxyHandler proxy;
  private final ControlPlaneAgent agent;
  private PrometheusMeterRegistry registry;

  MetricsPage(ProxyMetrics metrics, ProxyHandler proxy, ControlPlaneAgent agent) {
    this.metrics = metrics;
    this.proxy = proxy;
    this.agent = agent;
  }

  /** Answers a scrape. */
  void read(ServerExchange exchange, String name) {
    if (registry == null) {
      registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
      registerCounters(registry);
      registerDepartures(registry);
      registerSlowStarts(registry);
      registerGauges(registry);
    }
    exchange.answer(
        HttpMessage.response(200)
            .header("Content-Type", CONTENT_TYPE)
            .body(registry.scrape().getBytes(StandardCharsets.UTF_8)));
  }

  private void registerCounters(PrometheusMeterRegistry meters) {
    count(meters, "otterpond.requests", "Requests received", metrics.requests);
    count(meters, "otterpond.requests.unrouted", "Requests with no route", metrics.unrouted);
    count(meters, "otterpond.attempts", "Requests sent to a worker", metrics.attempts);
    count(meters, "otterpond.attempts.retried", "Attempts after the first", metrics.retries);
    count(
        meters, "otterpond.attempts.hedged", "Attempts made beside one still open", metrics.hedges);
    count(
        meters,
        "otterpond.attempts.turned_away",
        "Attempts that a worker disowned",
        metrics.rejectedByWorker);
    count(
        meters,
        "otterpond.attempts.failed",
        "Attempts without a whole answer",
        metrics.failedAttempts);
    count(meters, "otterpond.answers", "Answers of workers passed on", metrics.responses);
    count(meters, "otterpond.refusals", "Requests refused unrun", metrics.rejected);
    count(meters, "otterpond.timeouts", "Requests that reached their deadline", metrics.timeouts);
    count(meters, "otterpond.replays", "Repeats answered from the ledger", metrics.replays);
    count(
        meters,
        "otterpond.requests.unauthorised",
        "Requests without a key that a tenant holds",
        metrics.unauthorized);
    count(
        meters,
        "otterpond.requests.stale",
        "Requests refused as keys may have been withdrawn unheard",
        metrics.staleAccessKeys);
    count(
        meters,
        "otterpond.requests.over_quota",
        "Requests beyond their tenant's quota",
        metrics.overQuota);
  }

  private void registerDepartures(PrometheusMeterRegistry meters) {
    DepartureMetrics departures = metrics.departures;
    departures.visitCancelled(
        (kind, stage, count) ->
            countDepartures(meters, "otterpond.departures.cancelled", kind, stage, count));
    departures.visitContinued(
        (kind, stage, count) ->
            countDepartures(meters, "otterpond.departures.continued", kind, stage, count));
    count(
        meters,
        "otterpond.departures.attempts",
        "Attempts of keyed requests begun after the client had left",
        departures.attemptsAfterDeparture);
    count(
        meters,
        "otterpond.departures.violations",
        "Work found that was kept for clients that had left",
        departures.violations);
  }

  private void registerSlowStarts(PrometheusMeterRegistry meters) {
    count(
        meters,
        "otterpond.slow_start.requests",
        "Requests sent to workers in slow start",
        metrics.slowStart.requests);
    count(
        meters,
        "otterpond.slow_start.violations",
        "Requests beyond this node's share of what a worker in slow start bears",
        metrics.slowStart.violations);
  }

  private static void countDepartures(
      PrometheusMeterRegistry meters, String name, String kind, String stage, LongAdder count) {
    FunctionCounter.builder(name, count, LongAdder::sum)
        .description("Requests whose clients left, by kind and by what they waited for")
        .tag("kind", kind)
        .tag("stage", stage)
        .register(meters);
  }

  private void registerGauges(PrometheusMeterRegistry meters) {
    Gauge.builder("otterpond.configuration.confirmed.age", this, MetricsPage::confirmationAge)
        .baseUnit("seconds")
        .register(meters);
    Gauge.builder("otterpond.requests.open", proxy, ProxyHandler::inFlight).register(meters);
    Gauge.builder("otterpond.configuration.revision", agent, ControlPlaneAgent::revision)
        .register(meters);
    Gauge.builder("otterpond.epoch", agent, MetricsPage::epoch).register(meters);
    Gauge.builder("otterpond.primary", agent, node -> node.leading() ? 1 : 0).register(meters);
  }

  /** Returns the seconds since the configuration was last confirmed to be the newest. */
  private double confirmationAge() {
    return (EventLoop.now() - agent.configurationConfirmedAt()) / MICROS_PER_SECOND;
  }

  private static long epoch(ControlPlaneAgent agent) {
    return agent.known() == null ? 0 : agent.known().epoch();
  }

  private static void count(
      PrometheusMeterRegistry meters, String name, String description, LongAdder adder) {
    FunctionCounter.builder(name, adder, LongAdder::sum).description(description).register(meters);
  }
}
