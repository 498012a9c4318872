package org.otterpond.simulation;

import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.otterpond.control.state.WorkerInstance;
import org.otterpond.control.state.WorkerState;
import org.otterpond.keyrange.KeyRangeRuntime;

/**
 * One incarnation of a worker of a partitioned service. It holds the keys that are granted to it
 * until their leases end by its own clock, which is slow.
 */
final class SimulatedWorker {
  /** By this factor a lease lasts longer on the worker's clock than on the clock of the nodes. */
  private static final double CLOCK_DRIFT = 1.02;

  private static final int HTTP_OK = 200;
  private static final int HTTP_CONFLICT = 409;

  final String id;
  final String address;
  private final SimulatedWorld world;

  /** Whether the worker's process runs. */
  boolean running = true;

  boolean draining;
  private long lastHeartbeat;

  /** The newest fencing token that was granted for each key. */
  private final Map<Integer, Long> fencingTokens = new HashMap<>();

  private final Map<Integer, Long> heldSinceMicros = new HashMap<>();
  private final Map<Integer, Long> heldUntilMicros = new HashMap<>();

  /** When the last request for each key began. */
  private final Map<Integer, Long> lastRequestMicros = new HashMap<>();

  SimulatedWorker(SimulatedWorld world, String id, String address) {
    this.world = world;
    this.id = id;
    this.address = address;
  }

  /** Whether the worker holds an unexpired lease of the key. */
  boolean holds(int key) {
    return running && heldUntilMicros.getOrDefault(key, 0L) > world.now();
  }

  /** Since when the worker has held the key, if it holds it. */
  long heldSince(int key) {
    return heldSinceMicros.get(key);
  }

  /** When the last request for the key began, or {@link Long#MIN_VALUE} if there was none. */
  long lastRequest(int key) {
    return lastRequestMicros.getOrDefault(key, Long.MIN_VALUE);
  }

  /** Begins a request for a key that the worker holds. */
  void beginRequest(int key) {
    lastRequestMicros.put(key, world.now());
  }

  /** The worker's next heartbeat for a service. */
  WorkerInstance heartbeat(String service) {
    WorkerState state = draining ? WorkerState.DRAINING : WorkerState.IN_SERVICE;
    return new WorkerInstance(id, service, address, "z", "v1", 4, state, ++lastHeartbeat, 0);
  }

  /** Takes a lease of a range, unless one of its keys was granted under a newer fencing token. */
  KeyRangeRuntime.Answer grant(JsonObject request) {
    long fencingToken = request.get("fence").getAsLong();
    long leaseMicros = (long) (request.get("hold_timer_ms").getAsLong() * 1000 * CLOCK_DRIFT);
    List<Integer> keys = keysOf(request);
    if (keys.stream().anyMatch(key -> fencingTokens.getOrDefault(key, 0L) > fencingToken)) {
      return new KeyRangeRuntime.Answer(HTTP_CONFLICT, null, true);
    }
    for (int key : keys) {
      if (!holds(key)) {
        heldSinceMicros.put(key, world.now());
      }
      fencingTokens.put(key, fencingToken);
      heldUntilMicros.put(key, world.now() + leaseMicros);
    }
    return new KeyRangeRuntime.Answer(HTTP_OK, null, true);
  }

  /** Gives up the leases of a range. */
  KeyRangeRuntime.Answer release(JsonObject request) {
    keysOf(request).forEach(heldUntilMicros::remove);
    return new KeyRangeRuntime.Answer(HTTP_OK, "token-" + id, true);
  }

  private static List<Integer> keysOf(JsonObject request) {
    int first = request.get("source_revision").getAsInt();
    int last = request.get("target_revision").getAsInt();
    List<Integer> keys = new ArrayList<>();
    for (int i = 0; i < SimulatedWorkers.KEYS; i++) {
      int key = i * SimulatedWorkers.KEY_STEP;
      if (key >= first && key <= last) {
        keys.add(key);
      }
    }
    return keys;
  }
}
