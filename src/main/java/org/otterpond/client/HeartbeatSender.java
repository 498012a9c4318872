package org.otterpond.client;

import com.google.gson.JsonObject;
import java.util.List;

/** Sends a worker's beats. */
public final class HeartbeatSender {
  private final ControlApiClient calls;

  public HeartbeatSender(List<String> nodes) {
    calls = new ControlApiClient(nodes);
  }

  public void beat(String id, String service, String address, String zone, long sequence) {
    JsonObject o = new JsonObject();
    o.addProperty("target_service", service);
    o.addProperty("address", address);
    o.addProperty("zone", zone);
    o.addProperty("revision", "sample");
    o.addProperty("capacity_slots", 4);
    o.addProperty("state", "in_service");
    o.addProperty("warmup_left_ms", 0);
    o.addProperty("call_sequence", sequence);
    try {
      calls.post("/-/Instances.Heartbeat/" + id, o.toString(), 0);
    } catch (ControlApiException e) {
      System.err.println("event=beat_failed cause=\"" + e.getMessage() + "\"");
    }
  }
}
