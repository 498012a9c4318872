package org.otterpond.tools;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.otterpond.control.message.CompressedBytes;
import org.otterpond.control.message.WriteConfigurationRequest;
import org.otterpond.net.EventLoop;
import org.otterpond.net.PeerTransport;

/**
 * The hollow nodes of a scale run with their workers, which share one event loop. The methods are
 * called from another thread than the event loop's and wait for it.
 */
final class HollowFleet {
  /** The port on which nodes reach each other, at every address. */
  static final int INTERNAL_PORT = 17_540;

  static final String ZONE = "zone";

  private static final int FIRST_WORKER_PORT = 18_080;
  private static final String SERVICE = "scale";
  private static final int ADDRESSES_PER_SUBNET = 250;
  private static final int FIRST_NODE_SUBNET = 2;
  private static final int FIRST_WORKER_SUBNET = 10;
  private static final long INSTANCE_HASH = 0x9e3779b97f4a7c15L;
  private static final int MAX_WORKERS = 64;
  private static final int HOSTS = 9;
  private static final int GUARD_TIMER_MILLIS = 1_000;
  private static final long CALL_TIMEOUT_SECONDS = 20;
  private static final long AWAIT_INTERVAL_MILLIS = 50;
  private static final long WRITE_TIMEOUT_MICROS = 10_000_000;
  private static final long WRITE_RESEND_MICROS = 1_000_000;

  private final EventLoop eventLoop;
  private final List<String> seeds;
  private final Load load;
  private final List<HollowNode> nodes = new ArrayList<>();
  private final List<SampleWorkerServer> workers = new ArrayList<>();

  /**
   * What each node does.
   *
   * @param workers the workers that send heartbeats to it
   * @param locksPerSecond the idempotency-key locks that it requests
   * @param repeatedPart the part of these that are for a key locked before, from 0 to 1
   * @param keyRanges whether the workers take grants of key ranges
   */
  record Load(int workers, double locksPerSecond, double repeatedPart, boolean keyRanges) {}

  private HollowFleet(EventLoop eventLoop, List<String> seeds, Load load) {
    this.eventLoop = eventLoop;
    this.seeds = seeds;
    this.load = load;
  }

  /** Starts the event loop, on a daemon thread, without nodes. */
  static HollowFleet start(List<String> seeds, Load load) throws IOException {
    EventLoop eventLoop = new EventLoop();
    Thread owner = new Thread(eventLoop, "hollow-nodes");
    owner.setDaemon(true);
    owner.start();
    return new HollowFleet(eventLoop, seeds, load);
  }

  int size() {
    return nodes.size();
  }

  /** Adds nodes until there are this many. */
  void growTo(int size) throws InterruptedException {
    call(
        () -> {
          while (nodes.size() < size) {
            addNode(nodes.size() + 1);
          }
          return null;
        });
  }

  private void addNode(int number) {
    try {
      String address = address(FIRST_NODE_SUBNET, number) + ":" + INTERNAL_PORT;
      HollowNode node = new HollowNode(eventLoop, address, ZONE, seeds);
      nodes.add(node);
      node.agent().start();
      node.sendHeartbeats(addWorkers(number), SERVICE);
      if (load.locksPerSecond() > 0) {
        node.requestLocks(load.locksPerSecond(), load.repeatedPart());
      }
    } catch (IOException e) {
      throw new UncheckedIOException("hollow node " + number + " cannot be started", e);
    }
  }

  /** Returns the addresses of a node's workers by instance; they listen only if they must. */
  private Map<String, String> addWorkers(int nodeNumber) throws IOException {
    Map<String, String> addresses = new LinkedHashMap<>();
    for (int worker = 0; worker < load.workers(); worker++) {
      long hash = ((long) nodeNumber * MAX_WORKERS + worker) * INSTANCE_HASH;
      String instance = "i-" + Long.toHexString(hash >>> 8);
      String address =
          address(FIRST_WORKER_SUBNET, nodeNumber) + ":" + (FIRST_WORKER_PORT + worker);
      addresses.put(instance, address);
      if (load.keyRanges()) {
        workers.add(new SampleWorkerServer(eventLoop, instance, PeerTransport.address(address)));
      }
    }
    return addresses;
  }

