package org.otterpond.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.otterpond.config.NodeSettings;
import org.otterpond.config.Route;
import org.otterpond.config.RouteTarget;
import org.otterpond.config.RouteType;
import org.otterpond.control.state.WorkerInstance;
import org.otterpond.control.state.WorkerState;
import org.otterpond.net.HttpMessage;
import org.otterpond.net.ServerExchanges;

/** The monitor alone, with nobody who cancels: it must find what is kept and what is begun. */
class AbandonedWorkMonitorTest {
  private final DepartureMetrics metrics = new DepartureMetrics();
  private final List<Runnable> scheduled = new ArrayList<>();
  private final AbandonedWorkMonitor monitor =
      new AbandonedWorkMonitor((micros, task) -> scheduled.add(task), metrics);
  private NodeSettings settings;
  private RequestContext request;

  @BeforeEach
  void watchIdempotentRequest(@TempDir Path folder) throws Exception {
    Path file = folder.resolve("local.json");
    Files.writeString(
        file,
        "{\"node_name\":\"n\",\"ip\":\"127.0.0.1\",\"zone\":\"z\",\"listen_points\":{},"
            + "\"internal_port_range\":[1,1],\"seed_peers\":[\"127.0.0.1:1\"],"
            + "\"initial_start\":true,\"bounds\":{}}");
    settings = NodeSettings.load(file);
    request = request(RouteType.IDEMPOTENT);
    monitor.watch(request);
  }

  private RequestContext request(RouteType type) {
    Route route =
        new Route(
            "r", "h", "/", type, 1, 1, 0, List.of(new RouteTarget("s", 1)), 2, false, false, 0);
    ServiceEndpoints endpoints =
        new ServiceEndpoints(
            "s",
            new Random(1),
            settings,
            new SlowStartLimiter(settings, () -> 0, new SlowStartMetrics()));
    return new RequestContext(
        ServerExchanges.receivedAtMicros(HttpMessage.request("GET", "/"), 0),
        route,
        null,
        endpoints);
  }

  private long violationsAfterDeparture() {
    ServerExchanges.clientLeaves(request.exchange);
    scheduled.forEach(Runnable::run);
    return metrics.violations.sum();
  }

  @Test
  void requestThatHoldsNothingIsNoViolation() {
    assertEquals(0, violationsAfterDeparture());
    assertEquals(1, scheduled.size());
  }

  @Test
  void openAttemptIsFound() {
    WorkerInstance worker =
        new WorkerInstance("i", "s", "127.0.0.1:1", "z", "v", 1, WorkerState.IN_SERVICE, 0, 0);
    request.begin(new Attempt(new WorkerEndpoint(worker, null, new LatencyAverage()), 0));
    assertEquals(1, violationsAfterDeparture());
  }

  @Test
  void placeInQueueIsFound() {
    request.endpoints.queue().add(request);
    assertEquals(1, violationsAfterDeparture());
  }

  @Test
  void quotaTokenIsFound() {
    request.quotaTokenReserved = true;
    assertEquals(1, violationsAfterDeparture());
  }

  @ParameterizedTest
  @CsvSource({"IDEMPOTENT,1,0", "NON_IDEMPOTENT,1,0", "KEYED,0,1"})
  void attemptBegunAfterDepartureIsFoundUnlessKeyed(RouteType type, int violations, int counted) {
    RequestContext left = request(type);
    ServerExchanges.clientLeaves(left.exchange);

    monitor.attemptBegins(left);

    assertEquals(violations, metrics.violations.sum());
    assertEquals(counted, metrics.attemptsAfterDeparture.sum());
  }
}
