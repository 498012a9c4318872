package org.otterpond.simulation;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.otterpond.control.state.WorkerInstance;
import org.otterpond.control.state.WorkerState;
import org.otterpond.keyrange.KeyRange;
import org.otterpond.keyrange.KeyRangeRuntime;
import org.otterpond.keyrange.KeyRangeState;
import org.otterpond.protocol.WireRecord;

/**
 * Workers of one divided service, who hold keys as they are granted them, with clocks that run two
 * per cent slow.
 */
final class SimulatedWorkers {
  static final String SERVICE = "divided";
  private static final double SLOW = 1.02;
  private static final int KEYS = 64;
  private static final int STEP = (KeyRange.LAST_KEY + 1) / KEYS;

  private final SimulatedCluster fleet;
  private final SimulatedWorld world;
  final Map<String, Worker> workers = new LinkedHashMap<>();
  final List<String> broken = new ArrayList<>();
  private final Map<String, Map<Integer, Integer>> heat = new HashMap<>();
  int served;
  int misses;
  boolean calling = true;

  /** A key that gets half of all requests. */
  int hot = -1;

  int lives;

  final class Worker {
    final String id;
    final String address;
    boolean up = true;
    boolean draining;
    long sequence;

    /** By the first key of what was granted: last key, fence, until. */
    final TreeMap<Integer, long[]> grants = new TreeMap<>();

    final Map<Integer, Long> fences = new HashMap<>();
    final Map<Integer, Long> heldSince = new HashMap<>();
    final Map<Integer, Long> heldUntil = new HashMap<>();
    final Map<Integer, Long> began = new HashMap<>();

    Worker(String id, String address) {
      this.id = id;
      this.address = address;
    }

    boolean holds(int key) {
      return up && heldUntil.getOrDefault(key, 0L) > world.now();
    }

    KeyRangeRuntime.Answer grant(JsonObject o) {
      long fence = o.get("fence").getAsLong();
      long until = world.now() + (long) (o.get("hold_timer_ms").getAsLong() * 1000 * SLOW);
      List<Integer> keys = keys(o);
      for (int k : keys) {
        if (fences.getOrDefault(k, 0L) > fence) {
          return new KeyRangeRuntime.Answer(409, null, true);
        }
      }
      for (int k : keys) {
        if (!holds(k)) {
          heldSince.put(k, world.now());
        }
        fences.put(k, fence);
        heldUntil.put(k, until);
      }
      return new KeyRangeRuntime.Answer(200, null, true);
    }

    KeyRangeRuntime.Answer release(JsonObject o) {
      keys(o).forEach(heldUntil::remove);
      return new KeyRangeRuntime.Answer(200, "token-" + id, true);
    }

    private List<Integer> keys(JsonObject o) {
      List<Integer> out = new ArrayList<>();
      for (int k = 0; k < KEYS; k++) {
        if (k * STEP >= o.get("source_revision").getAsInt()
            && k * STEP <= o.get("target_revision").getAsInt()) {
          out.add(k * STEP);
        }
      }
      return out;
    }
  }

  SimulatedWorkers(SimulatedCluster fleet) {
    this.fleet = fleet;
    this.world = fleet.world;
    fleet.all.forEach(n -> n.keyWorkers = this);
  }

  Worker add(String address) {
    Worker w = new Worker("w" + ++lives, address);
    workers.put(address, w);
    beat(w);
    return w;
  }

  private void beat(Worker w) {
    if (!w.up || workers.get(w.address) != w) {
      return;
    }
    SimulatedNode n = fleet.anyUp();
    if (n != null && !n.frozen()) {
      WorkerInstance v =
          new WorkerInstance(
              w.id,
              SERVICE,
              w.address,
              "z",
              "v1",
              4,
              w.draining ? WorkerState.DRAINING : WorkerState.IN_SERVICE,
              ++w.sequence,
              0);
      n.perform(() -> n.node.beat(v, ok -> {}));
    }
    world.at(400_000, () -> beat(w));
  }