  private static String address(int firstSubnet, int number) {
    return "127.0."
        + (firstSubnet + number / ADDRESSES_PER_SUBNET)
        + "."
        + (1 + number % ADDRESSES_PER_SUBNET);
  }

  /** Waits until every node is in touch with the primary. */
  void awaitInTouch(int timeoutSeconds) throws InterruptedException {
    await(node -> node.agent().known() != null && !node.agent().outOfTouch(), timeoutSeconds);
  }

  /**
   * Writes a configuration and waits until every node uses it.
   *
   * @return the microseconds from the request to the last node
   */
  long spreadConfiguration(long revision, int routes, int timeoutSeconds)
      throws InterruptedException {
    String text = configuration(revision, routes).toString();
    long writtenAt = EventLoop.now();
    call(
        () -> {
          write(revision - 1, text);
          return null;
        });
    await(node -> node.revision() >= revision, timeoutSeconds);
    long lastAppliedAt =
        call(() -> nodes.stream().mapToLong(HollowNode::revisionAppliedAt).max().orElse(0));
    return lastAppliedAt - writtenAt;
  }

  private void write(long baseRevision, String text) {
    nodes
        .get(0)
        .agent()
        .ask(
            new WriteConfigurationRequest(
                WriteConfigurationRequest.REPLACE, baseRevision, CompressedBytes.ofText(text)),
            WRITE_TIMEOUT_MICROS,
            WRITE_RESEND_MICROS,
            reply -> {});
  }

  private JsonObject configuration(long revision, int routeCount) {
    JsonObject service = new JsonObject();
    service.addProperty("name", SERVICE);
    service.addProperty("partitioned", load.keyRanges());
    JsonArray services = new JsonArray();
    services.add(service);
    JsonArray routes = new JsonArray();
    for (int i = 0; i < routeCount; i++) {
      JsonObject route = new JsonObject();
      route.addProperty("name", "r" + i);
      route.addProperty("host_name", "h" + i % HOSTS);
      route.addProperty("path_prefix", "/p" + i + "x" + revision + "/");
      route.addProperty("route_type", "idempotent");
      route.addProperty("guard_timer_ms", GUARD_TIMER_MILLIS);
      route.addProperty("target_service", SERVICE);
      routes.add(route);
    }
    JsonObject configuration = new JsonObject();
    configuration.addProperty("revision", revision);
    configuration.add("service_table", services);
    configuration.add("route_table", routes);
    return configuration;
  }

  /** The totals of all nodes and workers. */
  LoadTotals totals() throws InterruptedException {
    return call(
        () -> {
          long served = workers.stream().mapToLong(SampleWorkerServer::served).sum();
          LoadTotals ofWorkers = new LoadTotals(0, 0, 0, 0, 0, 0, served);
          return nodes.stream().map(HollowNode::totals).reduce(ofWorkers, LoadTotals::plus);
        });
  }

  private void await(Predicate<HollowNode> condition, int timeoutSeconds)
      throws InterruptedException {
    long start = System.nanoTime();
    while (!call(() -> nodes.stream().allMatch(condition))) {
      if (System.nanoTime() - start > TimeUnit.SECONDS.toNanos(timeoutSeconds)) {
        throw new IllegalStateException(
            "not reached in " + timeoutSeconds + " s with " + nodes.size() + " nodes");
      }
      Thread.sleep(AWAIT_INTERVAL_MILLIS);
    }
  }

  /** Runs a task on the owner thread and waits for its result. */
  private <T> T call(Supplier<T> task) throws InterruptedException {
    CompletableFuture<T> result = new CompletableFuture<>();
    eventLoop.execute(
        () -> {
          try {
            result.complete(task.get());
          } catch (RuntimeException e) {
            result.completeExceptionally(e);
          }
        });
    try {
      return result.get(CALL_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    } catch (ExecutionException e) {
      throw new IllegalStateException(e.getCause());
    } catch (TimeoutException e) {
      throw new IllegalStateException("the hollow nodes cannot keep up", e);
    }
  }
}
