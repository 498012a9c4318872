package org.otterpond.proxy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.otterpond.config.ConfigException;
import org.otterpond.config.NodeSettings;
import org.otterpond.control.state.WorkerInstance;
import org.otterpond.control.state.WorkerState;

/**
 * A model of many nodes that send the requests of one service to its workers, in simulated time.
 * Each node selects on its own, as in production; the model counts what each worker gets from all.
 */
final class SlowStartFleet {
  /** What a worker bears in its slow start. */
  static final double COLD_REQUESTS_PER_SECOND = 3.6;

  /** Most requests that may reach a worker in slow start within any one second. */
  static final int ARRIVALS_BOUND = (int) (COLD_REQUESTS_PER_SECOND * 1.5 + 8);

  private static final long SECOND_MICROS = 1_000_000;
  private static final long STEP_MICROS = 1_000;
  private static final long WORK_MICROS = 336_000;
  private static final int COLD_SLOWDOWN = 2;
  private static final int SLOTS = 6;
  private static final int QUEUE_LENGTH = 24;
  private static final int MAX_ATTEMPTS = 2;
  private static final int NODES_PER_WORKER = 3;
  private static final String ZONE = "z";

  /** A response: of an executed request, or of one that the worker had no room for. */
  private record Response(
      long atMicros, int node, WorkerEndpoint endpoint, Set<String> rejectedBy) {
    boolean executed() {
      return rejectedBy.isEmpty();
    }
  }

  /** One worker with its slots and its queue. */
  private static final class Worker {
    private WorkerInstance instance;
    private final List<Long> arrivals = new ArrayList<>();
    private final PriorityQueue<Long> slotsFreeAt = new PriorityQueue<>();
    private final PriorityQueue<Long> endsOfAccepted = new PriorityQueue<>();

    Worker(WorkerInstance instance) {
      this.instance = instance;
      for (int i = 0; i < SLOTS; i++) {
        slotsFreeAt.add(0L);
      }
    }

    /** Takes a request; returns when it is executed, or 0 if there is no room for it. */
    long accept(long now) {
      arrivals.add(now);
      while (!endsOfAccepted.isEmpty() && endsOfAccepted.peek() <= now) {
        endsOfAccepted.poll();
      }
      if (endsOfAccepted.size() >= SLOTS + QUEUE_LENGTH) {
        return 0;
      }
      long work = instance.slowStartEndMicros() > now ? COLD_SLOWDOWN * WORK_MICROS : WORK_MICROS;
      long end = Math.max(now, slotsFreeAt.poll()) + work;
      slotsFreeAt.add(end);
      endsOfAccepted.add(end);
      return end;
    }
  }

  private final Random random = new Random(47);
  private final List<ServiceEndpoints> nodes = new ArrayList<>();
  private final Map<String, Worker> workers = new HashMap<>();
  private final List<String> addresses = new ArrayList<>();
  private final PriorityQueue<Response> responses =
      new PriorityQueue<>(Comparator.comparingLong(Response::atMicros));
  private long now = 1;

  /**
   * Since when all nodes are sure of their leases; they are sure of them all the time by default.
   */
  private long leaseConfirmedAtMicros = Long.MAX_VALUE;

  /** The counters of all nodes. */
  final SlowStartMetrics metrics = new SlowStartMetrics();

  private long slowStartBegin;
  private double owedRequests;

  SlowStartFleet(Path folder, int size) throws IOException, ConfigException {
    for (int rank = 0; rank < size; rank++) {
      NodeSettings settings = settings(folder, rank);
      SlowStartLimiter limiter =
          new SlowStartLimiter(settings, () -> leaseConfirmedAtMicros, metrics);
      ServiceEndpoints node =
          new ServiceEndpoints("s", new Random(random.nextLong()), settings, limiter);
      limiter.setRequestsPerSecond(COLD_REQUESTS_PER_SECOND);
      node.setZoneShares(new ZoneShares(ZONE, Map.of(ZONE, size), rank));
      nodes.add(node);
      addresses.add(settings.internalAddress());
    }
  }

  private static NodeSettings settings(Path folder, int rank) throws IOException, ConfigException {
    Path file = folder.resolve("local.json");
    Files.writeString(
        file,
        "{\"node_name\":\"n\",\"ip\":\"10.0.0."
            + (1 + rank)
            + "\",\"zone\":\"z\",\"listen_points\":{},"
            + "\"internal_port_range\":[1,1],\"seed_peers\":[\"127.0.0.1:1\"],"
            + "\"initial_start\":true,\"bounds\":{\"warmup_excess\":1.5,\"warmup_slack\":8}}");
    return NodeSettings.load(file);
  }

