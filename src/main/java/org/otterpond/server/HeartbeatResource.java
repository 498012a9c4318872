package org.otterpond.server;

import com.google.gson.JsonObject;
import org.otterpond.config.ConfigException;
import org.otterpond.config.JsonFields;
import org.otterpond.control.agent.ControlPlaneAgent;
import org.otterpond.control.state.WorkerInstance;
import org.otterpond.control.state.WorkerState;
import org.otterpond.net.EventLoop;
import org.otterpond.net.GatewayResponses;
import org.otterpond.net.ServerExchange;

/** Takes the heartbeats of workers and their notices that they have ended. */
final class HeartbeatResource {
  private static final int MAX_SLOTS = 1 << 20;
  private static final long MAX_SLOW_START_MILLIS = 86_400_000;
  private static final long MICROS_PER_MILLI = 1000;
  private static final double RETRY_AFTER_SECONDS = 0.1;

  /** The value of a field that the worker left out. */
  private static final String UNSPECIFIED = "-";

  private final ControlPlaneAgent agent;
  private final ControlPoints controlPoints;

  HeartbeatResource(ControlPlaneAgent agent, ControlPoints controlPoints) {
    this.agent = agent;
    this.controlPoints = controlPoints;
  }

  /** Takes the heartbeat of the worker with the given identity. */
  void heartbeat(ServerExchange exchange, String id) throws ConfigException {
    JsonFields fields = RequestBodies.json(exchange);
    WorkerState state = state(fields);
    WorkerInstance worker =
        new WorkerInstance(
            id,
            fields.text("target_service"),
            fields.text("address"),
            fields.text("zone", UNSPECIFIED),
            fields.text("revision", UNSPECIFIED),
            (int) fields.whole("capacity_slots", 1, MAX_SLOTS, 1),
            state,
            fields.whole("call_sequence", 0, Long.MAX_VALUE, 0),
            slowStartEnd(fields));
    process(exchange, worker);
  }

  private static WorkerState state(JsonFields fields) throws ConfigException {
    return switch (fields.text("state")) {
      case "in_service" -> WorkerState.IN_SERVICE;
      case "draining" -> WorkerState.DRAINING;
      default -> throw new ConfigException("state: in_service or draining is wanted");
    };
  }

  private static long slowStartEnd(JsonFields fields) throws ConfigException {
    long leftMillis = fields.whole("warmup_left_ms", 0, MAX_SLOW_START_MILLIS, 0);
    return WorkerInstance.slowStartEnd(MICROS_PER_MILLI * leftMillis, EventLoop.now());
  }

  /** Removes the worker with the given identity from service. */
  void deregister(ServerExchange exchange, String id) {
    WorkerInstance known = agent.worker(id);
    WorkerInstance ended =
        known != null
            ? known.in(WorkerState.GONE)
            : new WorkerInstance(id, "", "", UNSPECIFIED, UNSPECIFIED, 1, WorkerState.GONE, 0, 0);
    process(exchange, ended);
  }

  private void process(ServerExchange exchange, WorkerInstance worker) {
    agent.beat(
        worker,
        acknowledged ->
            exchange.answer(
                acknowledged
                    ? GatewayResponses.json(200, acknowledgement(worker))
                    : GatewayResponses.unavailable(
                        "the primary did not confirm it", RETRY_AFTER_SECONDS)));
  }

  /** Returns the answer's body, which names the node that the next heartbeats should go to. */
  private String acknowledgement(WorkerInstance worker) {
    String target =
        worker.state() == WorkerState.IN_SERVICE ? agent.beacon(worker.zone(), worker.id()) : null;
    JsonObject body = new JsonObject();
    if (target != null) {
      body.addProperty("heartbeat_target", controlPoints.of(target));
    }
    return body.toString();
  }
}
