package org.otterpond.client;

import com.google.gson.JsonObject;
import java.util.List;

/** Sends the heartbeats of a sample worker. */
public final class HeartbeatSender {
  private static final int CAPACITY_SLOTS = 4;

  private final ControlApiClient client;

  /**
   * Creates a sender.
   *
   * @param nodes addresses of nodes as {@code host:port}, tried in this order
   */
  public HeartbeatSender(List<String> nodes) {
    client = new ControlApiClient(nodes);
  }

  /**
   * Sends one heartbeat; a failure is logged.
   *
   * @param instance the worker's instance
   * @param address where the worker takes requests, as {@code host:port}
   * @param sequence grows with each heartbeat of the instance
   */
  public void sendHeartbeat(
      String instance, String service, String address, String zone, long sequence) {
    JsonObject heartbeat = new JsonObject();
    heartbeat.addProperty("target_service", service);
    heartbeat.addProperty("address", address);
    heartbeat.addProperty("zone", zone);
    heartbeat.addProperty("revision", "sample");
    heartbeat.addProperty("capacity_slots", CAPACITY_SLOTS);
    heartbeat.addProperty("state", "in_service");
    heartbeat.addProperty("warmup_left_ms", 0);
    heartbeat.addProperty("call_sequence", sequence);
    try {
      client.post("/-/Instances.Heartbeat/" + instance, heartbeat.toString());
    } catch (ControlApiException e) {
      System.err.println("event=heartbeat_failed cause=\"" + e.getMessage() + "\"");
    }
  }
}
