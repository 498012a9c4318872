package org.otterpond.simulation;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.otterpond.control.state.WorkerInstance;
import org.otterpond.keyrange.KeyRange;
import org.otterpond.keyrange.KeyRangeRuntime;
import org.otterpond.protocol.WireRecord;

/**
 * The workers of one partitioned service: sends their heartbeats to the nodes and carries the
 * nodes' calls to them, some of which are lost.
 */
final class SimulatedWorkers {
  static final String SERVICE = "divided";

  /** How many keys are used, evenly spread over the key space. */
  static final int KEYS = 64;

  /** The distance between two keys that are used. */
  static final int KEY_STEP = (KeyRange.LAST_KEY + 1) / KEYS;

  private static final long HEARTBEAT_MICROS = 400_000;
  private static final long MIN_LATENCY_MICROS = 200;
  private static final int LATENCY_SPREAD_MICROS = 2_000;

  /** The longest time that a worker takes to finish the requests of a range that it releases. */
  private static final int RELEASE_WORK_MICROS = 300_000;

  private static final int REPORTED_WORK_MICROS = 50_000;

  private final SimulatedCluster cluster;
  private final SimulatedWorld world;
  private final Map<String, SimulatedWorker> workers = new LinkedHashMap<>();

  /** The number of requests for each key since the last report, by the node that forwarded them. */
  private final Map<String, Map<Integer, Integer>> requestCounts = new HashMap<>();

  /** How many workers have been started so far. */
  int incarnations;

  SimulatedWorkers(SimulatedCluster cluster) {
    this.cluster = cluster;
    this.world = cluster.world;
    cluster.nodes.forEach(node -> node.keyRangeWorkers = this);
  }

  /** The newest worker at each address. */
  Collection<SimulatedWorker> all() {
    return workers.values();
  }

  /** Starts a worker, in place of the one that there was at the address. */
  SimulatedWorker add(String address) {
    SimulatedWorker worker = new SimulatedWorker(world, "w" + ++incarnations, address);
    workers.put(address, worker);
    sendHeartbeats(worker);
    return worker;
  }

  private void sendHeartbeats(SimulatedWorker worker) {
    if (!worker.running || workers.get(worker.address) != worker) {
      return;
    }
    SimulatedNode node = cluster.randomRunningNode();
    if (node != null && !node.isFrozen()) {
      WorkerInstance heartbeat = worker.heartbeat(SERVICE);
      node.perform(() -> node.agent.beat(heartbeat, accepted -> {}));
    }
    world.schedule(HEARTBEAT_MICROS, () -> sendHeartbeats(worker));
  }

  /** Ends a worker and later starts another one, which holds no keys, at its address. */
  void crash(SimulatedWorker worker, long restartMicros) {
    worker.running = false;
    world.schedule(restartMicros, () -> add(worker.address));
  }

  /** One call of a node to a worker. */
  record Call(String from, String to, String path, String body, long timeoutMicros) {}

  /**
   * Carries a call to the worker at its address.
   *
   * @param answer called once, with status 0 if the call has timed out
   */
  void call(Call call, Consumer<KeyRangeRuntime.Answer> answer) {
    PendingCall pending = new PendingCall(answer);
    final long latencyMicros = MIN_LATENCY_MICROS + world.random.nextInt(LATENCY_SPREAD_MICROS);
    world.schedule(
        call.timeoutMicros(), () -> pending.complete(new KeyRangeRuntime.Answer(0, null, true)));
    if (!world.network.isPartitioned(call.from(), call.to())) {
      world.schedule(latencyMicros, () -> execute(call, pending, latencyMicros));
    }
  }

  private void execute(Call call, PendingCall pending, long latencyMicros) {
    SimulatedWorker worker = workers.get(call.to());
    if (worker == null || !worker.running || pending.done) {
      return;
    }
    JsonObject request = JsonParser.parseString(call.body()).getAsJsonObject();
    boolean grants = call.path().endsWith("grant");
    // A release is answered once the requests for its keys have ended.
    long workMicros = grants ? 0 : world.random.nextInt(RELEASE_WORK_MICROS);
    KeyRangeRuntime.Answer answer = grants ? worker.grant(request) : worker.release(request);
    boolean answerLost = world.random.nextInt(40) == 0;
    if (answerLost || world.network.isPartitioned(call.from(), call.to())) {
      return;
    }
    world.schedule(
        latencyMicros + workMicros,
        () -> {
          if (worker.running) {
            pending.complete(answer);
          }
        });
  }

  /** A call that is answered once: by the worker or by its time-out, whichever comes first. */
  private static final class PendingCall {
    private final Consumer<KeyRangeRuntime.Answer> answer;
    private boolean done;

    PendingCall(Consumer<KeyRangeRuntime.Answer> answer) {
      this.answer = answer;
    }

    void complete(KeyRangeRuntime.Answer result) {
      if (!done) {
        done = true;
        answer.accept(result);
      }
    }
  }

  /** Counts a request that a node forwards. */
  void countRequest(String node, int key) {
    requestCounts.computeIfAbsent(node, address -> new HashMap<>()).merge(key, 1, Integer::sum);
  }

  /** The load report of a node: the requests for each key since its last report. */
  List<WireRecord> takeLoadReport(String node) {
    Map<Integer, Integer> counts = requestCounts.remove(node);
    if (counts == null) {
      return List.of();
    }
    List<Object> keysAndCounts = new ArrayList<>();
    counts.forEach(
        (key, count) -> {
          keysAndCounts.add((long) key);
          keysAndCounts.add((long) count);
        });
    return List.of(
        new WireRecord("heat")
            .with("service", SERVICE)
            .with("work", REPORTED_WORK_MICROS)
            .with("keys", keysAndCounts));
  }

  /** How many keys are held by some worker. */
  int heldKeys() {
    int held = 0;
    for (int i = 0; i < KEYS; i++) {
      int key = i * KEY_STEP;
      held += all().stream().anyMatch(worker -> worker.holds(key)) ? 1 : 0;
    }
    return held;
  }

  /** How many keys one worker holds. */
  static int keysHeldBy(SimulatedWorker worker) {
    int held = 0;
    for (int i = 0; i < KEYS; i++) {
      held += worker.holds(i * KEY_STEP) ? 1 : 0;
    }
    return held;
  }
}