  void addWarmWorkers(int count) {
    for (int i = 0; i < count; i++) {
      addColdWorker("warm-" + i, 0);
    }
  }

  /** Adds a worker; it is warm if its slow start takes no time. */
  void addColdWorker(String id, long slowStartMicros) {
    WorkerInstance worker =
        new WorkerInstance(
            id,
            "s",
            "h:1",
            ZONE,
            "-",
            SLOTS,
            WorkerState.IN_SERVICE,
            1,
            end(slowStartMicros),
            chooseNodes());
    workers.put(id, new Worker(worker));
    nodes.forEach(node -> node.add(new WorkerEndpoint(worker, null, node.latency())));
  }

  /** Chooses nodes for a worker, as a primary does. */
  private List<String> chooseNodes() {
    List<String> shuffled = new ArrayList<>(addresses);
    Collections.shuffle(shuffled, random);
    return List.copyOf(shuffled.subList(0, Math.min(NODES_PER_WORKER, shuffled.size())));
  }

  /** Another primary chooses other nodes for a worker, and only some nodes learn of it. */
  void chooseAgain(String id, int informedNodes) {
    WorkerInstance chosenAgain = workers.get(id).instance.withSlowStartNodes(chooseNodes());
    for (int node = 0; node < informedNodes; node++) {
      nodes.get(node).endpoint(id).update(chosenAgain, now);
    }
  }

  /** From now on no node has news of its lease. */
  void loseCore() {
    leaseConfirmedAtMicros = now;
  }

  /** Begins the slow start of a worker that is in service. */
  void becomesCold(String id, long slowStartMicros) {
    WorkerInstance cold = workers.get(id).instance.withSlowStartEnd(end(slowStartMicros));
    workers.get(id).instance = cold;
    for (ServiceEndpoints node : nodes) {
      node.endpoint(id).update(cold, now);
      node.endpointUpdated();
    }
  }

  private long end(long slowStartMicros) {
    slowStartBegin = now;
    return slowStartMicros == 0 ? 0 : now + slowStartMicros;
  }

  /** Plays so much time, with so many requests a second at random nodes. */
  void run(long micros, int requestsPerSecond) {
    long until = now + micros;
    while (now < until) {
      now += STEP_MICROS;
      deliverResponses();
      owedRequests += (double) requestsPerSecond * STEP_MICROS / SECOND_MICROS;
      for (; owedRequests >= 1; owedRequests--) {
        request(random.nextInt(nodes.size()), Set.of());
      }
    }
  }

  /** Sends one request from a node, unless the node finds no worker for it. */
  void request(int node, Set<String> excluded) {
    WorkerEndpoint endpoint = nodes.get(node).select(now, excluded);
    if (endpoint == null) {
      return;
    }
    endpoint.attemptStarted(now);
    long end = workers.get(endpoint.id()).accept(now);
    if (end > 0) {
      responses.add(new Response(end, node, endpoint, Set.of()));
    } else {
      Set<String> rejectedBy = new HashSet<>(excluded);
      rejectedBy.add(endpoint.id());
      responses.add(new Response(now + STEP_MICROS, node, endpoint, rejectedBy));
    }
  }

  private void deliverResponses() {
    while (!responses.isEmpty() && responses.peek().atMicros() <= now) {
      Response response = responses.poll();
      response.endpoint().attemptEnded(now);
      if (response.executed()) {
        response.endpoint().requestExecuted(now);
      } else {
        response.endpoint().requestRejected(now);
        if (response.rejectedBy().size() < MAX_ATTEMPTS) {
          request(response.node(), response.rejectedBy());
        }
      }
    }
  }

  /** Returns how many requests a worker has got. */
  int arrivals(String id) {
    return workers.get(id).arrivals.size();
  }

  /** Returns the most requests that a worker has got within any one second of its slow start. */
  int mostArrivalsInOneSecond(String id) {
    Worker worker = workers.get(id);
    long end = worker.instance.slowStartEndMicros();
    List<Long> times =
        worker.arrivals.stream().filter(at -> at > slowStartBegin && at < end).toList();
    int most = 0;
    for (int first = 0, last = 0; last < times.size(); last++) {
      while (times.get(last) - times.get(first) >= SECOND_MICROS) {
        first++;
      }
      most = Math.max(most, last - first + 1);
    }
    return most;
  }
}