  /** Ends and starts again at its address, as another life that holds nothing. */
  void crash(Worker w, long down) {
    w.up = false;
    world.at(down, () -> add(w.address));
  }

  void call(
      String from,
      String to,
      String path,
      String body,
      long timeout,
      Consumer<KeyRangeRuntime.Answer> answer) {
    boolean[] done = {false};
    long way = 200 + world.random.nextInt(2_000);
    world.at(
        timeout,
        () -> {
          if (!done[0]) {
            done[0] = true;
            answer.accept(new KeyRangeRuntime.Answer(0, null, true));
          }
        });
    if (world.isCut(from, to)) {
      return;
    }
    world.at(
        way,
        () -> {
          Worker w = workers.get(to);
          if (w == null || !w.up || done[0]) {
            return;
          }
          JsonObject o = JsonParser.parseString(body).getAsJsonObject();
          boolean grant = path.endsWith("grant");
          // The answer to a release comes when the work on its keys has ended.
          long work = grant ? 0 : world.random.nextInt(300_000);
          KeyRangeRuntime.Answer a = grant ? w.grant(o) : w.release(o);
          if (world.random.nextInt(40) == 0 || world.isCut(from, to)) {
            return;
          }
          world.at(
              way + work,
              () -> {
                if (!done[0] && w.up) {
                  done[0] = true;
                  answer.accept(a);
                }
              });
        });
  }

  List<WireRecord> heat(String node) {
    Map<Integer, Integer> counts = heat.remove(node);
    if (counts == null) {
      return List.of();
    }
    List<Object> keys = new ArrayList<>();
    counts.forEach(
        (k, n) -> {
          keys.add((long) k);
          keys.add((long) n);
        });
    return List.of(
        new WireRecord("heat").with("service", SERVICE).with("work", 50_000).with("keys", keys));
  }

  /** Clients, at any node, for keys of which one may be hot. */
  void requests() {
    if (!calling) {
      return;
    }
    world.at(1_000 + world.random.nextInt(2_000), this::requests);
    SimulatedNode n = fleet.anyUp();
    if (n == null || n.frozen()) {
      return;
    }
    int key =
        hot >= 0 && world.random.nextInt(2) == 0
            ? hot + world.random.nextInt(4) * STEP
            : world.random.nextInt(KEYS) * STEP;
    n.perform(
        () -> {
          heat.computeIfAbsent(n.address, a -> new HashMap<>()).merge(key, 1, Integer::sum);
          KeyRange r = n.ranges.at(SERVICE, key);
          if (r == null || r.state() != KeyRangeState.HELD) {
            misses++;
            return;
          }
          // The node may know less than is in force by now: what it sends goes by its own table.
          world.at(200 + world.random.nextInt(20_000), () -> begins(r.owner(), key));
        });
  }

  private void begins(String owner, int key) {
    for (Worker w : workers.values()) {
      if (!w.id.equals(owner)) {
        continue;
      }
      if (!w.holds(key)) {
        misses++;
        return;
      }
      served++;
      w.began.put(key, world.now());
      for (Worker o : workers.values()) {
        if (o != w && o.holds(key)) {
          long both = Math.max(w.heldSince.get(key), o.heldSince.get(key));
          if (o.began.getOrDefault(key, Long.MIN_VALUE) >= both) {
            broken.add(world.now() / 1000 + " OWNER key " + key + ": " + w.id + " and " + o.id);
          }
        }
      }
      return;
    }
    misses++;
  }

  int held() {
    int n = 0;
    for (int k = 0; k < KEYS; k++) {
      int key = k * STEP;
      n += workers.values().stream().anyMatch(w -> w.holds(key)) ? 1 : 0;
    }
    return n;
  }

  int keysHeldBy(Worker w) {
    int n = 0;
    for (int k = 0; k < KEYS; k++) {
      n += w.holds(k * STEP) ? 1 : 0;
    }
    return n;
  }

  static int keys() {
    return KEYS;
  }

  static int step() {
    return STEP;
  }
}
