package org.otterpond.control.agent;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.otterpond.control.message.HeartbeatBatchRequest;
import org.otterpond.control.message.WorkerReport;
import org.otterpond.control.message.WorkerStateRequest;
import org.otterpond.control.state.WorkerInstance;
import org.otterpond.control.state.WorkerState;
import org.otterpond.runtime.NodeRuntime;

/**
 * Takes heartbeats of workers and forwards them to the primary in batches. It also names the node
 * to which a worker should send its heartbeats, so that the batches are few and large. Used by the
 * owner thread only.
 */
final class HeartbeatForwarder {
  private static final long BATCH_DELAY_MICROS = 250_000;
  private static final long BATCH_TIMEOUT_MICROS = 1_500_000;
  private static final long BATCH_RESEND_MICROS = 500_000;
  private static final long DRAIN_TIMEOUT_MICROS = 950_000;
  private static final long DRAIN_RESEND_MICROS = 300_000;

  private final NodeRuntime runtime;
  private final WorkerRoster roster;
  private final ForwardedRequests requests;
  private final BooleanSupplier outOfTouch;

  private final Map<String, WorkerReport> batch = new LinkedHashMap<>();
  private boolean batchScheduled;

  /** The zone of each node that takes heartbeats for others, by its address. */
  private Map<String, String> targets = Map.of();

  HeartbeatForwarder(
      NodeRuntime runtime,
      WorkerRoster roster,
      ForwardedRequests requests,
      BooleanSupplier outOfTouch) {
    this.runtime = runtime;
    this.roster = roster;
    this.requests = requests;
    this.outOfTouch = outOfTouch;
  }

  /**
   * Takes one heartbeat. A worker in service is acknowledged at once unless this node is out of
   * touch, so that it goes to another node; a worker that drains or has ended is acknowledged by
   * the primary.
   *
   * @param acknowledged called once with whether the heartbeat is acknowledged
   */
  void onHeartbeat(WorkerInstance worker, Consumer<Boolean> acknowledged) {
    if (worker.state() != WorkerState.IN_SERVICE) {
      roster.merge(worker);
      forwardDrain(worker, acknowledged);
    } else if (outOfTouch.getAsBoolean()) {
      acknowledged.accept(false);
    } else {
      boolean urgent = roster.merge(worker);
      addToBatch(worker, urgent);
      acknowledged.accept(true);
    }
  }

  private void forwardDrain(WorkerInstance worker, Consumer<Boolean> acknowledged) {
    requests.toPrimary(
        new WorkerStateRequest(WorkerReport.of(worker, runtime.now())),
        DRAIN_TIMEOUT_MICROS,
        DRAIN_RESEND_MICROS,
        reply -> acknowledged.accept(reply != null));
  }

  private void addToBatch(WorkerInstance worker, boolean sendNow) {
    batch.put(worker.id(), WorkerReport.of(worker, runtime.now()));
    if (sendNow) {
      sendBatch();
    } else if (!batchScheduled) {
      batchScheduled = true;
      runtime.after(BATCH_DELAY_MICROS, this::sendBatch);
    }
  }

  private void sendBatch() {
    batchScheduled = false;
    if (batch.isEmpty()) {
      return;
    }
    HeartbeatBatchRequest message = new HeartbeatBatchRequest(List.copyOf(batch.values()));
    batch.clear();
    requests.toPrimary(message, BATCH_TIMEOUT_MICROS, BATCH_RESEND_MICROS, reply -> {});
  }

  /** Replaces the nodes that take heartbeats for others: address to zone. */
  void setTargets(Map<String, String> zoneByAddress) {
    targets = new LinkedHashMap<>(zoneByAddress);
  }

  /**
   * Chooses the node to which a worker should send its heartbeats: one of the worker's zone if
   * there is any, and the same one each time for one instance.
   *
   * @param instance the worker's instance, or an empty string for a random choice
   * @return an address, or null if no node is known or this node is out of touch
   */
  String target(String zone, String instance) {
    if (outOfTouch.getAsBoolean() || targets.isEmpty()) {
      return null;
    }
    List<String> inZone =
        targets.entrySet().stream()
            .filter(target -> target.getValue().equals(zone))
            .map(Map.Entry::getKey)
            .toList();
    List<String> candidates = inZone.isEmpty() ? List.copyOf(targets.keySet()) : inZone;
    int index =
        instance.isEmpty()
            ? (int) runtime.random(candidates.size())
            : Math.floorMod(instance.hashCode(), candidates.size());
    return candidates.get(index);
  }
}
