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
import org.otterpond.proxy.ProxyHandler;
import org.otterpond.proxy.ProxyMetrics;

/**
 * The metrics, by Micrometer. The registry is made when it is first asked for, to keep a quiet node
 * small.
 */
final class MetricsPage {
  private final ProxyMetrics tally;
  private final ProxyHandler proxy;
  private final ControlPlaneAgent node;
  private PrometheusMeterRegistry registry;

  MetricsPage(ProxyMetrics tally, ProxyHandler proxy, ControlPlaneAgent node) {
    this.tally = tally;
    this.proxy = proxy;
    this.node = node;
  }

  HttpMessage page() {
    if (registry == null) {
      registry = fill(new PrometheusMeterRegistry(PrometheusConfig.DEFAULT));
    }
    return HttpMessage.response(200)
        .header("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
        .body(registry.scrape().getBytes(StandardCharsets.UTF_8));
  }

  private PrometheusMeterRegistry fill(PrometheusMeterRegistry r) {
    count(r, "otterpond.requests", "Requests received", tally.requests);
    count(r, "otterpond.requests.unrouted", "Requests with no route", tally.unrouted);
    count(r, "otterpond.attempts", "Requests sent to a worker", tally.attempts);
    count(r, "otterpond.attempts.retried", "Attempts after the first", tally.retries);
    count(r, "otterpond.attempts.hedged", "Attempts made beside one still open", tally.hedges);
    count(
        r,
        "otterpond.attempts.turned_away",
        "Attempts that a worker disowned",
        tally.rejectedByWorker);
    count(r, "otterpond.attempts.failed", "Attempts without a whole answer", tally.failedAttempts);
    count(r, "otterpond.answers", "Answers of workers passed on", tally.responses);
    count(r, "otterpond.refusals", "Requests refused unrun", tally.rejected);
    count(r, "otterpond.timeouts", "Requests that reached their deadline", tally.timeouts);
    count(r, "otterpond.replays", "Repeats answered from the ledger", tally.replays);
    count(
        r,
        "otterpond.requests.unauthorised",
        "Requests without a key that a tenant holds",
        tally.unauthorized);
    count(
        r,
        "otterpond.requests.stale",
        "Requests refused as keys may have been withdrawn unheard",
        tally.staleAccessKeys);
    count(
        r,
        "otterpond.requests.over_quota",
        "Requests beyond their tenant's quota",
        tally.overQuota);
    Gauge.builder(
            "otterpond.configuration.confirmed.age",
            node,
            n -> (EventLoop.now() - n.configurationConfirmedAt()) / 1e6)
        .baseUnit("seconds")
        .register(r);
    Gauge.builder("otterpond.requests.open", proxy, ProxyHandler::inFlight).register(r);
    Gauge.builder("otterpond.configuration.revision", node, n -> n.revision()).register(r);
    Gauge.builder("otterpond.epoch", node, n -> n.known() == null ? 0 : n.known().epoch())
        .register(r);
    Gauge.builder("otterpond.primary", node, n -> n.leading() ? 1 : 0).register(r);
    return r;
  }

  private static void count(PrometheusMeterRegistry r, String name, String what, LongAdder adder) {
    FunctionCounter.builder(name, adder, LongAdder::sum).description(what).register(r);
  }
}
